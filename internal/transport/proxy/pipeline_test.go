package proxy

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

// pipeline is a connection of a caller that sends requests before the first one is answered.
type pipeline struct {
	t *testing.T
	net.Conn
	responses *bufio.Reader
}

func (f *testFleet) pipeline(t *testing.T) *pipeline {
	t.Helper()
	c, err := net.Dial("tcp", f.nodes[0].callerServer.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &pipeline{t, c, bufio.NewReader(c)}
}

// get sends a request with additional header lines.
func (p *pipeline) get(path, headers string) {
	p.t.Helper()
	if _, err := fmt.Fprintf(p, "GET %s HTTP/1.1\r\nHost: booking.test\r\n%s\r\n", path, headers); err != nil {
		p.t.Error(err)
	}
}

// next reads the next response. The status is 0 after the end of the connection, whose error is
// returned.
func (p *pipeline) next() (status int, body string, err error) {
	p.t.Helper()
	if _, err := p.responses.Peek(1); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(p.responses, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	return resp.StatusCode, string(b), nil
}

// Guards against pipelined requests that are answered in another order, with the response of
// another request, or not at all because one of them fails.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	const requests = 12
	for _, arrival := range []string{"together", "later"} {
		f := newFleet(t, 2)
		for i := range 2 {
			f.serve(i, fmt.Sprint("b", i), func(w http.ResponseWriter, r *http.Request) {
				var k int
				_, _ = fmt.Sscanf(r.URL.Path, "/%d", &k)
				time.Sleep(time.Duration(requests-k) * time.Millisecond)
				switch k % 4 {
				case 1:
					w.WriteHeader(http.StatusNotFound)
				case 2: // The end of the connection concerns the node only.
					w.Header().Set("Connection", "close")
				case 3:
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, r.URL.Path)
			})
		}
		p := f.pipeline(t)
		for k := range requests {
			p.get(fmt.Sprint("/", k), "")
			if arrival == "later" {
				time.Sleep(2 * time.Millisecond)
			}
		}
		want := []int{http.StatusOK, http.StatusNotFound, http.StatusOK, http.StatusBadGateway}
		for k := range requests {
			status, body, err := p.next()
			if status != want[k%4] || status != http.StatusBadGateway && body != fmt.Sprint("/", k) {
				t.Errorf("%s: request %d: status %d, body %q, %v", arrival, k, status, body, err)
			}
		}
	}
}

// Guards against a response that closes its connection and is lost because the connection is
// reset, and against a request behind it that runs although it counts as not read.
func TestRequestsBehindClosingResponseAreNotRead(t *testing.T) {
	for _, cause := range []string{"caller", "drain"} {
		for _, lingers := range []bool{true, false} {
			f := newFleet(t, 2)
			f.nodes[0].callerServer.Listener.(*callerListener).disabled.linger.Store(!lingers)
			var mu sync.Mutex
			var ran []string
			started := make(chan struct{}, 100)
			f.serve(1, "b1", func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				ran = append(ran, r.URL.Path)
				mu.Unlock()
				started <- struct{}{}
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(w, r.URL.Path)
			})
			p := f.pipeline(t)
			closing := ""
			if cause == "caller" {
				closing = "Connection: close\r\n"
			}
			p.get("/first", "")
			<-started
			if cause == "drain" {
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				_ = f.nodes[0].ingress.Drain(ctx)
			}
			p.get("/closing", closing)
			// More than the server reads at once.
			for range 100 {
				p.get("/behind", "Padding: "+strings.Repeat("x", 1000)+"\r\n")
			}
			if status, body, err := p.next(); status != http.StatusOK || body != "/first" {
				t.Errorf("%s: first response: status %d, body %q, %v", cause, status, body, err)
			}
			want := http.StatusOK
			if cause == "drain" {
				want = http.StatusServiceUnavailable
			}
			if status, body, err := p.next(); status != want {
				t.Errorf("%s: closing response: status %d, body %q, %v", cause, status, body, err)
			}
			_, _, err := p.next()
			if errors.Is(err, io.EOF) != lingers {
				t.Errorf("%s, lingers %t: the connection ended with %v", cause, lingers, err)
			}
			mu.Lock()
			for _, path := range ran {
				if path == "/behind" || path == "/closing" && cause == "drain" {
					t.Errorf("%s: %s ran", cause, path)
				}
			}
			mu.Unlock()
		}
	}
}

// Guards against a caller that leaves unnoticed because net/http stops to watch a connection
// once a byte of the next request has arrived, and against the requests behind it, which then
// run for nobody.
func TestCallerThatLeavesWithPipelinedRequestsIsNoticed(t *testing.T) {
	// The attempt ends without a notice after half of the time of the request, 1 s.
	const maxNotice = 750 * time.Millisecond
	for owner, shape := range []string{"one node", "two nodes"} {
		f := newFleet(t, 2)
		canceled, started := make(chan struct{}, 10), make(chan string, 10)
		f.serve(owner, "b1", func(_ http.ResponseWriter, r *http.Request) {
			started <- r.URL.Path
			<-r.Context().Done()
			canceled <- struct{}{}
		})
		p := f.pipeline(t)
		p.get("/first", "")
		<-started
		p.get("/second", "")
		p.get("/third", "")
		time.Sleep(20 * time.Millisecond)
		_ = p.Close()
		select {
		case <-canceled:
		case <-time.After(maxNotice):
			t.Errorf("%s: not noticed within %s", shape, maxNotice)
			<-canceled
		}
		select {
		case path := <-started:
			t.Errorf("%s: %s ran after the caller had left", shape, path)
		case <-time.After(100 * time.Millisecond):
		}
	}
}
