package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/coordination/routing"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/peer"
)

const testPolicy = `
[service]
name = "booking"
hosts = ["booking.test"]
floor = 1
timeout = "2s"

[[service.route]]
name = "read"
methods = ["GET", "HEAD", "PUT"]
path = "/*"
idempotent = true

[[service.route]]
name = "write"
methods = ["POST"]
path = "/*"
`

// testNode is one node with its listeners.
type testNode struct {
	id           registry.NodeID
	ingress      *Ingress
	owner        *Owner
	backends     *Backends
	peers        *peer.Pool
	leases       *ownership.Table
	callerServer *httptest.Server
	peerServer   *http.Server
	addr         string

	mu       sync.Mutex
	observed []evidence.Observation
	owned    []registry.Backend
}

// testFleet is a set of nodes that know each other.
type testFleet struct {
	t     testing.TB
	dir   *registry.Directory
	nodes []*testNode
}

func newFleet(t testing.TB, nodes int, edit ...func(*OwnerOptions, *IngressOptions)) *testFleet {
	t.Helper()
	f := &testFleet{t: t, dir: registry.NewDirectory()}
	table := policy.NewTable(policy.TableOptions{})
	if _, err := table.Set(policy.VersionedDocument{Service: "booking", Epoch: 1, Text: []byte(testPolicy)}); err != nil {
		t.Fatal(err)
	}
	for i := range nodes {
		n := &testNode{id: registry.NodeID(fmt.Sprintf("n%d", i)), leases: ownership.New(ownership.Options{Lease: time.Hour, MaxGap: time.Hour})}
		n.backends = NewBackends(BackendsOptions{SkipRamp: true})
		owner := OwnerOptions{
			Self: n.id, Region: "r1", Leases: n.leases, Backends: n.backends,
			Observe: func(o evidence.Observation) {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.observed = append(n.observed, o)
			},
		}
		n.peers = peer.NewPool(peer.Options{})
		ingress := IngressOptions{
			Self: n.id, Region: "r1", Directory: f.dir, Policies: table, Peers: n.peers,
			Balancer: routing.New(routing.Options{Self: n.id, FailureDomain: "d1", Region: "r1"}),
		}
		for _, e := range edit {
			e(&owner, &ingress)
		}
		n.owner = NewOwner(owner)
		ingress.Owner = n.owner
		n.ingress = NewIngress(ingress)
		n.callerServer = httptest.NewUnstartedServer(n.ingress)
		n.callerServer.Config.ConnContext = WithCallerConnection
		n.callerServer.Config.Protocols = new(http.Protocols)
		n.callerServer.Config.Protocols.SetHTTP1(true)
		n.callerServer.Config.Protocols.SetUnencryptedHTTP2(true)
		n.callerServer.Listener = ListenCallers(n.callerServer.Listener)
		n.callerServer.Start()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n.addr, n.peerServer = l.Addr().String(), peer.NewServer(n.owner)
		go func() { _ = n.peerServer.Serve(l) }()
		t.Cleanup(func() {
			n.callerServer.Close()
			n.peers.Close()
			_ = n.peerServer.Close()
			n.backends.Close()
		})
		f.nodes = append(f.nodes, n)
		f.publish(n)
	}
	return f
}

func (f *testFleet) publish(n *testNode) {
	f.dir.Apply(registry.Node{
		ID: n.id, Incarnation: 1, Sequence: uint64(len(n.owned) + 1), PeerAddr: n.addr, FailureDomain: "d1", Region: "r1",
		Backends: append([]registry.Backend(nil), n.owned...),
	})
}

// own makes node i the owner of a backend server.
func (f *testFleet) own(i int, id, addr string, slots int) {
	n := f.nodes[i]
	a := ownership.Announcement{Backend: registry.BackendID(id), Service: "booking", Address: addr, Slots: slots, Incarnation: 1}
	n.leases.Announce(time.Now(), a)
	n.backends.Upsert(a, policy.Limits{})
	n.owned = append(n.owned, registry.Backend{ID: a.Backend, Service: "booking", Slots: slots, Weight: 1})
	f.publish(n)
}

// serve starts a backend server that node i owns.
func (f *testFleet) serve(i int, id string, h http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(h)
	f.t.Cleanup(s.Close)
	f.own(i, id, strings.TrimPrefix(s.URL, "http://"), 4)
	return s
}

// serveRaw starts a server that passes each connection to serve and then closes it. It returns
// the address of the server.
func serveRaw(t *testing.T, serve func(net.Conn)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return l.Addr().String()
}

func (n *testNode) observations() []evidence.Observation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]evidence.Observation(nil), n.observed...)
}

// result is what a caller sees.
type result struct {
	status  int
	outcome string
	reason  string
	body    string
	header  http.Header
	trailer http.Header
	err     error // of reading the response
}

// send sends a request to the ingress of node i.
func (f *testFleet) send(i int, method, path string, body io.Reader, edit ...func(*http.Request)) result {
	f.t.Helper()
	req, err := http.NewRequest(method, f.nodes[i].callerServer.URL+path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "booking.test"
	// A connection per request prevents this client from repeating requests itself.
	req.Close = true
	for _, e := range edit {
		e(req)
	}
	resp, err := f.nodes[i].callerServer.Client().Do(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return result{
		status: resp.StatusCode, outcome: resp.Header.Get(header.Outcome), reason: resp.Header.Get(header.Reason),
		body: string(b), header: resp.Header, trailer: resp.Trailer, err: err,
	}
}
