package proxy

import (
	"errors"
	"io"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/transport/backend"
)

// answerBody ends an exchange when the body of the answer was read to its end,
// failed or was given up.
type answerBody struct {
	io.ReadCloser
	exchange *exchange
	kind     evidence.Kind
	upload   func() time.Duration
	whole    bool
	err      error
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch err {
	case nil:
	case io.EOF:
		b.whole = true
	default:
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	x := b.exchange
	var e *backend.Error
	switch {
	case b.whole:
		x.end(b.kind, "", max(x.owner.opt.Now().Sub(x.start)-b.upload(), 1))
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
