package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/transport/backend"
)

// responseBody is the body of a backend server's response. Closing it ends the
// exchange, and the evidence depends on whether the body was read to its end, could
// not be read or was abandoned.
type responseBody struct {
	io.ReadCloser
	exchange   *exchange
	kind       evidence.Kind
	uploadWait func() time.Duration
	complete   bool
	err        error
	// readAt is when the last read ended, and unread the longest time between two reads.
	readAt time.Time
	unread time.Duration
}

// maxUnread is the time without a read after which the end of a response is ascribed to the
// caller that reads slowly. Backend servers cut off such responses.
const maxUnread = time.Second

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if !b.readAt.IsZero() {
		b.unread = max(b.unread, time.Since(b.readAt))
	}
	n, err := b.ReadCloser.Read(p)
	b.readAt = time.Now()
	switch err {
	case nil:
	case io.EOF:
		b.complete = true
	default:
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	x := b.exchange
	var e *backend.Error
	switch {
	case b.complete:
		x.end(b.kind, "", max(x.owner.opt.Now().Sub(x.start)-b.uploadWait(), 1))
	case b.err != nil && b.unread >= maxUnread:
		x.end(evidence.Canceled, reasonUnread, 0)
	case errors.As(b.err, &e):
		x.end(e.Kind, e.Reason, 0)
	default:
		x.end(evidence.Canceled, reasonCanceled, 0)
	}
	return err
}

// firstBytes is how much of a response is read at most before it is passed on.
const firstBytes = 4 << 10

// awaitBody reads the first bytes of the response to a request without a body. The caller has got
// nothing of the response by then, so that the request can be tried elsewhere if there are none.
// The header of a response with a length would be sent together with them anyway.
func awaitBody(req *http.Request, resp *http.Response) error {
	if req.ContentLength != 0 || req.Method == http.MethodHead || resp.ContentLength <= 0 {
		return nil
	}
	first := make([]byte, min(resp.ContentLength, firstBytes))
	n, err := resp.Body.Read(first)
	if n == 0 && err != nil {
		return err
	}
	resp.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(first[:n]), resp.Body), Closer: resp.Body}
	return nil
}

// prefixedBody is a body of which the first bytes have been read before.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// failedReply returns the reply for a response that failed before its first byte.
func (x *exchange) failedReply(err error, load *evidence.Load) *reply {
	r := &reply{Outcome: header.Unknown, Reason: backend.ReasonTruncated, Load: load}
	var e *backend.Error
	if errors.As(err, &e) {
		r.Reason, r.Timeout = e.Reason, e.Kind == evidence.Timeout
	}
	if r.Reason == backend.ReasonCanceled && x.owner.requestCtx.Err() != nil {
		r.Reason = reasonStopping
	}
	return r
}

// closeHook runs a function once when the body is closed.
type closeHook struct {
	io.ReadCloser
	once sync.Once
	hook func()
}

// Close implements io.Closer.
func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.hook)
	return err
}
