package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// zeros is an endless body.
type zeros struct{ read atomic.Int64 }

func (z *zeros) Read(p []byte) (int, error) {
	z.read.Add(int64(len(p)))
	return len(p), nil
}

// Guards against a node that buffers a whole upload in memory.
func TestUploadStreamsWithBoundedMemory(t *testing.T) {
	const size = 16 << 20
	for _, owner := range []int{0, 1} {
		f := newFleet(t, 2)
		var peak uint64
		f.serve(owner, "b1", func(w http.ResponseWriter, r *http.Request) {
			buf := make([]byte, 64<<10)
			var total, next int64
			for {
				n, err := r.Body.Read(buf)
				total += int64(n)
				if total >= next { // A slow reader causes back-pressure.
					time.Sleep(2 * time.Millisecond)
					runtime.GC()
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					peak = max(peak, m.HeapAlloc)
					next += 1 << 20
				}
				if err != nil {
					break
				}
			}
			_, _ = fmt.Fprint(w, total)
		})
		runtime.GC()
		var before runtime.MemStats
		runtime.ReadMemStats(&before)
		res := f.send(0, "POST", "/", io.LimitReader(&zeros{}, size))
		if res.body != fmt.Sprint(size) {
			t.Fatalf("owner %d: got %+v", owner, res)
		}
		grown := (int64(peak) - int64(before.HeapAlloc)) >> 10
		t.Logf("owner %d: heap grew by %d KB during an upload of %d KB", owner, grown, size>>10)
		if grown > 4<<10 {
			t.Errorf("owner %d: heap grew by %d KB", owner, grown)
		}
	}
}

// Guards against an upload that cannot be tried elsewhere after an owner has refused
// it, because bytes of it were read, and against one that ran although it is reported
// as not run.
func TestUploadRefusedByOwnerIsTriedElsewhere(t *testing.T) {
	for i := range 4 {
		refusing, maxBuffered := i%2, int64(i/2)<<20
		f := newFleet(t, 3, func(_ *OwnerOptions, in *IngressOptions) { in.MaxBufferedBodyBytes = maxBuffered })
		size := 1 << 20
		if maxBuffered > 0 {
			size = 10_000
		}
		var ran atomic.Int32
		count := func(w http.ResponseWriter, r *http.Request) {
			ran.Add(1)
			n, _ := io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprint(w, n)
		}
		f.serve(refusing, "b1", count)
		f.nodes[refusing].leases.ReleaseAll()
		upload := func() result { return f.send(0, "POST", "/", strings.NewReader(strings.Repeat("x", size))) }
		if res := upload(); res.outcome != header.NotRun || ran.Load() != 0 {
			t.Fatalf("owner %d: ran %d times, got %+v, %v", refusing, ran.Load(), res, res.err)
		}
		f.serve(2, "b2", count)
		for range 2 { // The retry budget allows 3; the first upload took one.
			if res := upload(); res.body != fmt.Sprint(size) {
				t.Fatalf("owner %d: got %+v", refusing, res)
			}
		}
	}
}

// Guards against a truncated upload that the backend server takes for complete, and
// against counting the truncation by the caller as a failure of the backend server.
func TestTruncatedUploadIsReportedAsCanceled(t *testing.T) {
	for _, owner := range []int{0, 1} {
		f := newFleet(t, 2)
		begun, got := make(chan struct{}), make(chan error, 1)
		f.serve(owner, "b1", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = r.Body.Read(make([]byte, 1))
			close(begun)
			_, err := io.Copy(io.Discard, r.Body)
			got <- err
		})
		pr, pw := io.Pipe()
		go func() {
			_, _ = pw.Write(make([]byte, 1000))
			<-begun // An upload that ends earlier does not reach the backend server.
			_ = pw.CloseWithError(io.ErrUnexpectedEOF)
		}()
		f.send(0, "POST", "/", pr)
		if err := <-got; err == nil {
			t.Fatalf("owner %d: the backend server received a complete body", owner)
		}
		waitFor(t, func() bool { return len(f.nodes[owner].observations()) == 1 })
		if o := f.nodes[owner].observations()[0]; o.Kind != evidence.Canceled {
			t.Fatalf("owner %d: observed kind %d", owner, o.Kind)
		}
	}
}

// Guards against a queued request that runs after its deadline or after the lease has
// lapsed, although it is reported as not run.
func TestQueuedRequestIsRefusedInTime(t *testing.T) {
	cases := []struct {
		name, reason string
		off          bool
		during       func(n *testNode)
		ran          int32
	}{
		{name: "deadline passes", reason: reasonDeadline, ran: 1, during: func(*testNode) { time.Sleep(150 * time.Millisecond) }},
		{name: "lease lapses", reason: reasonLease, ran: 1, during: func(n *testNode) { n.leases.ReleaseAll() }},
		{name: "lease check off", off: true, ran: 2, during: func(n *testNode) { n.leases.ReleaseAll() }},
		{name: "backend server drains", reason: "backend_draining", ran: 1, during: func(n *testNode) {
			a := n.leases.Owned()[0].Announcement
			a.Draining = true
			n.backends.Upsert(a, policy.Limits{})
		}},
	}
	for _, tc := range cases {
		for _, owner := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s/owner %d", tc.name, owner), func(t *testing.T) {
				f := newFleet(t, 2)
				n := f.nodes[owner]
				n.owner.disabled.lease = tc.off
				var ran atomic.Int32
				release := make(chan struct{})
				s := f.serve(owner, "b1", func(http.ResponseWriter, *http.Request) { ran.Add(1); <-release })
				a := ownership.Announcement{Backend: "b1", Service: "booking", Slots: 1, Incarnation: 1, Address: strings.TrimPrefix(s.URL, "http://")}
				n.backends.Upsert(a, policy.Limits{})
				first, second := make(chan result, 1), make(chan result, 1)
				go func() { first <- f.send(0, "POST", "/", nil) }()
				waitFor(t, func() bool { return ran.Load() == 1 })
				go func() {
					second <- f.send(0, "POST", "/", strings.NewReader("x"), func(r *http.Request) { r.Header.Set(header.DeadlineMillis, "100") })
				}()
				waitFor(t, func() bool { l, _ := n.backends.Load("b1"); return l.Queued == 1 })
				tc.during(n)
				close(release)
				if res := <-first; res.outcome != header.Answered {
					t.Fatalf("first: %+v", res)
				}
				if res := <-second; !tc.off && (res.outcome != header.NotRun || res.reason != tc.reason) {
					t.Fatalf("second: %+v", res)
				}
				if ran.Load() != tc.ran {
					t.Fatalf("ran %d times, want %d", ran.Load(), tc.ran)
				}
			})
		}
	}
}

