package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// dialCaller opens a connection of a caller to the ingress of node 0.
func (f *testFleet) dialCaller(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", f.nodes[0].callerServer.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

// overHTTP2 makes the client of a node speak HTTP/2.
func overHTTP2(n *testNode) func(*http.Request) {
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	n.callerServer.Client().Transport = transport
	return func(r *http.Request) { r.Close = false }
}

// Guards against a request that is smuggled in the trailer of another one: net/http would use
// the connection again after a trailer that it cannot read, if its body has been replaced.
func TestMalformedTrailerClosesConnection(t *testing.T) {
	table := policy.NewTable(policy.TableOptions{})
	text := strings.Replace(testPolicy, "[[service.route]]", "[service.limits]\nmax_body_bytes = 1048576\n\n[[service.route]]", 1)
	if _, err := table.Set(policy.VersionedDocument{Service: "booking", Epoch: 1, Text: []byte(text)}); err != nil {
		t.Fatal(err)
	}
	for buffered, status := range map[int64]int{512 << 10: http.StatusBadRequest, 0: http.StatusBadGateway} {
		f := newFleet(t, 1, func(_ *OwnerOptions, in *IngressOptions) { in.Policies, in.MaxBufferedBodyBytes = table, buffered })
		var smuggled atomic.Bool
		f.serve(0, "b1", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			smuggled.Store(smuggled.Load() || r.URL.Path == "/smuggled")
		})
		c, r := f.dialCaller(t)
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: booking.test\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+
			"malformed\r\nPOST /smuggled HTTP/1.1\r\nHost: booking.test\r\nContent-Length: 0\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != status {
			t.Fatalf("%+v, %v", resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if n, err := io.Copy(io.Discard, r); n > 0 || err != nil || smuggled.Load() {
			t.Errorf("%d bytes after the response, %v; the smuggled request ran: %t", n, err, smuggled.Load())
		}
	}
}

// serveEarly starts a backend server that responds without reading the body of the request, and
// closes the connection a moment later.
func serveEarly(t *testing.T, response string) string {
	return serveRaw(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, response)
			time.Sleep(50 * time.Millisecond) // The response begins before the connection ends.
		}
	})
}

// unfinishedUploads are the ends of request heads with a body of which one byte is sent.
var unfinishedUploads = []string{"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", "Content-Length: 100\r\n\r\nx"}

// Guards against an early response, cut or whole, that the caller gets only once it sends more
// of its upload or once its deadline has passed, because the end of the attempt or of the
// connection waits for the next bytes of the upload.
func TestEarlyResponseEndsDespiteUnfinishedUpload(t *testing.T) {
	responses := []struct{ text, body string }{
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", "part"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole"},
	}
	for _, response := range responses {
		for i, upload := range unfinishedUploads {
			for owner := range 2 {
				f := newFleet(t, 2)
				f.own(owner, "b1", serveEarly(t, response.text), 4)
				c, r := f.dialCaller(t)
				_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: booking.test\r\n%s", upload)
				_ = c.SetReadDeadline(time.Now().Add(6 * time.Second)) // The timeout of the route is 2 s.
				start := time.Now()
				var body []byte
				resp, err := http.ReadResponse(r, nil)
				if err == nil {
					body, err = io.ReadAll(resp.Body)
				}
				if string(body) != response.body || (err == nil) != (response.body == "whole") || time.Since(start) > time.Second {
					t.Errorf("owner %d, upload %d: %q, %v after %v", owner, i, body, err, time.Since(start).Round(time.Millisecond))
				}
			}
		}
	}
}

