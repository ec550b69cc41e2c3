package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/standin/relay"
	"wigeonspring.example/wigeonspring/standin/relay/relaytest"
)

// newLinkedFleet returns a fleet whose first node reaches the second through a link. One
// request has passed, so that the connection between them exists.
func newLinkedFleet(t *testing.T, nodes int, h http.HandlerFunc) (*testFleet, *relay.Relay) {
	t.Helper()
	f := newFleet(t, nodes, func(_ *OwnerOptions, in *IngressOptions) {
		in.ExpectContinue, in.MaxBufferedBodyBytes, in.FreeRefusals = true, 1<<20, 4
	})
	link := relaytest.Start(t, f.nodes[1].addr)
	f.nodes[1].addr = link.Addr()
	f.serve(1, "b1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/first" {
			h(w, r)
		}
	})
	if got := f.send(0, "POST", "/first", nil); got.outcome != header.Answered {
		t.Fatalf("the first request: %+v", got)
	}
	return f, link
}

// Guards against a request whose outcome is reported as unknown, or whose caller waits, after
// its connection between two nodes fell silent or was reset while it ran.
func TestReplyIsRecoveredAfterConnectionFails(t *testing.T) {
	fail := map[string]func(*relay.Relay){"silent": (*relay.Relay).StallConnections, "reset": (*relay.Relay).ResetConnections}
	for name, failure := range fail {
		for _, when := range []string{"running", "response under way"} {
			var runs atomic.Int32
			begun, free := make(chan struct{}, 1), make(chan struct{})
			f, link := newLinkedFleet(t, 2, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				begun <- struct{}{}
				<-free
				_, _ = io.WriteString(w, strings.Repeat("whole", 1000))
			})
			done := make(chan result, 1)
			start := time.Now()
			go func() { done <- f.send(0, "POST", "/", strings.NewReader("x")) }()
			<-begun
			if when == "response under way" {
				link.SetLink(relay.Link{DelayMicros: 50_000})
				close(free)
				waitFor(t, func() bool { l, _ := f.nodes[1].backends.Load("b1"); return l.InUse == 0 })
				failure(link)
				link.SetLink(relay.Link{})
			} else {
				failure(link)
				time.AfterFunc(100*time.Millisecond, func() { close(free) })
			}
			got := <-done
			if got.outcome != header.Answered || got.body != strings.Repeat("whole", 1000) || runs.Load() != 1 {
				t.Errorf("%s, %s: %.200s after %d runs", name, when, fmt.Sprintf("%+v", got), runs.Load())
			}
			if took := time.Since(start); took > 1900*time.Millisecond {
				t.Errorf("%s, %s: recovered after %s", name, when, took)
			}
		}
	}
}

// Guards against a request that is reported as unknown although the owner never received it,
// or had not begun it and can no longer receive its body.
func TestRequestIsPlacedElsewhereAfterConnectionFails(t *testing.T) {
	for _, c := range []struct{ name, body string }{{"never received", ""}, {"never received, with a body", "x"}, {"queued without its body", "x"}} {
		var runs atomic.Int32
		free := make(chan struct{})
		f, link := newLinkedFleet(t, 3, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/holds" {
				<-free
				return
			}
			runs.Add(1)
		})
		var body io.Reader
		if c.body != "" {
			body = strings.NewReader(c.body)
		}
		done := make(chan result, 2)
		b1 := func() (inUse, queued int) { l, _ := f.nodes[1].backends.Load("b1"); return l.InUse, l.Queued }
		if c.name == "queued without its body" {
			f.nodes[1].backends.get("b1").admitter.controller.SetSlots(1)
			go f.send(1, "POST", "/holds", nil)
			waitFor(t, func() bool { n, _ := b1(); return n == 1 })
			go func() { done <- f.send(0, "POST", "/", body) }()
			waitFor(t, func() bool { _, n := b1(); return n == 1 })
			link.StallConnections()
		} else {
			link.StallConnections()
			go func() { done <- f.send(0, "POST", "/", body) }()
			time.Sleep(20 * time.Millisecond) // It is placed at the only backend server.
		}
		f.serve(2, "b2", func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			n, _ := io.Copy(w, r.Body)
			_, _ = fmt.Fprint(w, n)
		})
		got := <-done
		close(free)
		if got.outcome != header.Answered || got.body != fmt.Sprint(c.body, len(c.body)) {
			t.Errorf("%s: %+v", c.name, got)
		}
		if err := f.nodes[1].owner.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		if n := runs.Load(); n != 1 {
			t.Errorf("%s: %d runs", c.name, n)
		}
	}
}

