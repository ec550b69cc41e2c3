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

// maxReplayBytes is the largest body of an idempotent request that is kept in memory,
// so that the request can be repeated. Larger ones get one attempt.
const maxReplayBytes = 64 << 10

var (
	errAttemptEnded = errors.New("the attempt has ended")
	errBodyConsumed = errors.New("another attempt has read from the body")
)

// callerBody is the body of a caller's request. It is either buffered in memory and
// can be sent any number of times, or streamed, in which case only the attempt that
// began to read it can send it.
type callerBody struct {
	length   int64 // -1 if unknown
	buffered []byte
	stream   io.Reader
	// reserved is the memory that is taken for what was read ahead.
	memory   *byteBudget
	reserved int64

	mu sync.Mutex
	// reader is the attempt that began to read the stream, or nil. No other attempt can
	// read it, because the rest would look like a whole body.
	reader *attemptBody
	// failed is set when the caller's body could not be read.
	failed atomic.Bool
	// ended is set when the caller's body was read to its end.
	ended     atomic.Bool
	bytesRead atomic.Int64
}

// newCallerBody wraps the body of r. A body of at most limit bytes is read into memory,
// as long as the shared memory suffices. An error means that the caller's body was
// truncated or came too late.
func newCallerBody(r *http.Request, limit int64, memory *byteBudget) (*callerBody, error) {
	b := &callerBody{length: r.ContentLength, memory: memory}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.length = 0
		return b, nil
	}
	if limit <= 0 || r.ContentLength > limit {
		b.stream = r.Body
		return b, nil
	}
	whole, err := b.readAhead(r.Body, limit)
	if err != nil {
		b.releaseMemory()
		return nil, err
	}
	if !whole {
		// The request gets one attempt.
		b.stream = io.MultiReader(bytes.NewReader(b.buffered), r.Body)
		b.buffered = nil
		return b, nil
	}
	b.length = int64(len(b.buffered))
	b.bytesRead.Store(b.length)
	return b, nil
}

// readAheadStep is how much memory is reserved at first for a body of unknown length. Each
// further reservation doubles it.
const readAheadStep = 4 << 10

// readAhead reads the body into memory. It reports false if the body exceeds the limit or
// the memory; the first bytes are then in buffered.
func (b *callerBody) readAhead(r io.Reader, limit int64) (whole bool, err error) {
	var buf bytes.Buffer
	defer func() { b.buffered = buf.Bytes() }()
	step := int64(readAheadStep)
	if b.length > 0 {
		step = b.length
	}
	for {
		if step <= 0 || !b.memory.take(step) {
			return false, nil
		}
		b.reserved += step
		buf.Grow(int(step) + bytes.MinRead)
		if _, err := io.CopyN(&buf, r, step); err == io.EOF || err == nil && b.length == int64(buf.Len()) {
			return true, nil
		} else if err != nil {
			return false, err
		}
		read := int64(buf.Len())
		step = min(read, limit-read)
	}
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
	b.bytesRead.Store(b.length)
	return &attemptBody{body: b, buffered: bytes.NewReader(b.buffered)}
}

// releaseMemory frees the memory of the body.
func (b *callerBody) releaseMemory() {
	b.memory.give(b.reserved)
	b.reserved = 0
}

// replayable reports whether another attempt can send the body.
func (b *callerBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reader == nil
}

// unread reports whether the caller may still be sending.
func (b *callerBody) unread() bool { return b.stream != nil && !b.ended.Load() && !b.failed.Load() }

const (
	// lingerTime and lingerBytes bound how much of a body is discarded after an
	// early response.
	lingerTime  = 2 * time.Second
	lingerBytes = 32 << 20
)

// linger discards the rest of a body after an early response. Closing an HTTP/1
// connection with unread data resets it, and a caller that is still sending would
// lose the response. A caller that reads the response stops sending, which ends the
// wait.
func linger(control *http.ResponseController, r *http.Request, body io.Reader) {
	if r.ProtoMajor != 1 || control.SetReadDeadline(time.Now().Add(lingerTime)) != nil || control.Flush() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, body, lingerBytes)
}

// attemptBody is the body of the caller's request for one attempt. After Close the
// attempt can no longer read from it.
type attemptBody struct {
	body *callerBody
	// buffered is nil if the body is streamed.
	buffered      *bytes.Reader
	closed, begun bool // guarded by body.mu
}

// closeUnread closes the body if the attempt has not read from it. It reports whether
// it closed the body.
func (a *attemptBody) closeUnread() bool {
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
		return 0, errAttemptEnded
	}
	a.begun = true
	if a.buffered != nil {
		b.mu.Unlock()
		return a.buffered.Read(p)
	}
	if b.reader != nil && b.reader != a {
		b.mu.Unlock()
		return 0, errBodyConsumed
	}
	b.reader = a
	b.mu.Unlock()
	n, err := b.stream.Read(p)
	b.bytesRead.Add(int64(n))
	switch err {
	case nil:
	case io.EOF:
		b.ended.Store(true)
	default:
		b.failed.Store(true)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		// Bytes between this read and the one before may have been discarded.
		return 0, errAttemptEnded
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
