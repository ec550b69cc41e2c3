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

// JSONClient makes the calls of a client over HTTP with bodies in JSON.
type JSONClient struct {
	// BaseURL is the address of the platform without a trailing slash.
	BaseURL string
	Client  *http.Client
	// ContentType is set on calls with a body unless it is empty.
	ContentType string
	// MaxResponseBytes bounds an answer; 0 means no bound.
	MaxResponseBytes int64
	// Decode reads an answer; nil means json.Unmarshal.
	Decode func(answer []byte, into any) error
}

// IdleConnTimeout is how long a connection may be idle before it is closed instead of
// reused. A connection that stopped passing data while it was idle cannot be told
// from one that works.
const IdleConnTimeout = 250 * time.Millisecond

// NewTransport returns a transport for a JSONClient.
func NewTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.IdleConnTimeout = IdleConnTimeout
	return t
}

// Request is one call.
type Request struct {
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
func (c *JSONClient) Do(ctx context.Context, call Request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	connection := "no"
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connection = "a new"
		if info.Reused {
			connection = "a kept"
		}
	}})
	req, err := http.NewRequestWithContext(ctx, call.Method, c.BaseURL+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return fault.New(call.Step, c.BaseURL, err)
	}
	if call.Body != nil && c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	unanswered := func(err error) error {
		return fault.New(call.Step, c.BaseURL, fmt.Errorf("%w on %s connection: %w", ErrNoResponse, connection, err))
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return unanswered(err)
	}
	defer resp.Body.Close()
	body := io.Reader(resp.Body)
	if c.MaxResponseBytes > 0 {
		body = io.LimitReader(body, c.MaxResponseBytes)
	}
	answer, err := io.ReadAll(body)
	if err != nil {
		return unanswered(err)
	}
	if resp.StatusCode/100 != 2 {
		return fault.New(call.Step, c.BaseURL, statusError(resp.StatusCode, answer))
	}
	if into == nil {
		return nil
	}
	decode := c.Decode
	if decode == nil {
		decode = json.Unmarshal
	}
	if err := decode(answer, into); err != nil {
		return fault.New(call.Step, c.BaseURL, fmt.Errorf("%w: unreadable answer: %w", ErrUnavailable, err))
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
