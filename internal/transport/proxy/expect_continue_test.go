package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
)

// Guards against a request that fails although its owner was lost before it asked for
// the body. Such a request has not run and can be tried elsewhere.
func TestOwnerLostBeforeRequestingBody(t *testing.T) {
	f := newFleet(t, 3, func(_ *OwnerOptions, in *IngressOptions) {
		in.ExpectContinue, in.MaxBufferedBodyBytes, in.FreeRefusals = true, 1<<20, 4
	})
	var ran atomic.Int32
	begun, free := make(chan struct{}, 1), make(chan struct{})
	f.serve(1, "b1", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		begun <- struct{}{}
		<-free
	})
	defer close(free)
	f.nodes[1].backends.get("b1").admitter.controller.SetSlots(1)
	first := make(chan result, 1)
	go func() { first <- f.send(0, "POST", "/first", strings.NewReader("x")) }()
	<-begun // The slot is taken before the body is asked for.
	second := make(chan result, 1)
	go func() { second <- f.send(0, "POST", "/second", strings.NewReader("whole")) }()
	waitFor(t, func() bool { l, _ := f.nodes[1].backends.Load("b1"); return l.Queued == 1 })
	f.serve(2, "b2", func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	_ = f.nodes[1].peerServer.Close()
	if got := <-second; got.outcome != header.Answered || got.body != "5" || ran.Load() != 1 {
		t.Fatalf("the waiting request: %+v after %d runs", got, ran.Load())
	}
	if got := <-first; got.outcome != header.Unknown {
		t.Fatalf("the running request: %+v", got)
	}
}

// Guards against a request that waits until its deadline for an owner whose link drops all
// packets, although it has not run and another owner can serve it.
func TestOwnerThatIsSilent(t *testing.T) {
	f := newFleet(t, 3, func(_ *OwnerOptions, in *IngressOptions) {
		in.ExpectContinue, in.MaxBufferedBodyBytes, in.FreeRefusals = true, 1<<20, 4
	})
	var cut atomic.Bool
	owner := f.nodes[1].addr
	f.nodes[1].addr = serveRaw(t, func(conn net.Conn) {
		to, err := net.Dial("tcp", owner)
		if err != nil {
			return
		}
		defer to.Close()
		forward := func(to, from net.Conn) {
			buf := make([]byte, 16<<10)
			for {
				n, err := from.Read(buf)
				if err != nil {
					return
				}
				if !cut.Load() {
					_, _ = to.Write(buf[:n])
				}
			}
		}
		go forward(conn, to)
		forward(to, conn)
	})
	answer := func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
	f.serve(1, "b1", answer)
	if got := f.send(0, "POST", "/", strings.NewReader("x")); got.outcome != header.Answered {
		t.Fatalf("before the fault: %+v", got)
	}
	cut.Store(true)
	f.serve(2, "b2", answer)
	for i := range 4 {
		if got := f.send(0, "POST", "/", strings.NewReader("whole")); got.outcome != header.Answered || got.body != "whole" {
			t.Fatalf("request %d: %+v", i, got)
		}
	}
}

// Guards against a request that reaches a backend server before the first bytes of its
// body have arrived, because the ingress node may report such a request as not run.
func TestRequestIsNotSentBeforeBodyArrives(t *testing.T) {
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.ExpectContinue = true })
	var arrived atomic.Int32
	f.serve(1, "b1", func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
	body, held := io.Pipe()
	defer held.Close()
	done := make(chan result, 1)
	go func() { done <- f.send(0, "POST", "/", body) }()
	waitFor(t, func() bool { l, _ := f.nodes[1].backends.Load("b1"); return l.InUse == 1 })
	time.Sleep(50 * time.Millisecond)
	if n := arrived.Load(); n != 0 {
		t.Fatalf("the backend server got %d requests without a body", n)
	}
	if got := <-done; got.outcome != header.NotRun {
		t.Fatalf("a request whose body never came: %+v", got)
	}
	if l, _ := f.nodes[1].backends.Load("b1"); l.InUse != 0 {
		t.Fatalf("%d slots in use after a body that never came", l.InUse)
	}
}

// Guards against a request that is sent to a backend server although its lease lapsed
// while the body of the request was awaited.
func TestLeaseIsCheckedAfterBodyArrives(t *testing.T) {
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.ExpectContinue = true })
	var arrived atomic.Int32
	f.serve(1, "b1", func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
	body, rest := io.Pipe()
	done := make(chan result, 1)
	go func() { done <- f.send(0, "POST", "/", body) }()
	waitFor(t, func() bool { l, _ := f.nodes[1].backends.Load("b1"); return l.InUse == 1 })
	time.Sleep(50 * time.Millisecond)
	f.nodes[1].leases.ReleaseAll()
	_, _ = rest.Write([]byte("x"))
	_ = rest.Close()
	if got := <-done; got.outcome != header.NotRun || arrived.Load() != 0 {
		t.Fatalf("%+v after %d arrivals", got, arrived.Load())
	}
}

