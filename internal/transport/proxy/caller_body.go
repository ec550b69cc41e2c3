package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxBuffered is the largest body that is kept in memory so that an idempotent
// request can be repeated.
const maxBuffered = 64 << 10

var errAttemptOver = errors.New("the attempt has ended")

// callerBody is the body of a caller's request. It is either kept in memory and
// can be sent any number of times, or streamed and then bound to the attempt
// that began to read it.
type callerBody struct {
	length int64 // -1 if unknown
	kept   []byte
	stream io.Reader
	// release returns the memory of kept; nil if none was taken.
	release func()

	mu sync.Mutex
	// consumed is set when an attempt began to read the stream.
	consumed bool
	// failed is set when the caller's body could not be read.
	failed atomic.Bool
	// ended is set when the caller's body was read to its end.
	ended atomic.Bool
	read  atomic.Int64
}

// newCallerBody wraps the body of r. A body of at most keep bytes is read into
// memory; an error means that the caller's body was cut.
func newCallerBody(r *http.Request, keep int64) (*callerBody, error) {
	b := &callerBody{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.length = 0
		return b, nil
	}
	if keep <= 0 || r.ContentLength > keep {
		b.stream = r.Body
		return b, nil
	}
	kept, err := io.ReadAll(io.LimitReader(r.Body, keep+1))
	b.read.Store(int64(len(kept)))
	if err != nil {
		return nil, err
	}
	if int64(len(kept)) > keep {
		// The length was unknown and is large: the request gets one attempt.
		b.stream = io.MultiReader(bytes.NewReader(kept), r.Body)
		b.read.Store(0)
		return b, nil
	}
	b.kept, b.length = kept, int64(len(kept))
	return b, nil
}

// streamed reports whether the body is read from the caller while it is sent.
func (b *callerBody) streamed() bool { return b.stream != nil }

// open returns the body for the next attempt.
func (b *callerBody) open() io.ReadCloser {
	switch {
	case b.stream != nil:
		return &attemptBody{body: b}
	case b.length == 0:
		return http.NoBody
	}
	b.read.Store(b.length)
	return &attemptBody{body: b, kept: bytes.NewReader(b.kept)}
}

// free gives back the memory of the body.
func (b *callerBody) free() {
	if b.release != nil {
		b.release()
	}
}

// repeatable reports whether another attempt may send the body.
func (b *callerBody) repeatable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.consumed
}

// unread reports whether the caller may still be sending.
func (b *callerBody) unread() bool { return b.stream != nil && !b.ended.Load() && !b.failed.Load() }

const (
	// lingerTime and lingerBytes bound how much of a body is discarded after an
	// early answer.
	lingerTime  = 2 * time.Second
	lingerBytes = 32 << 20
)

// linger discards the rest of a body after an early answer. Closing an HTTP/1
// connection with unread data resets it, and a caller that is still sending would
// lose the answer. A caller that reads the answer stops sending, which ends the
// wait.
func linger(control *http.ResponseController, r *http.Request, body io.Reader) {
	if r.ProtoMajor != 1 || control.Flush() != nil {
		return
	}
	if control.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, body, lingerBytes)
	}
}

// attemptBody is the body as seen by one attempt. After Close the attempt can no
// longer take bytes from it.
type attemptBody struct {
	body *callerBody
	// kept is nil if the body is streamed.
	kept          *bytes.Reader
	closed, begun bool // guarded by body.mu
}

// withhold closes the body if the attempt has taken nothing of it, and reports that.
func (a *attemptBody) withhold() bool {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	if a.begun {
		return false
	}
	a.closed = true
	return true
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	if a.closed {
		b.mu.Unlock()
		return 0, errAttemptOver
	}
	a.begun = true
	b.consumed = a.kept == nil
	b.mu.Unlock()
	if a.kept != nil {
		return a.kept.Read(p)
	}
	n, err := b.stream.Read(p)
	b.read.Add(int64(n))
	switch err {
	case nil:
	case io.EOF:
		b.ended.Store(true)
	default:
		b.failed.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (a *attemptBody) Close() error {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	a.closed = true
	return nil
}
