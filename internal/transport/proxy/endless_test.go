package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
)

// Guards against nodes that run out of memory because backend servers send bytes without end,
// while callers read the responses fast, slowly or not at all.
func TestEndlessResponsesDoNotExhaustMemory(t *testing.T) {
	// Half of the 64 MB that a node may use.
	const maxGrowth = 32 << 20
	for name, c := range map[string]struct{ start, repeat string }{
		"head":             {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"interim":          {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"not a response":   {"", "x"},
		"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk length":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"body without end": {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"refusal":          {"HTTP/1.1 503 Service Unavailable\r\n" + header.BackendNotRun + ": 1\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			f.own(1, "b1", serveEndless(t, c.start, strings.Repeat(c.repeat, 4096)), 16)
			before := heapBytes()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var callers sync.WaitGroup
			for i := range 12 {
				callers.Go(func() { readEndless(ctx, f.nodes[0].callerServer.URL, i%3) })
			}
			var most int64
			for ctx.Err() == nil && most <= maxGrowth {
				most = max(most, heldBytes(before+maxGrowth)-before)
				time.Sleep(20 * time.Millisecond)
			}
			cancel()
			callers.Wait()
			if most > maxGrowth {
				t.Errorf("the memory in use grew by %d MB", most>>20)
			}
		})
	}
}

// heldBytes returns the size of the heap after a garbage collection. Above the limit it collects
// up to twice more and returns the least: what was allocated during a collection counts as in use
// until the next one, while memory that is held stays in all of them.
func heldBytes(limit int64) int64 {
	least := heapBytes()
	for range 2 {
		if least > limit {
			least = min(least, heapBytes())
		}
	}
	return least
}

// serveEndless starts a backend server that answers each connection with start and then with
// piece, again and again, until the connection is closed.
func serveEndless(t *testing.T, start, piece string) (addr string) {
	t.Helper()
	return serveRaw(t, func(conn net.Conn) {
		_, err := conn.Read(make([]byte, 4096)) // The request.
		if err == nil {
			_, err = io.WriteString(conn, start)
		}
		for err == nil {
			_, err = io.WriteString(conn, piece)
		}
	})
}

// readEndless sends a request and reads the response fast (pace 0), slowly (1) or not at all
// (2) until ctx is done.
func readEndless(ctx context.Context, url string, pace int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	req.Host = "booking.test"
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	switch pace {
	case 0:
		_, _ = io.Copy(io.Discard, resp.Body)
	case 1:
		for err == nil && ctx.Err() == nil {
			_, err = io.CopyN(io.Discard, resp.Body, 4096)
			time.Sleep(10 * time.Millisecond)
		}
	}
	<-ctx.Done()
}