// Guards against an empty body without a declared length that is mistaken for a body
// that never arrives.
func TestEmptyBodyOfUnknownLength(t *testing.T) {
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.ExpectContinue, in.MaxBufferedBodyBytes = true, 1<<20 })
	f.serve(1, "b1", func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	body, end := io.Pipe()
	time.AfterFunc(400*time.Millisecond, func() { _ = end.Close() }) // net/http waits 200 ms for a first byte.
	if got := f.send(0, "POST", "/", body); got.outcome != header.Answered || got.body != "0" {
		t.Fatalf("%+v", got)
	}
}

// Guards against an upload that cannot be tried elsewhere after a backend server has
// refused it, and against memory for buffered bodies that is not freed.
func TestUploadRefusedByBackendIsTriedElsewhere(t *testing.T) {
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) {
		in.MaxBufferedBodyBytes, in.BodyBufferBytes, in.RetrySlack = 1<<20, 150_000, func() float64 { return 100 }
	})
	refuse := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for _, n := range f.nodes {
		n.ingress.opt.Dialect.NotRun = "X-Not-Run"
		n.owner.opt.Dialect.NotRun = "X-Not-Run"
	}
	f.serve(0, "b1", refuse)
	f.serve(1, "b2", func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	for i := range 6 {
		if got := f.send(0, "POST", "/", strings.NewReader(strings.Repeat("x", 100_000))); got.body != "100000" {
			t.Fatalf("upload %d: %+v", i, got)
		}
	}
	if got := f.nodes[0].ingress.bodyBuffer.free.Load(); got != 150_000 {
		t.Fatalf("%d bytes of memory free afterwards", got)
	}
	if newByteBudget(10).take(11) {
		t.Fatal("memory beyond the limit")
	}
}

// Guards against a queued request that gets no response because its node is killed,
// although the request has provably not run and can be reported as such.
func TestWaitingRequestIsAnsweredBeforeTheNodeEnds(t *testing.T) {
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) {
		in.ExpectContinue, in.MaxBufferedBodyBytes, in.FreeRefusals = true, 1<<20, 4
	})
	begun, free := make(chan struct{}), make(chan struct{})
	f.serve(1, "b1", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(begun)
		<-free
	})
	f.nodes[1].backends.get("b1").admitter.controller.SetSlots(1)
	running, waiting := make(chan result, 1), make(chan result, 1)
	go func() { running <- f.send(0, "POST", "/1", strings.NewReader("x")) }()
	<-begun // A slot in use does not suffice: the body may not have been asked for yet.
	go func() { waiting <- f.send(0, "POST", "/2", strings.NewReader("x")) }()
	waitFor(t, func() bool {
		l, _ := f.nodes[1].backends.Load("b1")
		return l.InUse == 1 && l.Queued == 1
	})
	f.nodes[0].ingress.StopAttempts()
	if got := <-waiting; got.outcome != header.NotRun || got.status != http.StatusServiceUnavailable {
		t.Fatalf("the waiting request: %+v", got)
	}
	close(free)
	if got := <-running; got.outcome != header.Answered {
		t.Fatalf("the running request: %+v", got)
	}
}

// Guards against a request that is reported as not run although it runs, if its node stops
// at any moment between the owner's decision to run it and the arrival of its body there.
func TestStopWhileBodyIsRequestedIsReportedTruthfully(t *testing.T) {
	const rounds, maxRounds = 60, 1000
	notRun, answered := 0, 0
	for i := 0; i < rounds || (notRun == 0 || answered == 0) && i < maxRounds; i++ {
		f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) {
			in.ExpectContinue, in.MaxBufferedBodyBytes, in.FreeRefusals = true, 1<<20, 4
		})
		var runs atomic.Int32
		f.serve(1, "b1", func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
		})
		done := make(chan result, 1)
		go func() { done <- f.send(0, "POST", "/", strings.NewReader("x")) }()
		for l, _ := f.nodes[1].backends.Load("b1"); l.InUse == 0 && runs.Load() == 0; l, _ = f.nodes[1].backends.Load("b1") {
			runtime.Gosched()
		}
		time.Sleep(time.Duration(i%6) * 50 * time.Microsecond)
		f.nodes[0].ingress.StopAttempts()
		got := <-done
		if err := f.nodes[1].owner.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		switch {
		case got.outcome == header.NotRun && runs.Load() == 0:
			notRun++
		case got.outcome == header.Answered && runs.Load() == 1:
			answered++
		default:
			t.Fatalf("round %d: %+v after %d runs", i, got, runs.Load())
		}
	}
	if notRun == 0 || answered == 0 {
		t.Errorf("%d requests not run, %d answered: the moments do not cover both outcomes", notRun, answered)
	}
}
