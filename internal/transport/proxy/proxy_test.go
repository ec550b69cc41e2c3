package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// violated collects the violations of invariants. The HTTP server would recover from a
// panic, and the violation would go unnoticed.
var violated struct {
	sync.Mutex
	names []string
}

// takeViolations returns the invariants that were violated since the last call.
func takeViolations() []string {
	violated.Lock()
	defer violated.Unlock()
	names := violated.names
	violated.names = nil
	return names
}

func TestMain(m *testing.M) {
	invariant.SetHandler(func(name, detail string) {
		violated.Lock()
		defer violated.Unlock()
		violated.names = append(violated.names, name)
	})
	code := m.Run()
	if names := takeViolations(); code == 0 && len(names) > 0 {
		fmt.Fprintln(os.Stderr, "violated invariants:", names)
		code = 1
	}
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// Guards against a request or a response that is changed on its way, within one process
// and over a connection between nodes, and against a backend server that is told another
// origin service than that of the ingress node, or none.
func TestRequestPassesUnchanged(t *testing.T) {
	for _, owner := range []int{0, 1} {
		f := newFleet(t, 2)
		f.nodes[0].ingress.opt.LocalService, f.nodes[1].ingress.opt.LocalService = "shop", "other"
		f.serve(owner, "b1", func(w http.ResponseWriter, r *http.Request) {
			if origin := r.Header[header.CallerService]; len(origin) != 1 || origin[0] != "shop" {
				t.Errorf("owner %d: origin service %q", owner, origin)
			}
			b, _ := io.ReadAll(r.Body)
			w.Header().Set("X-Answer", r.Header.Get("X-Question"))
			w.Header().Set(header.Load, "internal")
			w.Header()["Content-Type"] = nil
			w.Header().Set("Trailer", "X-Sum")
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write([]byte(r.Method + " " + r.Host + " " + r.RequestURI + " " + string(b) + strings.Join(r.Header["User-Agent"], "")))
			w.Header().Set("X-Sum", "7")
		})
		res := f.send(0, "POST", "/a%2Fb?q=1", strings.NewReader("payload"), func(r *http.Request) {
			r.Header.Set("X-Question", "x")
			r.Header.Set(header.Backend, "b9")
			r.Header.Set(header.CallerService, "forged")
			r.Header["User-Agent"] = []string{""}
		})
		if res.status != http.StatusCreated || res.outcome != header.Answered || res.body != "POST booking.test /a%2Fb?q=1 payload" {
			t.Fatalf("owner %d: got %+v", owner, res)
		}
		if _, guessed := res.header["Content-Type"]; guessed || res.trailer.Get("X-Sum") != "7" {
			t.Fatalf("owner %d: header %v, trailer %v", owner, res.header, res.trailer)
		}
		if res.header.Get("X-Answer") != "x" || res.header.Get(header.Load) != "" || !header.ValidRequestID(res.header.Get(header.RequestID)) {
			t.Fatalf("owner %d: header %v", owner, res.header)
		}
		obs := f.nodes[owner].observations()
		if len(obs) != 1 || obs[0].Kind != evidence.Success || obs[0].Route != "write" {
			t.Fatalf("owner %d: observed %+v", owner, obs)
		}
	}
}

// hijack returns a handler that writes raw to the connection and then closes it.
func hijack(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, buf, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = buf.WriteString(raw)
		_ = buf.Flush()
	}
}