// Guards against an upload whose connection fell silent halfway and which holds a slot until
// its deadline, or is reported as not run although a backend server has a part of it.
func TestHalfSentUploadEndsWithUnknownOutcome(t *testing.T) {
	var runs atomic.Int32
	begun := make(chan struct{})
	f, link := newLinkedFleet(t, 2, func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		close(begun)
		_, _ = io.Copy(io.Discard, r.Body)
	})
	f.nodes[0].ingress.opt.MaxBufferedBodyBytes = 0 // The body is streamed.
	body, rest := io.Pipe()
	done := make(chan result, 1)
	start := time.Now()
	go func() { done <- f.send(0, "POST", "/", body) }()
	_, _ = rest.Write([]byte(strings.Repeat("x", 1000)))
	<-begun
	link.StallConnections()
	go func() { _, _ = rest.Write([]byte("y")) }()
	defer rest.Close()
	if got := <-done; got.outcome != header.Unknown || runs.Load() != 1 {
		t.Errorf("%+v after %d runs", got, runs.Load())
	}
	if took := time.Since(start); took > 1900*time.Millisecond {
		t.Errorf("ended after %s, not before its deadline", took)
	}
	waitFor(t, func() bool { l, _ := f.nodes[1].backends.Load("b1"); return l.InUse == 0 })
}

// Guards against a backend server that works on for a caller who left while the connection
// between the nodes was silent.
func TestRecoveredRequestIsCanceledWithItsCaller(t *testing.T) {
	begun, gone := make(chan struct{}), make(chan struct{})
	f, link := newLinkedFleet(t, 2, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(gone)
	})
	ctx, leave := context.WithCancel(context.Background())
	go f.send(0, "POST", "/", nil, func(r *http.Request) { *r = *r.WithContext(ctx) })
	<-begun
	link.StallConnections()
	f.send(0, "GET", "/first", nil)    // Its missing acknowledgment shows that the connection is silent.
	time.Sleep(100 * time.Millisecond) // The request on the new connection waits for the reply.
	leave()
	select {
	case <-gone:
	case <-time.After(time.Second):
		t.Fatal("the backend server still works for a caller who left")
	}
}

// Guards against a reply that is kept without bound, and against a part of a reply that is
// sent as the whole.
func TestKeptRepliesAreBounded(t *testing.T) {
	begun := make(chan struct{}, 1)
	f, link := newLinkedFleet(t, 2, func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, strings.Repeat("x", maxKeptReplyBytes+1))
	})
	before := f.nodes[1].owner.keptReplies.free.Load()
	done := make(chan result, 1)
	go func() { done <- f.send(0, "POST", "/", nil) }()
	<-begun
	link.StallConnections()
	if got := <-done; got.outcome != header.Unknown || got.reason != reasonNotKept {
		t.Errorf("%.200s", fmt.Sprintf("%+v", got))
	}
	if free := f.nodes[1].owner.keptReplies.free.Load(); free != before {
		t.Errorf("%d bytes free, want %d", free, before)
	}
}

