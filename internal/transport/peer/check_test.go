package peer

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/standin/relay"
	"wigeonspring.example/wigeonspring/standin/relay/relaytest"
)

// newLinkedPool returns a pool that connects to a server through a link, whose failures the
// test controls.
func newLinkedPool(t *testing.T, h http.HandlerFunc) (p *Pool, link *relay.Relay, s *testServer) {
	t.Helper()
	s = serve(t, h)
	link = relaytest.Start(t, s.addr)
	return newTestPool(t, Options{CheckAfter: 100 * time.Millisecond, CheckTimeout: 200 * time.Millisecond}), link, s
}

// Guards against requests that wait until their deadline on a connection that no longer
// delivers data, although the peer responds on a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	p, link, s := newLinkedPool(t, func(http.ResponseWriter, *http.Request) {})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := get(ctx, p, link.Addr()); err != nil {
		t.Fatal(err)
	}
	link.StallConnections()
	var e *Error
	begun := time.Now()
	if err := get(ctx, p, link.Addr()); !errors.As(err, &e) || e.Reason != ReasonLost || e.NotProcessed {
		t.Fatalf("request on a silent connection: %v", err)
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("detected after %s", took)
	}
	if err := get(ctx, p, link.Addr()); err != nil || s.conns.Load() != 2 {
		t.Fatalf("the next request: %v, %d connections", err, s.conns.Load())
	}
}

// Guards against the replacement of a connection only because its requests take long.
func TestSlowRequestKeepsConnection(t *testing.T) {
	p, link, s := newLinkedPool(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodHead {
			time.Sleep(500 * time.Millisecond)
		}
	})
	for range 3 {
		if err := get(context.Background(), p, link.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// Guards against the loss of a response because the peer was paused or disconnected for
// a short time, in which no connection to it works.
func TestResponseSurvivesShortInterruption(t *testing.T) {
	p, link, _ := newLinkedPool(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodHead {
			time.Sleep(100 * time.Millisecond)
		}
	})
	if err := get(context.Background(), p, link.Addr()); err != nil {
		t.Fatal(err)
	}
	link.SetLink(relay.Link{CutIn: true, CutOut: true})
	time.AfterFunc(1500*time.Millisecond, func() { link.SetLink(relay.Link{}) })
	if err := get(context.Background(), p, link.Addr()); err != nil {
		t.Fatal(err)
	}
}

// Guards against a check of a connection that outlives the pool.
func TestCloseEndsCheck(t *testing.T) {
	p, link, _ := newLinkedPool(t, func(http.ResponseWriter, *http.Request) {})
	if err := get(context.Background(), p, link.Addr()); err != nil {
		t.Fatal(err)
	}
	p.opt.CheckTimeout = time.Minute
	link.StallConnections()
	ended := make(chan bool)
	go func() { ended <- p.check(p.peers[link.Addr()]) }()
	time.Sleep(50 * time.Millisecond)
	p.Close()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the check goes on")
	}
}
