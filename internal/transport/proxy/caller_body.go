package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
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

	mu sync.Mutex
	// consumed is set when an attempt began to read the stream.
	consumed bool
	// failed is set when the caller's body could not be read.
	failed atomic.Bool
	read   atomic.Int64
}

// newCallerBody wraps the body of r. If keep is set and the body is small, it is
// read into memory; an error means that the caller's body was cut.
func newCallerBody(r *http.Request, keep bool) (*callerBody, error) {
	b := &callerBody{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.length = 0
		return b, nil
	}
	if !keep || r.ContentLength > maxBuffered {
		b.stream = r.Body
		return b, nil
	}
	kept, err := io.ReadAll(io.LimitReader(r.Body, maxBuffered+1))
	b.read.Store(int64(len(kept)))
	if err != nil {
		return nil, err
	}
	if len(kept) > maxBuffered {
		// The length was unknown and is large: the request gets one attempt.
		b.stream, b.consumed = io.MultiReader(bytes.NewReader(kept), r.Body), false
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
	return io.NopCloser(bytes.NewReader(b.kept))
}

// repeatable reports whether another attempt may send the body.
func (b *callerBody) repeatable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.consumed
}

// attemptBody is the stream as seen by one attempt. After Close the attempt can
// no longer take bytes from the caller.
type attemptBody struct {
	body   *callerBody
	closed bool // guarded by body.mu
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	if a.closed {
		b.mu.Unlock()
		return 0, errAttemptOver
	}
	b.consumed = true
	b.mu.Unlock()
	n, err := b.stream.Read(p)
	b.read.Add(int64(n))
	if err != nil && err != io.EOF {
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
