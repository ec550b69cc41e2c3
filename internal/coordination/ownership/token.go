package ownership

import (
	"encoding/binary"
	"time"
)

// tokenSize is the size of a token in bytes: the process id, the monotonic time and the
// wall-clock time, 8 bytes each.
const tokenSize = 24

// unknownTokenAge stands for the age of a token of another process. It is longer than a lease.
const unknownTokenAge = time.Hour

// TokenIssuer issues and reads lease tokens. A token carries the time, on the owner's
// clock, at which the owner responded to an announcement. The backend server echoes the
// token in its next announcement, which it must therefore have sent after that time. A
// token has no integrity protection: by changing it, a backend server could only shorten
// its own lease or give up the protection against late announcements.
type TokenIssuer struct {
	processID uint64
	start     time.Time
}

// NewTokenIssuer returns the issuer of one process. The process id distinguishes its
// tokens from those of other owners and earlier starts, whose clocks are unrelated.
func NewTokenIssuer(processID uint64, start time.Time) *TokenIssuer {
	return &TokenIssuer{processID: processID, start: start}
}

// Issue returns the token for a response that is sent at now or later.
func (k *TokenIssuer) Issue(now time.Time) []byte {
	token := make([]byte, 0, tokenSize)
	token = binary.BigEndian.AppendUint64(token, k.processID)
	token = binary.BigEndian.AppendUint64(token, uint64(now.Sub(k.start)))
	return binary.BigEndian.AppendUint64(token, uint64(now.UnixNano()))
}

// LeaseFrom returns the value of Announcement.LeaseFrom for an announcement that was
// received at now with the token. It is zero if there is no token; the lease then counts
// from the receipt of the announcement. The age of a token that was not issued by this
// process is not known: the announcement may be a late one of a backend server that left
// before this process started, so its lease has lapsed. A backend server that is still
// there announces itself again with the token of the refusal. The age of any other
// token is the larger of the monotonic and the wall-clock difference, because the
// monotonic clock stands still while a VM is suspended.
func (k *TokenIssuer) LeaseFrom(now time.Time, token []byte) time.Time {
	if len(token) == 0 {
		return time.Time{}
	}
	if len(token) != tokenSize || binary.BigEndian.Uint64(token) != k.processID {
		return now.Add(-unknownTokenAge)
	}
	monotonic := now.Sub(k.start) - time.Duration(binary.BigEndian.Uint64(token[8:]))
	wall := time.Duration(now.UnixNano() - int64(binary.BigEndian.Uint64(token[16:])))
	return now.Add(-max(monotonic, wall, 0))
}