// Guards against the same for a caller that speaks HTTP/2.
func TestEarlyResponseEndsDespiteUnfinishedUploadHTTP2(t *testing.T) {
	for owner := range 2 {
		f := newFleet(t, 2)
		f.own(owner, "b1", serveEarly(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"), 4)
		upload, more := io.Pipe()
		defer more.Close()
		go func() { _, _ = more.Write([]byte("x")) }()
		start := time.Now()
		got := f.send(0, "POST", "/", upload, overHTTP2(f.nodes[0]))
		if got.body != "whole" || got.err != nil || time.Since(start) > time.Second {
			t.Errorf("owner %d: %+v after %v", owner, got, time.Since(start).Round(time.Millisecond))
		}
	}
}

// Guards against a refusal that is held back after the deadline for a body that came too late.
func TestLateBodyIsRefusedAtDeadline(t *testing.T) {
	for _, head := range unfinishedUploads {
		f := newFleet(t, 1, func(_ *OwnerOptions, in *IngressOptions) { in.MaxBufferedBodyBytes = 512 << 10 })
		f.serve(0, "b1", func(http.ResponseWriter, *http.Request) {})
		c, r := f.dialCaller(t)
		start := time.Now()
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: booking.test\r\n%s: 300\r\n%s", header.DeadlineMillis, head)
		_ = c.SetReadDeadline(start.Add(6 * time.Second))
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusRequestTimeout || time.Since(start) > time.Second {
			t.Errorf("%.20q: %v, %v after %v", head, resp, err, time.Since(start).Round(time.Millisecond))
		}
	}
}

// Guards against an attempt that continues with the next bytes after its end, although the bytes
// before them may have been discarded.
func TestEndedAttemptGetsNoBytes(t *testing.T) {
	upload, more := io.Pipe()
	b, err := newCallerBody(httptest.NewRequest("POST", "/", upload), 0, newByteBudget(0))
	if err != nil {
		t.Fatal(err)
	}
	a := b.open()
	type read struct {
		n   int
		err error
	}
	ended := make(chan read, 1)
	go func() {
		n, err := a.Read(make([]byte, 4))
		ended <- read{n, err}
	}()
	waitFor(t, func() bool { return !b.replayable() })
	_ = a.Close()
	_, _ = more.Write([]byte("rest"))
	if got := <-ended; got != (read{0, errAttemptEnded}) {
		t.Errorf("got %+v", got)
	}
}

// Guards against a response of the node itself that is held back until the caller has sent its
// body, and against a caller that is not told that its connection ends with it.
func TestOutcomeArrivesDespiteUnfinishedUpload(t *testing.T) {
	cases := []struct {
		host   string
		within time.Duration
		closes bool
	}{
		{"booking.test", time.Second, true}, // No owner holds a lease.
		{"unknown.test", lingerTime + time.Second, false},
	}
	for _, tc := range cases {
		for i, upload := range unfinishedUploads {
			f := newFleet(t, 2)
			f.serve(1, "b1", func(http.ResponseWriter, *http.Request) {})
			f.nodes[1].leases.ReleaseAll()
			c, r := f.dialCaller(t)
			_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: %s\r\n%s", tc.host, upload)
			start := time.Now()
			_ = c.SetReadDeadline(start.Add(tc.within))
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.Header.Get(header.Outcome) != header.NotRun || tc.closes && !resp.Close {
				t.Errorf("%s, upload %d: %+v, %v after %v", tc.host, i, resp, err, time.Since(start).Round(time.Millisecond))
			}
		}
	}
}

// Guards against a cut response that looks whole to a caller that speaks HTTP/1.0, to which the
// end of the connection is the end of a response of unknown length.
func TestCutResponseIsNotWholeOverHTTP10(t *testing.T) {
	for owner := range 2 {
		f := newFleet(t, 2)
		f.own(owner, "b1", serveEarly(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"), 4)
		c, r := f.dialCaller(t)
		_, _ = io.WriteString(c, "GET / HTTP/1.0\r\nHost: booking.test\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			continue
		}
		if body, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("owner %d: %q looks whole", owner, body)
		}
	}
}

// Guards against an upload that stops when a response of status 300 or above begins: the HTTP/2
// client of net/http then sends no more of the body.
func TestEarlyFailureLeavesUploadWhole(t *testing.T) {
	for owner := range 2 {
		f := newFleet(t, 2)
		ran := make(chan int64, 1)
		f.serve(owner, "b1", func(w http.ResponseWriter, r *http.Request) {
			control := http.NewResponseController(w)
			_ = control.EnableFullDuplex()
			_, _ = r.Body.Read(make([]byte, 1))
			w.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(w, "early, ")
			_ = control.Flush()
			n, _ := io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "complete")
			ran <- n + 1
		})
		upload, more := io.Pipe()
		go func() {
			defer more.Close()
			for range 40 {
				_, _ = more.Write(make([]byte, 1000))
				time.Sleep(time.Millisecond)
			}
		}()
		got := f.send(0, http.MethodPost, "/", upload)
		if n := <-ran; n != 40_000 || got.body != "early, complete" || got.err != nil {
			t.Errorf("owner %d: the backend server ran %d bytes; %+v", owner, n, got)
		}
	}
}