// Guards against a node that runs out of memory because a backend server sends large headers,
// which it keeps for a recovery.
func TestKeptHeadersAreBounded(t *testing.T) {
	const replies, valueBytes = 200, 100 << 10
	f, _ := newLinkedFleet(t, 2, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Large", strings.Repeat("x", valueBytes))
	})
	before := heapBytes()
	for range replies {
		if got := f.send(0, "POST", "/", nil); got.outcome != header.Answered || len(got.header.Get("X-Large")) != valueBytes {
			t.Fatalf("%.200s", fmt.Sprintf("%+v", got))
		}
	}
	if grown := heapBytes() - before; grown > 2*keptReplyBytes {
		t.Errorf("%d bytes are kept after replies with headers of %d bytes", grown, replies*valueBytes)
	}
	if free := f.nodes[1].owner.keptReplies.free.Load(); free < 0 || free > keptReplyBytes {
		t.Errorf("%d bytes of %d free", free, keptReplyBytes)
	}
}

// heapBytes returns the memory that is in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Fails connections at random moments while requests that must not be repeated run. Guards
// against one that runs twice, and one that is reported as not run although it ran.
func TestRecoveryKeepsGuaranteesAtRandomMoments(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	run := func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // The rest of the body did not come.
		}
		mu.Lock()
		runs[r.URL.Path]++
		mu.Unlock()
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	}
	f, link := newLinkedFleet(t, 3, run)
	f.serve(2, "b2", run)
	stop := make(chan struct{})
	var failures sync.WaitGroup
	failures.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(100+rand.IntN(400)) * time.Millisecond):
			}
			if i%3 == 0 {
				link.ResetConnections()
			} else {
				link.StallConnections()
			}
		}
	})
	outcomes, refused := map[string]int{}, []string{}
	var callers sync.WaitGroup
	for c := range 12 {
		callers.Go(func() {
			for i := range 25 {
				path := fmt.Sprintf("/%d-%d", c, i)
				var body io.Reader
				if i%2 == 0 {
					body = strings.NewReader("body")
				}
				got := f.send(0, "POST", path, body)
				mu.Lock()
				outcomes[got.outcome]++
				if got.outcome == header.NotRun {
					refused = append(refused, path)
				}
				n := runs[path]
				mu.Unlock()
				if n > 1 || got.outcome == header.NotRun && n > 0 {
					t.Errorf("%s: %s (%s) after %d runs", path, got.outcome, got.reason, n)
				}
				if got.outcome == header.Answered && !strings.HasPrefix(got.body, path) {
					t.Errorf("%s: answered with %q", path, got.body)
				}
			}
		})
	}
	callers.Wait()
	close(stop)
	failures.Wait()
	for i := range f.nodes {
		if err := f.nodes[i].owner.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	for _, path := range refused {
		if runs[path] > 0 {
			t.Errorf("%s ran after it was reported as not run", path)
		}
	}
	if outcomes[header.Answered] < 270 {
		t.Errorf("outcomes of 300 requests: %v", outcomes)
	}
}

// Guards against a response that is cut because its connection was taken for silent although it
// was only slow: the ingress node then abandons the recovery and reads on.
func TestAbandonedRecoveryDoesNotCutResponse(t *testing.T) {
	for _, c := range []struct {
		name         string
		status       int
		disconnected bool
		want         bool
	}{
		{"the caller left before the reply", 0, false, true},
		{"the reply arrives on the first connection", 200, false, false},
		{"the first connection is closed", 200, true, true},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		r := &recoverable{cancel: cancel, done: make(chan struct{}), status: c.status, disconnected: c.disconnected}
		abandoned, abandon := context.WithCancel(t.Context())
		abandon()
		NewOwner(OwnerOptions{}).replyAgain(abandoned, nil, "id", r)
		if canceled := ctx.Err() != nil; canceled != c.want || r.queries != 0 {
			t.Errorf("%s: canceled %t, %d queries left", c.name, canceled, r.queries)
		}
		cancel()
	}
}
