package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/transport/backend"
	"wigeonspring.example/wigeonspring/internal/transport/peer"
)

// largeResponse exceeds what the buffers of all connections of a request hold together.
const largeResponse = 24 << 20

// serveLarge starts a backend server with large responses for the path /large, and small ones
// otherwise.
func (f *testFleet) serveLarge(owner, slots int) {
	s := f.serve(owner, "b1", func(w http.ResponseWriter, r *http.Request) {
		n := 2
		if r.URL.Path == "/large" {
			n = largeResponse
		}
		w.Header().Set("Content-Length", fmt.Sprint(n))
		_, _ = w.Write(make([]byte, n))
	})
	f.own(owner, "b1", s.Listener.Addr().String(), slots)
}

// requestUnread sends a request for a large response, of which it reads the first bytes.
func (f *testFleet) requestUnread(t *testing.T, headers ...string) (net.Conn, *http.Response) {
	t.Helper()
	c, err := net.Dial("tcp", f.nodes[0].callerServer.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(c, "GET /large HTTP/1.1\r\nHost: booking.test\r\n%s\r\n", strings.Join(headers, ""))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return c, resp
}

// patientPolicy returns testPolicy with a timeout that callers do not reach while they read
// several large responses one after the other.
func patientPolicy(t *testing.T) *policy.Table {
	t.Helper()
	table := policy.NewTable(policy.TableOptions{})
	text := strings.Replace(testPolicy, `timeout = "2s"`, `timeout = "30s"`, 1)
	if _, err := table.Set(policy.VersionedDocument{Service: "booking", Epoch: 1, Text: []byte(text)}); err != nil {
		t.Fatal(err)
	}
	return table
}

// Guards against callers that read slowly and exhaust the memory of their node, and against one
// that takes a response which was aborted for it for a whole one.
func TestMemoryOfUnreadResponsesIsBounded(t *testing.T) {
	const slow, fit = 8, 5
	for _, bounded := range []bool{true, false} {
		events := &eventRecorder{}
		f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) {
			in.Events, in.Policies = events, patientPolicy(t)
			in.UnreadResponseBytes = 1 << 40
			if bounded {
				in.UnreadResponseBytes = fit*(peer.StreamWindow+copyBufferBytes) + 1<<10
			}
		})
		f.serveLarge(1, 2*slow)
		in := f.nodes[0].ingress
		var responses []*http.Response
		for range slow {
			c, resp := f.requestUnread(t)
			_ = c.SetDeadline(time.Now().Add(30 * time.Second))
			responses = append(responses, resp)
			time.Sleep(20 * time.Millisecond)
		}
		blocked := func() (n int, bytes int64) {
			in.unread.mu.Lock()
			defer in.unread.mu.Unlock()
			return in.unread.blocked.Len(), in.unread.bytes
		}
		want := map[bool]int{true: fit, false: slow}[bounded]
		for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
			if n, _ := blocked(); n == want {
				break
			}
		}
		time.Sleep(minUnreadTime + 200*time.Millisecond) // Nothing changes any more.
		if n, bytes := blocked(); n != want {
			t.Errorf("bounded %t: %d responses with %d KB are unread, want %d", bounded, n, bytes>>10, want)
		}
		if got := f.send(0, http.MethodGet, "/small", nil); got.status != http.StatusOK || got.err != nil {
			t.Errorf("bounded %t: a further request got %+v", bounded, got)
		}
		if !bounded {
			continue
		}
		if reason := events.reason(event.ResponseUnread); reason != reasonUnreadMemory {
			t.Errorf("event with the reason %q", reason)
		}
		for i, resp := range responses {
			n, err := io.Copy(io.Discard, resp.Body)
			if whole := err == nil && n == largeResponse; whole != (i >= slow-fit) {
				t.Errorf("response %d: %d bytes, %v", i, n, err)
			}
		}
	}
}

// Guards against callers that read slowly and hold up other requests on the connection between
// the nodes.
func TestSlowReadersDoNotBlockConnectionBetweenNodes(t *testing.T) {
	const slow = 30
	f := newFleet(t, 2)
	f.serveLarge(1, 2*slow)
	for range slow {
		f.requestUnread(t)
	}
	time.Sleep(700 * time.Millisecond) // All buffers are full.
	for range 5 {
		start := time.Now()
		got := f.send(0, http.MethodGet, "/small", nil)
		if took := time.Since(start); got.status != http.StatusOK || got.err != nil || took > 500*time.Millisecond {
			t.Errorf("%+v after %s", got, took)
		}
	}
}

// Guards against a response without end at a caller that does not read it, and against one that
// ends without an event.
func TestUnreadResponseEndsAfterDeadline(t *testing.T) {
	events := &eventRecorder{}
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.Events = events })
	f.serveLarge(0, 4)
	_, resp := f.requestUnread(t, header.DeadlineMillis+": 300\r\n")
	waitFor(t, func() bool { return events.reason(event.ResponseUnread) == reasonUnreadLate })
	if _, err := io.Copy(io.Discard, resp.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the rest of the response ended with %v", err)
	}
}

// Guards against a backend server that is suspected because it cut off a response which its
// caller did not read.
func TestCutOfUnreadResponseIsNoEvidence(t *testing.T) {
	for owner, shape := range []string{"one node", "two nodes"} {
		for _, reads := range []bool{false, true} {
			f := newFleet(t, 2)
			f.own(owner, "b1", serveRaw(t, func(c net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_ = c.SetDeadline(time.Now().Add(maxUnread + 300*time.Millisecond))
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 2*largeResponse)
				_, _ = c.Write(make([]byte, largeResponse))
			}), 4)
			_, resp := f.requestUnread(t)
			if !reads {
				time.Sleep(maxUnread + 500*time.Millisecond)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err == nil {
				t.Error("the response was not cut")
			}
			waitFor(t, func() bool { return len(f.nodes[owner].observations()) > 0 })
			want := evidence.Canceled
			if reads {
				want = evidence.Truncated
			}
			if o := f.nodes[owner].observations(); o[0].Kind != want {
				t.Errorf("%s, the caller reads %t: counted as %s, want %s", shape, reads, o[0].Kind, want)
			}
		}
	}
}

// Guards against a request that fails although it may run again and its caller has got nothing
// of the response that was cut.
func TestResponseCutBeforeItsBodyIsTriedElsewhere(t *testing.T) {
	for owner, shape := range []string{"one node", "two nodes"} {
		f := newFleet(t, 2)
		var cut atomic.Int64
		f.own(owner, "b1", serveRaw(t, func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			cut.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n")
		}), 4)
		f.serve(1-owner, "b2", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
		for range 100 {
			if got := f.send(0, http.MethodGet, "/", nil); got.body != "ok" || got.err != nil {
				t.Errorf("%s: %+v", shape, got)
			}
			if cut.Load() > 0 {
				break
			}
		}
		if cut.Load() != 1 {
			t.Errorf("%s: %d idempotent requests were cut, want 1", shape, cut.Load())
		}
		for range 100 {
			before := cut.Load()
			got := f.send(0, http.MethodPost, "/", nil)
			if cut.Load() == before {
				continue
			}
			if cut.Load() != before+1 || got.status != http.StatusBadGateway || got.reason != backend.ReasonTruncated {
				t.Errorf("%s: a request that must not be repeated reached b1 %d times and got %+v", shape, cut.Load()-before, got)
			}
			break
		}
	}
}
