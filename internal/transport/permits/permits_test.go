package permits

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wigeonspring.example/wigeonspring/internal/coordination/floor"
	"wigeonspring.example/wigeonspring/internal/protocol/floorpb"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/health"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// store is a platform with a single object. It can be unavailable, or lose the reply to a
// write.
type store struct {
	platform.Client
	mu              sync.Mutex
	obj             platform.Object
	down, loseReply bool
	calls           int
}

func (s *store) Get(context.Context, string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	if s.obj.Version == 0 {
		return platform.Object{}, platform.ErrNotFound
	}
	return s.obj, nil
}

func (s *store) Put(_ context.Context, key string, value []byte, version uint64) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	if version != s.obj.Version {
		return platform.Object{}, platform.ErrConflict
	}
	s.obj = platform.Object{Key: key, Version: version + 1, Value: value}
	if s.loseReply {
		s.loseReply = false
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.obj, nil
}

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *store) ledger(t *testing.T) floor.Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := floor.Parse(s.obj.Value)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// fleet runs two nodes that share a platform. Each owns six of the backend servers.
func fleet(t *testing.T, s *store) map[registry.NodeID]*Manager {
	nodes := map[registry.NodeID]*Manager{}
	addresses := map[registry.NodeID]string{}
	view := floor.View{
		Floor: 9, Serving: 12, Owners: []registry.NodeID{"n1", "n2"},
		Nodes: map[registry.NodeID]floor.NodeView{
			"n1": {FailureDomain: "d1", Incarnation: 1, Alive: true}, "n2": {FailureDomain: "d2", Incarnation: 1, Alive: true},
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for _, id := range view.Owners {
		transport := &http.Transport{}
		p := New(Options{
			Node: id, Incarnation: 1, Platform: s, TickInterval: 10 * time.Millisecond, RefreshInterval: 100 * time.Millisecond,
			View:        func(registry.ServiceID) (floor.View, bool) { return view, true },
			PeerAddress: func(id registry.NodeID) (string, bool) { a, ok := addresses[id]; return a, ok },
			PeerClient:  &http.Client{Transport: transport},
		})
		server := httptest.NewServer(floorpb.NewFloorServer(p))
		addresses[id] = strings.TrimPrefix(server.URL, "http://")
		nodes[id] = p
		t.Cleanup(func() { server.Close(); transport.CloseIdleConnections() })
	}
	for _, p := range nodes {
		done.Go(func() {
			if err := p.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(func() { cancel(); done.Wait() })
	return nodes
}

func request(t *testing.T, p *Manager, backend registry.BackendID) health.PermitResult {
	t.Helper()
	results := make(chan health.PermitResult, 1)
	p.Request("s", backend, func(r health.PermitResult) { results <- r })
	select {
	case r := <-results:
		return r
	case <-time.After(5 * time.Second):
		t.Fatal("no result within 5 s")
		return health.PermitResult{}
	}
}

// Guards against a lost reply to a write that causes a second entry, or the refusal of a
// permit that was written.
func TestWriteWithLostReplyIsReadBack(t *testing.T) {
	s := &store{loseReply: true}
	a := request(t, fleet(t, s)["n1"], "b1")
	l := s.ledger(t)
	if a.Permit.ID == "" || l.Position(a.Permit.ID) != a.Permit.Position {
		t.Fatalf("result %+v, ledger %+v", a, l)
	}
	s.set(func() {
		if s.calls > 4 {
			t.Errorf("%d platform calls for one ejection", s.calls)
		}
	})
}

// Guards against an ejection that is impossible during a platform outage although a peer has
// reserved a permit, and against a transfer that is never recorded in the ledger.
func TestPermitIsTransferredDuringPlatformOutage(t *testing.T) {
	s := &store{}
	nodes := fleet(t, s)
	nodes["n1"].Track("s")
	nodes["n2"].Track("s")
	var holder registry.NodeID
	eventually(t, "reservation", func() bool {
		for _, e := range s.ledger(t).Entries {
			holder = e.Holder.Node
		}
		return holder != ""
	})
	other := map[registry.NodeID]registry.NodeID{"n1": "n2", "n2": "n1"}[holder]
	s.set(func() { s.down = true })
	a := request(t, nodes[other], "b1")
	if a.Permit.ID == "" {
		t.Fatalf("refused: %s", a.Reason)
	}
	if b := request(t, nodes[other], "b2"); b.Permit.ID != "" {
		t.Fatalf("second permit %+v from one reservation", b)
	}
	s.set(func() { s.down = false })
	eventually(t, "record of the transfer", func() bool {
		e, _ := s.ledger(t).Find(a.Permit.ID)
		return e.State == floor.Used && e.Holder.Node == other && e.Backend == "b1"
	})
	nodes[other].Release("s", "b1")
	eventually(t, "release", func() bool { return s.ledger(t).Position(a.Permit.ID) == 0 })
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 15 s", what)
		}
	}
}
