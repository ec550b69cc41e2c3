package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"wigeonspring.example/wigeonspring/internal/fault"
)

// Caller makes the calls of a client over HTTP with bodies in JSON.
type Caller struct {
	// Base is the address of the platform without a trailing slash.
	Base   string
	Client *http.Client
	// ContentType is set on calls with a body unless it is empty.
	ContentType string
	// MaxAnswerBytes bounds an answer; 0 means no bound.
	MaxAnswerBytes int64
	// Decode reads an answer; nil means json.Unmarshal.
	Decode func(answer []byte, into any) error
}

// RestLimit is how long a connection may rest before it is closed instead of used
// again: one that fell silent meanwhile looks like one that works.
const RestLimit = 250 * time.Millisecond

// NewTransport returns a transport for a Caller.
func NewTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.IdleConnTimeout = RestLimit
	return t
}

// Call is one call.
type Call struct {
	// Step names the call in errors.
	Step, Method string
	// Path includes the query.
	Path    string
	Body    []byte
	Timeout time.Duration
}

// Do makes a call and decodes its answer unless into is nil. Every failure after
// which a write may have taken effect is an ErrUnavailable: no answer, a cut or
// unreadable answer, 429 and a status of the 5xx class.
func (c *Caller) Do(ctx context.Context, call Call, into any) error {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	connection := "no"
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connection = "a new"
		if info.Reused {
			connection = "a kept"
		}
	}})
	req, err := http.NewRequestWithContext(ctx, call.Method, c.Base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return fault.New(call.Step, c.Base, err)
	}
	if call.Body != nil && c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	unanswered := func(err error) error {
		return fault.New(call.Step, c.Base, fmt.Errorf("%w on %s connection: %w", ErrNoAnswer, connection, err))
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return unanswered(err)
	}
	defer resp.Body.Close()
	body := io.Reader(resp.Body)
	if c.MaxAnswerBytes > 0 {
		body = io.LimitReader(body, c.MaxAnswerBytes)
	}
	answer, err := io.ReadAll(body)
	if err != nil {
		return unanswered(err)
	}
	if resp.StatusCode/100 != 2 {
		return fault.New(call.Step, c.Base, statusError(resp.StatusCode, answer))
	}
	if into == nil {
		return nil
	}
	decode := c.Decode
	if decode == nil {
		decode = json.Unmarshal
	}
	if err := decode(answer, into); err != nil {
		return fault.New(call.Step, c.Base, fmt.Errorf("%w: unreadable answer: %w", ErrUnavailable, err))
	}
	return nil
}

func statusError(status int, answer []byte) error {
	switch status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrCompacted
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	err := fmt.Errorf("status %d: %s", status, strings.TrimSpace(string(answer[:min(len(answer), 200)])))
	if status >= 500 || status == http.StatusTooManyRequests {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return err
}
