package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
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
