package platform

import (
	"context"
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

// ObjectList is the body of the responses to a list and a watch.
type ObjectList struct {
	Objects  []Object `json:"objects"`
	Revision uint64   `json:"revision"`
}

// Options configures the HTTP adapter.
type Options struct {
	// URL is the address of the platform, such as "http://127.0.0.1:7070".
	URL string
	// Timeout bounds a call; in a watch it is added to the wait. 0 means 5 s.
	Timeout time.Duration
	// Transport carries the calls; nil means the one that NewTransport returns.
	Transport http.RoundTripper
}

// HTTP implements Client over the HTTP API of the platform.
type HTTP struct {
	client  JSONClient
	timeout time.Duration
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client of the platform at o.URL.
func NewHTTP(o Options) *HTTP {
	if o.Timeout == 0 {
		o.Timeout = 5 * time.Second
	}
	if o.Transport == nil {
		o.Transport = NewTransport()
	}
	client := JSONClient{BaseURL: strings.TrimSuffix(o.URL, "/"), Client: &http.Client{Transport: o.Transport}}
	return &HTTP{client: client, timeout: o.Timeout}
}

// Close closes the idle connections.
func (h *HTTP) Close() { h.client.Client.CloseIdleConnections() }

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
		return Object{}, fault.New("platform put", h.client.BaseURL, ErrTooLarge)
	}
	var obj Object
	err := h.call(ctx, "platform put", http.MethodPut, PathObject, versionQuery(key, version), value, h.timeout, &obj)
	return obj, err
}

// Delete implements Client.
func (h *HTTP) Delete(ctx context.Context, key string, version uint64) error {
	return h.call(ctx, "platform delete", http.MethodDelete, PathObject, versionQuery(key, version), nil, h.timeout, nil)
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

func versionQuery(key string, version uint64) url.Values {
	return url.Values{"key": {key}, "version": {strconv.FormatUint(version, 10)}}
}

func (h *HTTP) call(ctx context.Context, step, method, path string, query url.Values, body []byte, timeout time.Duration, into any) error {
	return h.client.Do(ctx, Request{Step: step, Method: method, Path: path + "?" + query.Encode(), Body: body, Timeout: timeout}, into)
}
