package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// scriptServer is a backend server whose responses are written by a script.
type scriptServer struct {
	addr string

	mu    sync.Mutex
	ran   []string // paths of the requests that were read to the end
	conns []net.Conn
}

// serveScript runs script for every request. n counts the requests on all
// connections from 1. The connection is closed when script returns false.
func serveScript(t testing.TB, script func(n int, r *http.Request, c net.Conn) bool) *scriptServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptServer{addr: l.Addr().String()}
	t.Cleanup(func() {
		_ = l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.conns {
			_ = c.Close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go s.serve(c, script)
		}
	}()
	return s
}

func (s *scriptServer) serve(c net.Conn, script func(int, *http.Request, net.Conn) bool) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.ran = append(s.ran, r.URL.Path)
		n := len(s.ran)
		s.mu.Unlock()
		if !script(n, r, c) {
			return
		}
	}
}

func (s *scriptServer) count(path string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.ran {
		if p == path {
			n++
		}
	}
	return n
}

func (s *scriptServer) opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// writeRaw writes raw bytes and reports whether the write succeeded.
func writeRaw(c net.Conn, raw string) bool {
	_, err := io.WriteString(c, raw)
	return err == nil
}

// writeOK writes a complete response with status 200.
func writeOK(c net.Conn, body string) bool { return writeRaw(c, response(body)) }
