package proxy

import (
	"errors"
	"io"
	"sync"
	"time"

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
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
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
	case errors.As(b.err, &e):
		x.end(e.Kind, e.Reason, 0)
	default:
		x.end(evidence.Canceled, reasonCanceled, 0)
	}
	return err
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
