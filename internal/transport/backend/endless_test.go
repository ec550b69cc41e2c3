package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against a backend server that sends bytes without end and thereby occupies an
// exchange, its slot and its connection, or exhausts the memory.
func TestEndlessResponseEndsExchange(t *testing.T) {
	const deadline = time.Second
	// An endless header ends the exchange at the size limit, an endless body at the
	// deadline.
	for name, c := range map[string]struct {
		start, repeat string
		body          bool
	}{
		"no status line":     {"", "x", false},
		"no line at all":     {"", "\x00", false},
		"header lines":       {"HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
		"one header line":    {"HTTP/1.1 200 OK\r\nA: ", "b", false},
		"interim responses":  {"", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"length of a chunk":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", true},
		"chunk extension":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", true},
		"chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true},
		"trailer":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", true},
		"body to the end":    {"HTTP/1.1 200 OK\r\n\r\n", "x", true},
		"more than a length": {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nok", "x", true},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			s := serveScript(t, func(_ int, _ *http.Request, conn net.Conn) bool {
				defer close(closed)
				if !writeRaw(conn, c.start) {
					return false
				}
				piece := strings.Repeat(c.repeat, 1024)
				for writeRaw(conn, piece) {
				}
				return false
			})
			p := NewPool(Options{Addr: s.addr, MaxConns: 1, CloseDelimited: true})
			t.Cleanup(func() { p.Close(); waitClosed(t, p) })
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			begun := time.Now()
			resp, err := p.Do(ctx, newRequest(t, "POST", "/", ""), "id", false, allow)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			if err == nil && name != "more than a length" {
				t.Error("taken for a complete response")
			}
			if took := time.Since(begun); took > deadline+time.Second || !c.body && took >= deadline {
				t.Errorf("ended after %s", took)
			}
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection stays open")
			}
		})
	}
}

// Guards against a header without end that is kept until it exhausts the memory, and shows that
// the size limit prevents this.
func TestEndlessHeaderIsBoundedInMemory(t *testing.T) {
	// A header takes several times its size while it is parsed.
	const conns, maxGrowth = 8, 8 * 8 * maxResponseHeaderBytes
	for _, limited := range []bool{true, false} {
		s := serveScript(t, func(_ int, _ *http.Request, conn net.Conn) bool {
			piece := strings.Repeat("x", 64<<10)
			for ok := writeRaw(conn, "HTTP/1.1 200 OK\r\nA: "); ok; {
				ok = writeRaw(conn, piece)
			}
			return false
		})
		p := NewPool(Options{Addr: s.addr, MaxConns: conns})
		if !limited {
			p.transport.MaxResponseHeaderBytes = 1 << 40
		}
		before := heapBytes()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		var exchanges sync.WaitGroup
		for range conns {
			exchanges.Go(func() {
				if resp, err := p.Do(ctx, newRequest(t, "GET", "/", ""), "id", true, allow); err == nil {
					t.Error("taken for a response")
					_ = resp.Body.Close()
				}
			})
		}
		ended := make(chan struct{})
		go func() { exchanges.Wait(); close(ended) }()
		var most int64
		for running := true; running && most <= maxGrowth; {
			most = max(most, heapBytes()-before)
			select {
			case <-ended:
				running = false
			case <-time.After(time.Millisecond):
			}
		}
		cancel()
		<-ended
		p.Close()
		waitClosed(t, p)
		if limited != (most <= maxGrowth) {
			t.Errorf("size limit %v: the memory in use grew by %d MB", limited, most>>20)
		}
	}
}

// heapBytes returns the memory that is in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
