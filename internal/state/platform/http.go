package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"wigeonspring.example/wigeonspring/internal/fault"
)

// Paths of the object API over HTTP.
const (
	// PathObject takes GET, PUT and DELETE of the object named by the query
	// parameter "key". PUT and DELETE carry the expected "version".
	PathObject = "/v1/object"
	// PathObjects lists the objects under the query parameter "prefix".
	PathObjects = "/v1/objects"
	// PathWatch waits for changes under "prefix" after the revision "since" for
	// at most "wait_ms" milliseconds.
	PathWatch = "/v1/watch"
)

// ObjectList is the body of the answers to a list and a watch.
type ObjectList struct {
	Objects  []Object `json:"objects"`
	Revision uint64   `json:"revision"`
}

// Options configures the HTTP adapter.
type Options struct {
	// URL is the address of the platform, such as "http://127.0.0.1:7070".
	URL string
	// Timeout bounds a call; for a watch it is added to the waiting time. 0 means
	// 5 s.
	Timeout time.Duration
	// Transport carries the calls; nil means a transport of its own.
	Transport http.RoundTripper
}

// HTTP is the Client over the platform's HTTP API.
type HTTP struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client of the platform at o.URL.
func NewHTTP(o Options) *HTTP {
	if o.Timeout == 0 {
		o.Timeout = 5 * time.Second
	}
	if o.Transport == nil {
		o.Transport = http.DefaultTransport.(*http.Transport).Clone()
	}
	return &HTTP{base: strings.TrimSuffix(o.URL, "/"), timeout: o.Timeout, client: &http.Client{Transport: o.Transport}}
}

// Close closes the idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Get implements Client.
func (h *HTTP) Get(ctx context.Context, key string) (Object, error) {
	var obj Object
	err := h.call(ctx, "platform get", http.MethodGet, PathObject, url.Values{"key": {key}}, nil, h.timeout, &obj)
	return obj, err
}

// List implements Client.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	var list ObjectList
	err := h.call(ctx, "platform list", http.MethodGet, PathObjects, url.Values{"prefix": {prefix}}, nil, h.timeout, &list)
	return list.Objects, list.Revision, err
}

// Put implements Client.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, version uint64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, fault.New("platform put", h.base, ErrTooLarge)
	}
	var obj Object
	err := h.call(ctx, "platform put", http.MethodPut, PathObject, versioned(key, version), value, h.timeout, &obj)
	return obj, err
}

// Delete implements Client.
func (h *HTTP) Delete(ctx context.Context, key string, version uint64) error {
	return h.call(ctx, "platform delete", http.MethodDelete, PathObject, versioned(key, version), nil, h.timeout, nil)
}

// Watch implements Client.
func (h *HTTP) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]Object, uint64, error) {
	query := url.Values{
		"prefix":  {prefix},
		"since":   {strconv.FormatUint(since, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var list ObjectList
	err := h.call(ctx, "platform watch", http.MethodGet, PathWatch, query, nil, wait+h.timeout, &list)
	return list.Objects, list.Revision, err
}

func versioned(key string, version uint64) url.Values {
	return url.Values{"key": {key}, "version": {strconv.FormatUint(version, 10)}}
}

// call sends one request. Every failure after which a write may have taken
// effect is an ErrUnavailable: no answer, a cut or unreadable answer, and a
// status of the 5xx class.
func (h *HTTP) call(ctx context.Context, step, method, path string, query url.Values, body []byte, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, h.base+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return fault.New(step, h.base, err)
	}
	unavailable := func(err error) error {
		return fault.New(step, h.base, fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return unavailable(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return unavailable(err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if into == nil {
			return nil
		}
		if err := json.Unmarshal(answer, into); err != nil {
			return unavailable(err)
		}
		return nil
	case http.StatusNotFound:
		err = ErrNotFound
	case http.StatusConflict:
		err = ErrConflict
	case http.StatusGone:
		err = ErrCompacted
	case http.StatusRequestEntityTooLarge:
		err = ErrTooLarge
	default:
		text := strings.TrimSpace(string(answer[:min(len(answer), 200)]))
		err = fmt.Errorf("status %d: %s", resp.StatusCode, text)
		if resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests {
			return unavailable(err)
		}
	}
	return fault.New(step, h.base, err)
}
