package proxy

import (
	"container/list"
	"errors"
	"expvar"
	"net/http"
	"os"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/transport/peer"
)

const (
	// defaultUnreadResponseBytes bounds the memory of the responses that callers do not read,
	// a quarter of the memory of a node.
	defaultUnreadResponseBytes = 16 << 20
	// minUnreadTime is how long a response is kept although the memory is full.
	minUnreadTime = 500 * time.Millisecond
	// copyBufferBytes is the size of the buffers through which bodies are copied.
	copyBufferBytes = 32 << 10
)

// unreadResponses bounds the memory of the responses whose callers do not read them. If it is
// full, the one whose write has been blocked for the longest time is aborted.
type unreadResponses struct {
	limit int64

	mu    sync.Mutex
	bytes int64
	// blocked holds the responses in a write, *unreadResponse, in the order in which the writes
	// began.
	blocked list.List
	// recheck runs evict when the oldest response has been unread for minUnreadTime; nil if
	// none is due.
	recheck *time.Timer
}

// unreadWrites counts the responses that were aborted because their callers did not read them,
// by cause.
var unreadWrites = expvar.NewMap("unread_responses")

// unreadResponse is a response to a caller. It tracks the writes that a slow caller blocks.
type unreadResponse struct {
	http.ResponseWriter
	all *unreadResponses
	// bytes is the memory that the response takes while its caller does not read.
	bytes int64
	since time.Time
	// elem is the place in the list of blocked writes; nil outside writes.
	elem *list.Element
	// evicted is set when the response was aborted for the sake of others.
	evicted bool
}

// track returns a writer for the response of a call. fromPeer states that it comes from another
// node.
func (u *unreadResponses) track(w http.ResponseWriter, resp *http.Response, fromPeer bool) *unreadResponse {
	n := int64(copyBufferBytes)
	if fromPeer {
		n += peer.StreamWindow
	}
	if resp.ContentLength >= 0 {
		n = min(n, resp.ContentLength)
	}
	return &unreadResponse{ResponseWriter: w, all: u, bytes: n}
}

// Unwrap returns the writer of the connection, for http.ResponseController.
func (r *unreadResponse) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// Write implements io.Writer.
func (r *unreadResponse) Write(p []byte) (int, error) {
	r.all.begin(r)
	defer r.all.end(r)
	return r.ResponseWriter.Write(p)
}

// FlushError implements the flushing of http.ResponseController.
func (r *unreadResponse) FlushError() error {
	r.all.begin(r)
	defer r.all.end(r)
	return http.NewResponseController(r.ResponseWriter).Flush()
}

// reason returns why a write to a caller failed, or "" if the caller has left.
func (r *unreadResponse) reason(err error) string {
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	switch {
	case r.evicted:
		return reasonUnreadMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reasonUnreadLate
	}
	return ""
}

func (u *unreadResponses) begin(r *unreadResponse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r.since = time.Now()
	r.elem = u.blocked.PushBack(r)
	u.bytes += r.bytes
	u.evict()
}

func (u *unreadResponses) end(r *unreadResponse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.remove(r)
}

// remove takes a response out of the list. The caller holds the lock.
func (u *unreadResponses) remove(r *unreadResponse) {
	if r.elem == nil {
		return
	}
	u.blocked.Remove(r.elem)
	r.elem = nil
	u.bytes -= r.bytes
}

// evict aborts responses until the others fit into the memory. The caller holds the lock.
func (u *unreadResponses) evict() {
	for u.bytes > u.limit {
		oldest := u.blocked.Front().Value.(*unreadResponse)
		if wait := minUnreadTime - time.Since(oldest.since); wait > 0 {
			u.recheckAfter(wait)
			return
		}
		u.remove(oldest)
		oldest.evicted = true
		_ = http.NewResponseController(oldest.ResponseWriter).SetWriteDeadline(time.Now())
	}
}

// recheckAfter calls evict after a delay. The caller holds the lock.
func (u *unreadResponses) recheckAfter(d time.Duration) {
	if u.recheck != nil {
		return
	}
	u.recheck = time.AfterFunc(d, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.recheck = nil
		u.evict()
	})
}
