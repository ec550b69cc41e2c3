package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/events"
)

type fakeNode struct {
	id        registry.NodeID
	directory *registry.Directory
	drained   []registry.BackendID
}

func (n *fakeNode) ID() registry.NodeID          { return n.id }
func (n *fakeNode) Incarnation() uint64          { return 7 }
func (n *fakeNode) Snapshot() *registry.Snapshot { return n.directory.Snapshot() }
func (n *fakeNode) Ready() bool                  { return true }
func (n *fakeNode) Announce(_ time.Time, a ownership.Announcement) ownership.Result {
	return ownership.Result{Accepted: a.Backend != "refused", Reason: ownership.NodeStopping}
}
func (n *fakeNode) Drain(id registry.BackendID) error {
	n.drained = append(n.drained, id)
	return nil
}

// startPair starts two nodes that know each other. It returns clients of the operator
// listener of n1 and of the peer listener of n2, which owns backend server b2.
func startPair(t *testing.T) (operators controlpb.Control, peer controlpb.Control, n1, n2 *fakeNode) {
	t.Helper()
	directory := registry.NewDirectory()
	n1 = &fakeNode{id: "n1", directory: directory}
	n2 = &fakeNode{id: "n2", directory: directory}
	store := events.NewStore(8)
	store.Add(event.Event{Time: time.Unix(5, 0), Kind: event.BackendEjected, Node: "n2", Backend: "b2"})
	serve := func(n *fakeNode, s *events.Store, peerListener bool) *httptest.Server {
		server := httptest.NewServer(New(Options{
			Node: n, Policies: policy.NewTable(policy.TableOptions{}), Events: s,
			PeerClient: http.DefaultClient, PeerListener: peerListener,
		}).Handler())
		t.Cleanup(server.Close)
		return server
	}
	s1 := serve(n1, events.NewStore(8), false)
	s2 := serve(n2, store, true)
	directory.Apply(registry.Node{ID: "n1", Incarnation: 1, PeerAddr: "127.0.0.1:1"})
	directory.Apply(registry.Node{
		ID: "n2", Incarnation: 1, PeerAddr: s2.Listener.Addr().String(),
		Backends: []registry.Backend{{ID: "b2", Service: "booking", Slots: 5}},
	})
	return controlpb.NewControlProtobufClient(s1.URL, s1.Client()), controlpb.NewControlProtobufClient(s2.URL, s2.Client()), n1, n2
}

// Guards against a query to one node that misses the events or the status of another one,
// and against a drain that does not reach the owner of the backend server.
func TestOperatorRPCsReachOtherNodes(t *testing.T) {
	operators, _, n1, n2 := startPair(t)
	ctx := context.Background()
	explained, err := operators.Explain(ctx, &controlpb.ExplainRequest{Backend: "b2"})
	if err != nil || len(explained.Events) != 1 || explained.Events[0].Node != "n2" {
		t.Fatalf("explain: %v, %v", explained, err)
	}
	status, err := operators.PolicyStatus(ctx, &controlpb.PolicyStatusRequest{})
	if err != nil || len(status.Nodes) != 2 {
		t.Fatalf("policy status: %v, %v", status, err)
	}
	if _, err := operators.Drain(ctx, &controlpb.DrainRequest{Backend: "b2"}); err != nil {
		t.Fatal(err)
	}
	if len(n1.drained) != 0 || len(n2.drained) != 1 {
		t.Fatalf("drained on n1 %v, on n2 %v", n1.drained, n2.drained)
	}
}

// Guards against a backend server or a caller in the network of the nodes that drains a node
// or makes it query the whole fleet.
func TestPeerListenerRefusesOperatorRPCs(t *testing.T) {
	_, peer, _, n2 := startPair(t)
	ctx := context.Background()
	if _, err := peer.Drain(ctx, &controlpb.DrainRequest{}); err == nil {
		t.Error("node drain accepted")
	}
	if _, err := peer.Explain(ctx, &controlpb.ExplainRequest{}); err == nil {
		t.Error("query of the whole fleet accepted")
	}
	if _, err := peer.PolicyStatus(ctx, &controlpb.PolicyStatusRequest{}); err == nil {
		t.Error("policy status of the whole fleet accepted")
	}
	if len(n2.drained) != 0 {
		t.Errorf("drained %v", n2.drained)
	}
}

// Guards against a malformed or refused announcement that is reported as accepted.
func TestAnnounce(t *testing.T) {
	_, peer, _, _ := startPair(t)
	cases := []struct {
		name            string
		req             *controlpb.AnnounceRequest
		failed, refused bool
	}{
		{"complete", &controlpb.AnnounceRequest{BackendId: "b", Service: "s", Slots: 5}, false, false},
		{"no id", &controlpb.AnnounceRequest{Service: "s", Slots: 5}, true, false},
		{"no service", &controlpb.AnnounceRequest{BackendId: "b", Slots: 5}, true, false},
		{"no slots", &controlpb.AnnounceRequest{BackendId: "b", Service: "s"}, true, false},
		{"too many slots", &controlpb.AnnounceRequest{BackendId: "b", Service: "s", Slots: 1 << 20}, true, false},
		{"node stopping", &controlpb.AnnounceRequest{BackendId: "refused", Service: "s", Slots: 5}, false, true},
	}
	for _, c := range cases {
		resp, err := peer.Announce(context.Background(), c.req)
		if (err != nil) != c.failed {
			t.Errorf("%s: error %v", c.name, err)
		}
		if err == nil && resp.Refused != c.refused {
			t.Errorf("%s: refused %t, want %t", c.name, resp.Refused, c.refused)
		}
	}
}
