package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// uploadServer is a backend server that responds before it has read the body, if early is set,
// keeps the connection and reads on. It records what it took for whole requests.
type uploadServer struct {
	addr  string
	early string
	mu    sync.Mutex
	whole []string // path and body
}

func serveUploads(t *testing.T, early string) *uploadServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &uploadServer{addr: l.Addr().String(), early: early}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *uploadServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		early := s.early != "" && r.URL.Path == "/first"
		if early && !writeRaw(c, s.early) {
			return
		}
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.whole = append(s.whole, r.URL.Path+" "+string(b))
		s.mu.Unlock()
		if !early && !writeOK(c, "ok") {
			return
		}
	}
}

// Guards against a body whose reader fails, is late or stops that a backend server takes for
// whole, and against a connection that is used again while the rest of a body is due on it.
func TestUploadAndNextRequestStayApart(t *testing.T) {
	const smuggled = "POST /smuggled HTTP/1.1\r\nHost: b\r\nContent-Length: 0\r\n\r\n"
	responses := map[string]string{
		"after the body":       "",
		"early":                response("early"),
		"early, empty":         response(""),
		"early, no content":    "HTTP/1.1 204 No Content\r\n\r\n",
		"early, chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n",
		"early refusal":        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno",
		"early, body unended":  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nearly",
		"continue, then early": "HTTP/1.1 100 Continue\r\n\r\n" + response("early"),
	}
	ends := map[string]struct {
		rest string
		wait time.Duration
		err  error
	}{
		"ends soon":     {smuggled, 10 * time.Millisecond, io.EOF},
		"ends later":    {smuggled, 200 * time.Millisecond, io.EOF},
		"fails soon":    {"", 10 * time.Millisecond, io.ErrUnexpectedEOF},
		"fails later":   {smuggled[:20], 200 * time.Millisecond, io.ErrUnexpectedEOF},
		"fails at once": {"", 0, errors.New("reset")},
		"comes late":    {smuggled, 600 * time.Millisecond, io.EOF}, // The deadline has passed.
	}
	for when, early := range responses {
		for how, end := range ends {
			for _, length := range []int64{-1, int64(5 + len(smuggled))} {
				t.Run(fmt.Sprintf("%s/%s/length %d", when, how, length), func(t *testing.T) {
					t.Parallel()
					s := serveUploads(t, early)
					p := newTestPool(t, s.addr, 2)
					body, w := io.Pipe()
					go func() {
						_, _ = io.WriteString(w, "first")
						time.Sleep(end.wait)
						_, _ = io.WriteString(w, end.rest)
						_ = w.CloseWithError(end.err)
					}()
					req := newRequest(t, http.MethodPost, "/first", "")
					req.Body, req.ContentLength = body, length
					ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
					defer cancel()
					if resp, err := p.Do(ctx, req, "", false, allow); err == nil {
						resp.Discard(100, 100*time.Millisecond)
					}
					var next sync.WaitGroup
					for range 3 {
						next.Go(func() {
							req := newRequest(t, http.MethodPost, "/next", "whole")
							if got, err := get(context.Background(), p, req, ""); err != nil || got != "ok" {
								t.Errorf("the next request: %q, %v", got, err)
							}
						})
					}
					next.Wait()
					_ = body.CloseWithError(io.ErrClosedPipe)
					time.Sleep(end.wait)
					s.mu.Lock()
					defer s.mu.Unlock()
					for _, got := range s.whole {
						if got != "/next whole" && got != "/first first"+smuggled {
							t.Errorf("taken for whole: %q", got)
						}
						if strings.HasPrefix(got, "/first") && end.err != io.EOF {
							t.Error("a body whose reader failed was taken for whole")
						}
					}
				})
			}
		}
	}
}

// Guards against a connection that is used again before its reader waits for data. What the
// backend server sent after the last response would be read as the next one, or the next
// request would be refused for it.
func TestConnectionIsIdleOnlyWhileItsReaderWaits(t *testing.T) {
	p := NewPool(Options{MaxConns: 1})
	p.open = 1
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{Conn: near, pool: p, written: true, used: true}
	c.finish()
	if _, idle := p.Stats(); idle != 0 {
		t.Error("the connection is idle before its reader waits")
	}
	readerEnded := make(chan struct{})
	go func() {
		defer close(readerEnded)
		_, _ = c.Read(make([]byte, 1))
	}()
	deadline := time.Now().Add(5 * time.Second)
	for idle := 0; idle != 1; _, idle = p.Stats() {
		if time.Now().After(deadline) {
			t.Fatal("the connection is not idle although its reader waits")
		}
		time.Sleep(time.Millisecond)
	}
	_ = c.Close()
	<-readerEnded
	p.Close()
}