// Guards against a request that is reported as not run although its owner was lost while
// it ran, and against an idempotent request that fails because of the lost owner.
func TestOwnerLostDuringRequest(t *testing.T) {
	f := newFleet(t, 3)
	var ran atomic.Int32
	var kill sync.Once
	f.serve(1, "b1", func(_ http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		kill.Do(func() { go func() { _ = f.nodes[1].peerServer.Close() }() })
		<-r.Context().Done()
	})
	if res := f.send(0, "POST", "/", nil); res.outcome != header.Unknown || res.reason != "peer_connection_lost" || res.status != 502 {
		t.Fatalf("got %+v", res)
	}
	if res := f.send(0, "POST", "/", nil); res.outcome != header.NotRun || ran.Load() != 1 {
		t.Fatalf("after the kill: %+v, ran %d", res, ran.Load())
	}
	f.serve(2, "b2", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("b2")) })
	for range 10 { // The lost owner is excluded.
		if res := f.send(0, "GET", "/", nil); res.body != "b2" {
			t.Fatalf("got %+v", res)
		}
	}
}

// Guards against an owner's response to another request that is sent to the caller.
func TestOwnerResponseToOtherRequestIsDiscarded(t *testing.T) {
	for _, off := range []bool{false, true} {
		f := newFleet(t, 2)
		n := f.nodes[1]
		f.serve(1, "b1", func(http.ResponseWriter, *http.Request) {})
		n.peerServer.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(header.RequestID, header.NewRequestID())
			w.Header().Set(header.Outcome, header.Answered)
			_, _ = w.Write([]byte("foreign"))
		})
		f.nodes[0].ingress.disabled.requestID = off
		res := f.send(0, "POST", "/", nil)
		if off != (res.body == "foreign") || !off && (res.outcome != header.Unknown || f.nodes[0].peers.Len() != 0) {
			t.Fatalf("check off %t: %+v, %d peers", off, res, f.nodes[0].peers.Len())
		}
	}
}

// Guards against a shutdown that ends requests in flight or accepts new ones.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	for _, owner := range []int{0, 1} {
		f := newFleet(t, 2)
		started, release := make(chan struct{}), make(chan struct{})
		f.serve(owner, "b1", func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-release
			_, _ = w.Write([]byte("whole"))
		})
		got := make(chan result, 1)
		go func() { got <- f.send(0, "POST", "/", nil) }()
		<-started
		drains := []func(context.Context) error{f.nodes[0].ingress.Drain, f.nodes[owner].owner.Drain}
		for _, drain := range drains {
			short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			if drain(short) == nil {
				t.Fatalf("owner %d: drained with a request in flight", owner)
			}
			cancel()
		}
		if res := f.send(0, "POST", "/", nil); res.outcome != header.NotRun || res.reason != reasonStopping {
			t.Fatalf("owner %d: new request: %+v", owner, res)
		}
		close(release)
		for _, drain := range drains {
			if err := drain(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		if res := <-got; res.body != "whole" {
			t.Fatalf("owner %d: request in flight: %+v", owner, res)
		}
	}
}

// Guards against a canceled request that keeps its slot.
func TestCancellationReachesBackend(t *testing.T) {
	for _, owner := range []int{0, 1} {
		f := newFleet(t, 2)
		gone := make(chan struct{})
		f.serve(owner, "b1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); close(gone) })
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		f.send(0, "POST", "/", nil, func(r *http.Request) { *r = *r.WithContext(ctx) })
		select {
		case <-gone:
		case <-time.After(time.Second):
			t.Fatalf("owner %d: the cancellation did not reach the backend server", owner)
		}
		// The slot is returned before the exchange is reported.
		waitFor(t, func() bool {
			l, _ := f.nodes[owner].backends.Load(registry.BackendID("b1"))
			return l.InUse == 0 && len(f.nodes[owner].observations()) > 0
		})
		if o := f.nodes[owner].observations(); len(o) != 1 || o[0].Kind != evidence.Canceled {
			t.Fatalf("owner %d: observed %+v", owner, o)
		}
	}
}

// Guards against a caller that does not read its response and keeps the slot.
func TestSlowReaderReturnsSlot(t *testing.T) {
	for _, owner := range []int{0, 1} {
		f := newFleet(t, 2)
		f.serve(owner, "b1", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 32<<20)) })
		c, err := net.Dial("tcp", f.nodes[0].callerServer.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: booking.test\r\n%s: 100\r\n\r\n", header.DeadlineMillis)
		waitFor(t, func() bool { l, _ := f.nodes[owner].backends.Load("b1"); return l.InUse == 1 })
		waitFor(t, func() bool { l, _ := f.nodes[owner].backends.Load("b1"); return l.InUse == 0 })
		_ = c.Close()
	}
}
