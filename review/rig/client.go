package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sent is a request of a client and its answer.
type sent struct {
	id     string
	m      *machine
	at     time.Time
	status int // 0: no answer
	body   string
	err    error
	done   time.Time
	key    string
}

// clients send requests to the machines.
type clients struct {
	w    *world
	http *http.Client
	wg   sync.WaitGroup

	mu  sync.Mutex
	all []*sent
}

func newClients(w *world) *clients {
	return &clients{w: w, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// send sends a request and records its answer.
func (c *clients) send(m *machine, method, path, body, key string) *sent {
	s := &sent{id: fmt.Sprintf("%016x", rand.Uint64()), m: m, at: time.Now(), key: key}
	c.mu.Lock()
	c.all = append(c.all, s)
	c.mu.Unlock()
	c.w.record("%s: client sends %s %s %s", m.name, s.id, method, path)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+m.addr(outboundPort)+path, reader)
	req.Host = host
	req.GetBody = nil
	req.Header.Set("Request-Id", s.id)
	req.Header.Set(wire("deadline"), "8000")
	if key != "" {
		req.Header.Set("Credential", key)
	}
	resp, err := c.http.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		s.status, s.body = resp.StatusCode, string(b)
	}
	s.err, s.done = err, time.Now()
	if err != nil {
		c.w.record("%s: %s ends with %v", m.name, s.id, err)
	} else {
		c.w.record("%s: %s is answered %d", m.name, s.id, s.status)
	}
	return s
}

// load sends requests to each machine at a rate, in requests per second, until ctx is done.
func (c *clients) load(ctx context.Context, machines []*machine, rate float64, send func(m *machine)) {
	for _, m := range machines {
		c.wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Duration(float64(time.Second) / rate * (0.5 + rand.Float64()))):
				}
				c.wg.Go(func() { send(m) })
			}
		})
	}
}

// answers returns the requests so far.
func (c *clients) answers() []*sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sent(nil), c.all...)
}