// Guards against a fault of a backend server that is reported as the wrong outcome or
// is retried although the request may have run, and against a truncated response that
// looks complete.
func TestBackendFaults(t *testing.T) {
	late := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	reset := func(w http.ResponseWriter, _ *http.Request) {
		c, _, _ := w.(http.Hijacker).Hijack()
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	silent := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "9")
		_, _ = w.Write([]byte("hello"))
		_ = http.NewResponseController(w).Flush()
		late(w, r)
	}
	cases := []struct {
		name      string
		fault     http.HandlerFunc
		status    int
		outcome   string
		kind      evidence.Kind
		truncated bool // the response is truncated
	}{
		{"closes before the first byte", hijack(""), 502, header.Unknown, evidence.Reset, false},
		{"resets before the first byte", reset, 502, header.Unknown, evidence.Reset, false},
		{"closes in the header", hijack("HTTP/1.1 200 OK\r\nContent-Le"), 502, header.Unknown, evidence.Reset, false},
		{"responds late", late, 504, header.Unknown, evidence.Timeout, false},
		{"responds to another request", hijack("HTTP/1.1 200 OK\r\n" + header.RequestID + ": x\r\nContent-Length: 0\r\n\r\n"),
			502, header.Unknown, evidence.Reset, false},
		{"response without length", hijack("HTTP/1.1 200 OK\r\n\r\nhello"), 502, header.Unknown, evidence.Truncated, false},
		{"closes in the body", hijack("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"), 200, header.Answered, evidence.Truncated, true},
		{"stops sending in the body", silent, 200, header.Answered, evidence.Timeout, true},
		{"closes in a chunk", hijack("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"),
			200, header.Answered, evidence.Truncated, true},
		{"sheds load", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, 503, header.Answered, evidence.Shed, false},
	}
	for _, tc := range cases {
		for _, owner := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s/owner %d", tc.name, owner), func(t *testing.T) {
				f := newFleet(t, 2)
				var faults atomic.Int32
				f.serve(owner, "b1", func(w http.ResponseWriter, r *http.Request) { faults.Add(1); tc.fault(w, r) })
				// Only a backend server that goes silent makes a request last until its deadline.
				deadline := "10000"
				if tc.kind == evidence.Timeout {
					deadline = "1000"
				}
				withDeadline := func(r *http.Request) { r.Header.Set(header.DeadlineMillis, deadline) }
				res := f.send(0, "POST", "/", strings.NewReader("x"), withDeadline)
				// The reset of the stream may arrive before the header of the response.
				truncated := res.err != nil || res.outcome == header.Unknown
				if tc.truncated && !truncated || !tc.truncated && (res.err != nil || res.status != tc.status || res.outcome != tc.outcome) {
					t.Fatalf("got %+v", res)
				}
				if n := faults.Load(); n != 1 {
					t.Fatalf("the request ran %d times", n)
				}
				waitFor(t, func() bool { return len(f.nodes[owner].observations()) == 1 })
				if o := f.nodes[owner].observations()[0]; o.Kind != tc.kind {
					t.Fatalf("observed kind %d, want %d", o.Kind, tc.kind)
				}
				if tc.truncated || tc.status == 504 {
					return
				}
				f.serve(1-owner, "b2", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("b2")) })
				for range 3 { // The retry budget allows 3.
					if res := f.send(0, "GET", "/", nil, withDeadline); res.body != "b2" {
						t.Fatalf("an idempotent request got no response of the other backend server: %+v", res)
					}
				}
			})
		}
	}
}

func waitFor(t testing.TB, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatal("condition not met in 2 s")
}

// Guards against a refusal that is reported wrongly, and against a refused request that
// reaches the backend server.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *testFleet, n *testNode)
		edit    func(*http.Request)
		status  int
		reason  string
	}{
		{name: "unknown host", edit: func(r *http.Request) { r.Host = "other.test" }, status: 404, reason: reasonUnknownHost},
		{name: "unknown method", edit: func(r *http.Request) { r.Method = "PATCH" }, status: 404, reason: reasonNoRoute},
		{name: "invalid deadline", edit: func(r *http.Request) { r.Header.Set(header.DeadlineMillis, "-1") }, status: 400, reason: reasonBadDeadline},
		{name: "deadline 0", edit: func(r *http.Request) { r.Header.Set(header.DeadlineMillis, "0") }, status: 503, reason: reasonDeadline},
		{name: "lease lapsed", status: 503, reason: reasonLease,
			prepare: func(_ *testFleet, n *testNode) { n.leases.ReleaseAll() }},
		{name: "not owner", status: 503, reason: reasonNotOwner,
			prepare: func(_ *testFleet, n *testNode) { n.backends.Remove("b1") }},
		{name: "backend server ejected", status: 503, reason: "backend_ejected",
			prepare: func(_ *testFleet, n *testNode) { n.backends.SetState("b1", registry.Ejected, 1) }},
		{name: "backend server drains", status: 503, reason: "backend_draining",
			prepare: func(_ *testFleet, n *testNode) {
				a := n.leases.Owned()[0].Announcement
				a.Draining = true
				n.backends.Upsert(a, policy.Limits{})
			}},
		{name: "node stops", status: 503, reason: reasonStopping,
			prepare: func(_ *testFleet, n *testNode) { _ = n.owner.Drain(t.Context()) }},
		{name: "restarted owner", status: 503, reason: reasonIncarnation,
			prepare: func(_ *testFleet, n *testNode) {
				n.owner.opt.OwnsIncarnation = func(incarnation uint64) bool { return incarnation == 2 }
			}},
		{name: "connection refused", status: 503, reason: "backend_dial_failed",
			prepare: func(f *testFleet, n *testNode) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				_ = l.Close()
				n.backends.Upsert(ownership.Announcement{Backend: "b1", Service: "booking", Address: l.Addr().String(), Slots: 1}, policy.Limits{})
			}},
	}
	for _, tc := range cases {
		for _, owner := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s/owner %d", tc.name, owner), func(t *testing.T) {
				f := newFleet(t, 2)
				var ran atomic.Int32
				f.serve(owner, "b1", func(http.ResponseWriter, *http.Request) { ran.Add(1) })
				if tc.prepare != nil {
					tc.prepare(f, f.nodes[owner])
				}
				if tc.edit == nil {
					tc.edit = func(*http.Request) {}
				}
				res := f.send(0, "POST", "/", strings.NewReader("x"), tc.edit)
				if res.status != tc.status || res.outcome != header.NotRun || res.reason != tc.reason || ran.Load() != 0 {
					t.Fatalf("got %+v, ran %d", res, ran.Load())
				}
			})
		}
	}
}
