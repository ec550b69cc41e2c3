package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a backend server.
type arrival struct {
	id, backend, method, path string
	at                        time.Time
	ran                       bool
	body                      int
}

// server is a sound backend server on a machine.
type server struct {
	w        *world
	n        *node
	id       string
	addr     string
	capacity int
	work     time.Duration
	born     int64
	ln       net.Listener
	srv      *http.Server

	mu       sync.Mutex
	seq      int
	acked    int
	state    string
	running  int
	queue    chan struct{}
	arrivals []arrival
	ackedAt  time.Time // first acknowledged "draining"
	stop     context.CancelFunc
	answer   func(w http.ResponseWriter, r *http.Request, s *server) bool
	// ahead is how much the time of day of the machine is ahead at the start of the server.
	ahead time.Duration
	// late, if set, holds back the first heartbeat on its way, and sends it on when it is closed.
	late chan struct{}
}

func newServer(n *node, id string, capacity int, work time.Duration) *server {
	s := &server{w: n.w, n: n, id: id, addr: n.app, capacity: capacity, work: work, state: "ready", queue: make(chan struct{}, capacity)}
	s.start()
	return s
}

func (s *server) start() {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		fail("backend server: %v", err)
	}
	s.born = time.Now().Add(s.ahead).UnixMilli()
	s.ln = ln
	s.srv = &http.Server{Handler: s}
	go func() { _ = s.srv.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.beats(ctx)
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get(wire["id"])
	if r.URL.Path == "/healthz" {
		h.Set(wire["instance"], s.id)
		return
	}
	a := arrival{id: id, backend: s.id, method: r.Method, path: r.URL.RequestURI(), at: time.Now()}
	refuse := func(status int) {
		s.log(a)
		h.Set(wire["instance"], s.id)
		h.Set(wire["refused"], "1")
		if id != "" {
			h.Set(wire["id"], id)
		}
		w.WriteHeader(status)
	}
	if want := r.Header.Get(wire["expected"]); want != "" && want != s.id {
		refuse(421)
		return
	}
	if id == "" {
		refuse(400)
		return
	}
	select {
	case s.queue <- struct{}{}:
		defer func() { <-s.queue }()
	case <-r.Context().Done():
		return
	case <-time.After(3 * time.Second):
		refuse(503)
		return
	}
	a.ran = true
	s.log(a)
	s.w.rec.printf("backend server %s runs request %s: %s %s, from service %q", s.id, id, r.Method, a.path, r.Header.Get(wire["origin"]))
	if s.answer != nil && s.answer(w, r, s) {
		return
	}
	body, _ := io.ReadAll(r.Body)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.w.rec.printf("backend server %s: the connection of request %s was closed while it ran", s.id, id)
		return
	}
	h.Set(wire["id"], id)
	h.Set(wire["signature"], "sig."+s.id+"."+id)
	h.Set("Content-Type", "application/octet-stream")
	_, _ = fmt.Fprintf(w, "answer of %s to %s, %d bytes\n", s.id, id, len(body))
}

func (s *server) log(a arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
}

// seen returns the requests that have arrived.
func (s *server) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival{}, s.arrivals...)
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (s *server) beat() bool {
	s.mu.Lock()
	seq, state := s.seq, s.state
	s.seq++ // The first heartbeat has the number 0.
	s.mu.Unlock()
	fields := map[string]any{
		"service": s.n.service, "address": s.addr, "zone": s.n.zone, "version": "v1", "capacity": s.capacity,
		"state": state, wire["warm"]: "0ms", "seq": seq, "born": s.born,
	}
	if seq == 0 && s.late != nil {
		go func() {
			<-s.late
			ok := putBeat(s.n, s.id, fields)
			s.w.rec.printf("the delayed heartbeat seq 0 %q of %s arrives at %s; acknowledged: %v", state, s.id, s.n.name, ok)
		}()
		time.Sleep(time.Second)
		return false
	}
	ok := putBeat(s.n, s.id, fields)
	if ok {
		s.mu.Lock()
		s.acked++
		s.mu.Unlock()
	}
	if ok && state == "draining" {
		s.mu.Lock()
		if s.ackedAt.IsZero() {
			s.ackedAt = time.Now()
			s.w.rec.printf("backend server %s: heartbeat seq %d \"draining\" acknowledged by %s", s.id, seq, s.n.name)
		}
		s.mu.Unlock()
	}
	return ok
}

func putBeat(n *node, id string, fields map[string]any) bool {
	body, _ := json.Marshal(fields)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "PUT", "http://"+n.control+wire["instances"]+id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode/100 == 2
}

// beatsSent returns the number of heartbeats so far that were acknowledged.
func (s *server) beatsSent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acked
}

// beats sends a heartbeat every 1.5 s.
func (s *server) beats(ctx context.Context) {
	for ctx.Err() == nil {
		wait := 1500 * time.Millisecond
		if !s.beat() {
			wait = 300 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// drain announces that the server leaves, until it is acknowledged.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for range 10 {
		if s.beat() {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	fail("the drain of %s was not acknowledged", s.id)
}

// ran returns how often each request ran.
func ran(servers ...*server) map[string]int {
	runs := map[string]int{}
	for _, s := range servers {
		for _, a := range s.seen() {
			if a.ran {
				runs[a.id]++
			}
		}
	}
	return runs
}

// leave sends DELETE, as a server does at the end of its drain, and ends the server.
func (s *server) leave() {
	s.stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "DELETE", "http://"+s.n.control+wire["instances"]+s.id, nil)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
		s.w.rec.printf("backend server %s: DELETE, %d", s.id, resp.StatusCode)
	}
	s.w.rec.printf("backend server %s ends", s.id)
	_ = s.srv.Close()
}
