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
	"sync/atomic"
	"time"
)

// server is a stand-in of a backend server.
type server struct {
	m        *machine
	id       string
	capacity int
	work     time.Duration
	// workFor tells the work of a request; nil: work.
	workFor  func(r *http.Request) time.Duration
	born     int64
	seq      atomic.Int64
	draining atomic.Bool
	// heldUp makes the next heartbeats wait at a cut; they are delivered by release.
	mu       sync.Mutex
	holding  bool
	held     [][]byte
	runs     []ran
	running  int
	beatStop context.CancelFunc
	http     *http.Server
	listener net.Listener
}

// ran is a run of a request.
type ran struct {
	id     string
	tenant string
	at     time.Time
	// cut is set if the connection was closed before end, while the server was at work.
	cut bool
	end time.Time
}

var serverNumber atomic.Int64

// addServer adds a backend server to the machine.
func (m *machine) addServer(capacity int, work time.Duration) *server {
	m.server = &server{m: m, id: fmt.Sprintf("i-%08x", 0x7f3a0000+serverNumber.Add(1)), capacity: capacity, work: work, born: time.Now().UnixMilli()}
	return m.server
}

// listen starts the backend server and its heartbeats.
func (s *server) listen() error {
	l, err := net.Listen("tcp", s.m.addr(appPort))
	if err != nil {
		return err
	}
	s.listener = l
	s.born = time.Now().UnixMilli()
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.beatStop = cancel
	go s.beat(ctx)
	s.m.w.record("%s: server %s of %s started", s.m.name, s.id, s.m.service)
	return nil
}

func (s *server) stop() {
	if s.beatStop != nil {
		s.beatStop()
	}
	if s.http != nil {
		_ = s.http.Close()
	}
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.URL.Path == "/healthz" {
		w.Header().Set(wire("instance"), s.id)
		return
	}
	if want := r.Header.Get(wire("expected")); want != "" && want != s.id {
		w.Header().Set(wire("instance"), s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	if s.running >= s.capacity {
		s.mu.Unlock()
		w.Header().Set(wire("executed"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.runs = append(s.runs, ran{id: id, tenant: r.Header.Get("Tenant-Id"), at: time.Now()})
	s.mu.Unlock()
	s.m.w.record("%s: server %s runs %s %s %s", s.m.name, s.id, id, r.Method, r.URL.Path)
	_, _ = io.Copy(io.Discard, r.Body)
	work := s.work
	if s.workFor != nil {
		work = s.workFor(r)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		s.m.w.record("%s: server %s: the connection of %s was closed while it was at work", s.m.name, s.id, id)
	}
	s.mu.Lock()
	s.running--
	for i := range s.runs {
		if s.runs[i].id == id {
			s.runs[i].cut = r.Context().Err() != nil
			s.runs[i].end = time.Now()
		}
	}
	s.mu.Unlock()
	w.Header().Set(wire("signature"), "3e1b.07."+id)
	fmt.Fprintf(w, "answer of %s to %s\n", s.id, id)
}

// allRuns returns the runs so far.
func (s *server) allRuns() []ran {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ran(nil), s.runs...)
}

func (s *server) heartbeat() []byte {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"service": s.m.service, "address": s.m.addr(appPort), "zone": s.m.zone, "version": "v1", "capacity": s.capacity,
		"state": state, wire("warmup"): "0ms", "seq": s.seq.Add(1), "born": s.born,
	})
	return b
}

// beat sends a heartbeat every 1.5 s.
func (s *server) beat(ctx context.Context) {
	for {
		b := s.heartbeat()
		s.mu.Lock()
		holding := s.holding
		if holding {
			s.held = append(s.held, b)
		}
		s.mu.Unlock()
		if holding {
			s.m.w.record("%s: heartbeat of %s is held up: %s", s.m.name, s.id, b)
		} else {
			_, _ = s.tell(http.MethodPut, b)
		}
		wait := 1500 * time.Millisecond
		if !holding && s.seq.Load() == 1 {
			wait = 200 * time.Millisecond // The node may not listen yet.
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// tell sends a heartbeat or the end of the backend server to its node. It reports whether it was
// acknowledged within a second.
func (s *server) tell(method string, body []byte) (acknowledged bool, at time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+s.m.addr(controlPort)+wire("instances")+s.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, time.Now()
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2, time.Now()
}

// leave ends the heartbeats and sends DELETE.
func (s *server) leave() (acknowledged bool, at time.Time) {
	s.beatStop()
	b, _ := json.Marshal(map[string]any{"born": s.born})
	acknowledged, at = s.tell(http.MethodDelete, b)
	s.m.w.record("%s: server %s sends DELETE, acknowledged: %t", s.m.name, s.id, acknowledged)
	return acknowledged, at
}

// hold makes the next heartbeats wait.
func (s *server) hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holding = true
}

// release delivers the heartbeats that were held up.
func (s *server) release() {
	s.mu.Lock()
	held := s.held
	s.held, s.holding = nil, false
	s.mu.Unlock()
	for _, b := range held {
		ok, _ := s.tell(http.MethodPut, b)
		s.m.w.record("%s: the held heartbeat of %s arrives, acknowledged: %t", s.m.name, s.id, ok)
	}
}
