package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// backend is a stand-in for an application backend. It is sound unless fails or late is set.
type backend struct {
	w       *world
	id      string
	service string
	zone    string
	addr    string
	control string
	born    int64
	work    time.Duration

	// fails reports whether the next request fails: the backend runs it and resets the connection.
	fails func() bool
	// late returns bytes that the backend sends after its n-th answer, at the point where the
	// next answer on the connection is expected; nil sends none.
	late func(n int) []byte

	listener net.Listener
	mu       sync.Mutex
	seq      int
	runs     []runRecord
	answers  int
	state    string
	stopped  bool
	conns    map[net.Conn]bool
	sent     []string // the late bytes that were sent, by the request on whose turn they came
}

// runRecord is a request that the backend has run.
type runRecord struct {
	id, method, target, body, caller string
	at                               time.Time
}

// startBackend starts a backend beside a node and its heartbeats.
func (w *world) startBackend(n *node, id string, work time.Duration) (*backend, error) {
	l, err := net.Listen("tcp", n.appAddr())
	if err != nil {
		return nil, err
	}
	b := &backend{
		w: w, id: id, service: n.service, zone: n.zone, addr: n.appAddr(), control: n.control(), born: time.Now().UnixMilli(),
		work: work, listener: l, state: "ready", conns: map[net.Conn]bool{},
	}
	go b.accept()
	go b.beat()
	return b, nil
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

// stop ends the backend: it closes its listener and its connections.
func (b *backend) stop() {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}

// signature is the signature of the answer to a request.
func signature(id string) string { return "3e1b.07.5a2.600.0." + id[:8] }

// bodyFor is the body of the answer to a request.
func bodyFor(id string) string { return "the server's bytes for " + id + "\n" }

// serve serves one connection, one request at a time.
func (b *backend) serve(c net.Conn) {
	defer func() {
		c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	var pending []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		line, req, err := readRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if len(pending) > 0 {
			// Bytes of an earlier exchange that belong to no request.
			if _, err := c.Write(pending); err != nil {
				return
			}
			b.mu.Lock()
			b.sent = append(b.sent, id)
			b.mu.Unlock()
			b.w.note("%s: while the answer to %s is expected, sends bytes that belong to no request: %q", b.id, id, pending)
			pending = nil
		}
		switch {
		case req.URL.Path == "/healthz":
			fmt.Fprintf(c, wire("HTTP/1.1 200 OK\r\n{instance}: %s\r\nContent-Length: 0\r\n\r\n"), b.id)
			continue
		case len(id) < 8:
			_, _ = io.WriteString(c, wire("HTTP/1.1 400 Bad Request\r\n{executed}: 1\r\nContent-Length: 0\r\n\r\n"))
			continue
		case req.Header.Get(wire("{expected}")) != "" && req.Header.Get(wire("{expected}")) != b.id:
			fmt.Fprintf(c, wire("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\n{instance}: %s\r\nContent-Length: 0\r\n\r\n"), id, b.id)
			continue
		}
		b.mu.Lock()
		b.runs = append(b.runs, runRecord{id: id, method: req.Method, target: line, body: string(body), caller: req.Header.Get(wire("{caller}")), at: time.Now()})
		b.answers++
		n := b.answers
		b.mu.Unlock()
		b.w.note(wire("%s: runs %s: %s, %d bytes, {caller} %q"), b.id, id, line, len(body), req.Header.Get(wire("{caller}")))
		work := b.work
		if ms, err := strconv.Atoi(req.Header.Get(wire("{deadline}"))); err == nil {
			work = min(work, time.Duration(ms)*time.Millisecond)
		}
		time.Sleep(work)
		if b.fails != nil && b.fails() {
			b.w.note("%s: resets the connection of %s", b.id, id)
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			return
		}
		text := bodyFor(id)
		if _, err := fmt.Fprintf(c, wire("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n{signature}: %s\r\n{load}: 1,0,7\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s"),
			id, signature(id), len(text), text); err != nil {
			return
		}
		if b.late != nil {
			pending = b.late(n)
		}
	}
}

// readRequest reads a request and returns its request line as it was received.
func readRequest(r *bufio.Reader) (line string, req *http.Request, err error) {
	first, err := r.ReadBytes('\n')
	if err != nil {
		return "", nil, err
	}
	req, err = http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(first), r)))
	return string(bytes.TrimRight(first, "\r\n")), req, err
}

// beat sends a heartbeat every 1.5 s until the backend leaves.
func (b *backend) beat() {
	for {
		b.mu.Lock()
		state := b.state
		b.mu.Unlock()
		if state == "gone" {
			return
		}
		if err := b.put(b.nextBeat(state)); err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		time.Sleep(heartbeat)
	}
}

// nextBeat returns the body of the next heartbeat.
func (b *backend) nextBeat(state string) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	body, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.addr, "zone": b.zone, "version": "v1", "capacity": 7,
		"state": state, wire("{warmup}"): "0ms", "seq": b.seq, "born": b.born,
	})
	return body
}

func (b *backend) put(body []byte) error { return b.announce(http.MethodPut, body) }

// leave sends DELETE and reports whether it was acknowledged.
func (b *backend) leave() error {
	b.mu.Lock()
	b.state = "gone"
	b.mu.Unlock()
	return b.announce(http.MethodDelete, nil)
}

func (b *backend) announce(method string, body []byte) error {
	req, err := http.NewRequest(method, "http://"+b.control+wire("{instances}")+b.id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s of %s was answered %d", method, b.id, resp.StatusCode)
	}
	b.w.note("%s: %s %s acknowledged", b.id, method, body)
	return nil
}

// recorded returns the runs so far.
func (b *backend) recorded() []runRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]runRecord(nil), b.runs...)
}
