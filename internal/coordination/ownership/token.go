package ownership

import (
	"encoding/binary"
	"time"
)

// tokenSize is the size of a token: the process, the monotonic time and the
// wall-clock time, 8 bytes each.
const tokenSize = 24

// TokenIssuer issues and reads lease tokens. A token carries the owner's time of an
// answer to an announcement. The backend server echoes it in its next
// announcement, which it therefore sent later than that time. A token has no
// integrity protection, because a backend server can only shorten its own lease or
// forgo the protection against late announcements.
type TokenIssuer struct {
	process uint64
	start   time.Time
}

// NewTokenIssuer returns the tokens of one process. The process number tells them apart
// from those of other owners and earlier starts, whose clocks are unrelated.
func NewTokenIssuer(process uint64, start time.Time) *TokenIssuer {
	return &TokenIssuer{process: process, start: start}
}

// Issue returns the token of an answer that is sent at now or later.
func (k *TokenIssuer) Issue(now time.Time) []byte {
	token := make([]byte, 0, tokenSize)
	token = binary.BigEndian.AppendUint64(token, k.process)
	token = binary.BigEndian.AppendUint64(token, uint64(now.Sub(k.start)))
	return binary.BigEndian.AppendUint64(token, uint64(now.UnixNano()))
}

// LeaseFrom returns the value of Announcement.LeaseFrom for an announcement that
// was received at now with a token. It is zero if there is no token of this
// process; the lease then counts from the receipt. The age of the token is the
// larger of the monotonic and the wall-clock difference, because the monotonic
// clock stands still while a VM is suspended.
func (k *TokenIssuer) LeaseFrom(now time.Time, token []byte) time.Time {
	if len(token) != tokenSize || binary.BigEndian.Uint64(token) != k.process {
		return time.Time{}
	}
	monotonic := now.Sub(k.start) - time.Duration(binary.BigEndian.Uint64(token[8:]))
	wall := time.Duration(now.UnixNano() - int64(binary.BigEndian.Uint64(token[16:])))
	return now.Add(-max(monotonic, wall, 0))
}
