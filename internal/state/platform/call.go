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

// JSONClient sends requests with JSON bodies over HTTP.
type JSONClient struct {
	// BaseURL is the address of the platform without a trailing slash.
	BaseURL string
	Client  *http.Client
	// ContentType is the content type of requests with a body; empty sets none.
	ContentType string
	// MaxResponseBytes is the size above which a response is an error; 0 means no bound.
	MaxResponseBytes int64
	// Decode decodes a response; nil means json.Unmarshal.
	Decode func(response []byte, into any) error
	// CheckHeader returns an error for a response that must not be used; nil accepts all
	// responses. It is called for every response, those with an error status included.
	CheckHeader func(r Request, header http.Header) error
}

// IdleConnTimeout is how long a connection may be idle before it is closed instead of
// reused. A connection that stopped passing data while it was idle looks the same as
// one that works.
const IdleConnTimeout = 250 * time.Millisecond

// NewTransport returns a transport for a JSONClient.
func NewTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.IdleConnTimeout = IdleConnTimeout
	return t
}

// Request is a request to the platform.
type Request struct {
	// Step names the operation in errors.
	Step, Method string
	// Path includes the query.
	Path    string
	Body    []byte
	Timeout time.Duration
	// Sequence names the sequence of revisions to which a listing or a watch belongs; empty
	// for other calls.
	Sequence string
	// Generation, unless nil, receives the generation of the data that the response belongs to.
	Generation *uint64
}

// Do sends a request and decodes the response unless into is nil. Every failure after
// which a write may have taken effect is an ErrUnavailable: no response, a truncated or
// malformed response, status 429 and the 5xx statuses.
func (c *JSONClient) Do(ctx context.Context, r Request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	connection := "no"
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connection = "a new"
		if info.Reused {
			connection = "a kept"
		}
	}})
	req, err := http.NewRequestWithContext(ctx, r.Method, c.BaseURL+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return fault.New(r.Step, c.BaseURL, err)
	}
	if r.Body != nil && c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	noResponse := func(err error) error {
		return fault.New(r.Step, c.BaseURL, fmt.Errorf("%w on %s connection: %w", ErrNoResponse, connection, err))
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return noResponse(err)
	}
	defer resp.Body.Close()
	if c.CheckHeader != nil {
		if err := c.CheckHeader(r, resp.Header); err != nil {
			return fault.New(r.Step, c.BaseURL, err)
		}
	}
	body := io.Reader(resp.Body)
	if c.MaxResponseBytes > 0 {
		body = io.LimitReader(body, c.MaxResponseBytes+1)
	}
	response, err := io.ReadAll(body)
	if err != nil {
		return noResponse(err)
	}
	if c.MaxResponseBytes > 0 && int64(len(response)) > c.MaxResponseBytes {
		return fault.New(r.Step, c.BaseURL, fmt.Errorf("%w: response exceeds %d bytes", ErrUnavailable, c.MaxResponseBytes))
	}
	if resp.StatusCode/100 != 2 {
		return fault.New(r.Step, c.BaseURL, statusError(resp.StatusCode, response))
	}
	if into == nil {
		return nil
	}
	decode := c.Decode
	if decode == nil {
		decode = json.Unmarshal
	}
	if err := decode(response, into); err != nil {
		return fault.New(r.Step, c.BaseURL, fmt.Errorf("%w: malformed response: %w", ErrUnavailable, err))
	}
	return nil
}

func statusError(status int, response []byte) error {
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
	err := fmt.Errorf("status %d: %s", status, strings.TrimSpace(string(response[:min(len(response), 200)])))
	if status >= 500 || status == http.StatusTooManyRequests {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return err
}
