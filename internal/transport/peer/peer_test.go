package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// testServer serves the peer address of a node.
type testServer struct {
	addr  string
	conns atomic.Int32
	srv   *http.Server
}

func serve(t testing.TB, h http.HandlerFunc) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{addr: l.Addr().String(), srv: NewServer(h)}
	s.srv.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.conns.Add(1)
		}
	}
	go func() { _ = s.srv.Serve(l) }()
	t.Cleanup(func() { _ = s.srv.Close() })
	return s
}

func newTestPool(t testing.TB, o Options) *Pool {
	p := NewPool(o)
	t.Cleanup(p.Close)
	return p
}

func request(method string, body io.Reader) *http.Request {
	req, err := http.NewRequest(method, "http://owner/x", body)
	if err != nil {
		panic(err)
	}
	return req
}

func get(ctx context.Context, p *Pool, addr string) error {
	resp, err := p.Do(ctx, addr, request("GET", nil))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against a separate connection for each request, also when several requests wait
// for the first dial.
func TestRequestsShareOneConnection(t *testing.T) {
	s := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor != 2 {
			t.Errorf("protocol %s", r.Proto)
		}
		time.Sleep(5 * time.Millisecond)
	})
	p := newTestPool(t, Options{})
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			if err := get(context.Background(), p, s.addr); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if n := s.conns.Load(); n != 1 {
		t.Fatalf("%d connections", n)
	}
}

// refuseStreams starts an HTTP/2 server that refuses every stream and returns its address.
func refuseStreams(t *testing.T) string {
	return answerStreams(t, func(stream []byte) []byte {
		reset := append([]byte{0, 0, 4, 3, 0}, stream...)
		return binary.BigEndian.AppendUint32(reset, refusedStream)
	})
}

// goAway starts an HTTP/2 server that shuts down gracefully at the first stream, before it has
// received it, and returns its address.
func goAway(t *testing.T) string {
	return answerStreams(t, func([]byte) []byte { return append([]byte{0, 0, 8, 7}, make([]byte, 13)...) })
}

// answerStreams starts an HTTP/2 server that sends a frame at each stream and returns its address.
func answerStreams(t *testing.T, frame func(stream []byte) []byte) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.CopyN(io.Discard, c, int64(len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")))
		_, _ = c.Write([]byte{0, 0, 0, 4, 0, 0, 0, 0, 0}) // SETTINGS
		for {
			var head [9]byte
			if _, err := io.ReadFull(c, head[:]); err != nil {
				return
			}
			length := int64(head[0])<<16 | int64(head[1])<<8 | int64(head[2])
			if _, err := io.CopyN(io.Discard, c, length); err != nil {
				return
			}
			if head[3] == 1 { // HEADERS
				_, _ = c.Write(frame(head[5:]))
			}
		}
	}()
	return l.Addr().String()
}

// Guards against an error that reports a request as not processed although it may have
// been, and against the reverse if the transport shows that it was not processed.
func TestFailureReportsWhetherRequestWasProcessed(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	var killed *testServer
	killed = serve(t, func(http.ResponseWriter, *http.Request) { _ = killed.srv.Close() })
	aborted := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	slow := serve(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	cases := []struct {
		name, addr   string
		notProcessed bool
		reason       string
	}{
		{"connection refused", closed.Addr().String(), true, ReasonDial},
		{"refused stream", refuseStreams(t), true, ReasonRefused},
		{"graceful shutdown", goAway(t), true, ReasonRefused},
		{"peer killed", killed.addr, false, ReasonLost},
		{"stream reset", aborted.addr, false, ReasonLost},
		{"deadline", slow.addr, false, ReasonLost},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newTestPool(t, Options{})
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			err := get(ctx, p, tc.addr)
			var e *Error
			if !errors.As(err, &e) || e.NotProcessed != tc.notProcessed || e.Reason != tc.reason {
				t.Fatalf("error %#v: %v", err, err)
			}
		})
	}
}

// Guards against a query to the next process at an address for a request that the previous one
// did not process. Its response would be that the request may have run.
func TestUnprocessedRequestIsNotRecovered(t *testing.T) {
	p := newTestPool(t, Options{})
	var e *Error
	_, err := p.DoRecoverable(t.Context(), goAway(t), request("GET", nil), func() *http.Request {
		t.Error("asked for the response")
		return request("GET", nil)
	})
	if !errors.As(err, &e) || !e.NotProcessed {
		t.Errorf("error %v", err)
	}
}

// Guards against more connections than allowed, and against the eviction of a connection
// in use.
func TestLeastRecentlyUsedIsClosed(t *testing.T) {
	var servers []*testServer
	block := make(chan struct{})
	for i := range 4 {
		servers = append(servers, serve(t, func(w http.ResponseWriter, _ *http.Request) {
			if i == 0 {
				<-block
			}
		}))
	}
	p := newTestPool(t, Options{MaxPeers: 2})
	busy := make(chan error, 1)
	go func() { busy <- get(context.Background(), p, servers[0].addr) }()
	for servers[0].conns.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for _, s := range servers[1:] {
		if err := get(context.Background(), p, s.addr); err != nil {
			t.Fatal(err)
		}
		if n := p.Len(); n != 2 {
			t.Fatalf("%d connections", n)
		}
	}
	p.opt.MaxPeers = 1
	var e *Error
	p.Drop(servers[3].addr)
	if err := get(context.Background(), p, servers[1].addr); !errors.As(err, &e) || !e.NotProcessed || e.Reason != ReasonLimit {
		t.Fatalf("error %v", err)
	}
	close(block)
	if err := <-busy; err != nil {
		t.Fatalf("request on the busy connection: %v", err)
	}
}

// Guards against the continued use of a connection whose peer is silent. Such a connection
// is checked by a ping and closed, and the next request opens a new one.
func TestSilentPeerIsDetected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var conns atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			conns.Add(1)
		}
	}()
	p := newTestPool(t, Options{PingAfter: 50 * time.Millisecond, PingTimeout: 50 * time.Millisecond})
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		err := get(ctx, p, l.Addr().String())
		var e *Error
		if !errors.As(err, &e) || e.NotProcessed || ctx.Err() != nil {
			t.Fatalf("error %v", err)
		}
		cancel()
	}
	if n := conns.Load(); n != 2 {
		t.Fatalf("%d connections", n)
	}
}

// Guards against a connection that is going away and still receives new requests, which
// belong to the process that has taken over the address. Also guards against interrupting
// the last request on such a connection.
func TestConnectionGoingAwayIsReplaced(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s := serve(t, func(http.ResponseWriter, *http.Request) { close(started); <-release })
	p := newTestPool(t, Options{})
	last := make(chan error, 1)
	go func() { last <- get(context.Background(), p, s.addr) }()
	<-started
	go func() { _ = s.srv.Shutdown(context.Background()) }()
	time.Sleep(100 * time.Millisecond) // The listener is closed and GOAWAY was sent.
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	next := NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	go func() { _ = next.Serve(l) }()
	defer func() { _ = next.Close() }()
	if err := get(context.Background(), p, s.addr); err != nil {
		t.Errorf("request to the new process: %v", err)
	}
	close(release)
	if err := <-last; err != nil {
		t.Errorf("last request on the old connection: %v", err)
	}
}
