package control

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// announceRecorder records the last announcement.
type announceRecorder struct {
	Node
	last ownership.Announcement
}

func (n *announceRecorder) ID() registry.NodeID { return "n1" }
func (n *announceRecorder) Incarnation() uint64 { return 1 }
func (n *announceRecorder) Announce(_ time.Time, a ownership.Announcement) ownership.Result {
	n.last = a
	return ownership.Result{Reason: ownership.StaleAnnouncement}
}

// Guards against a lease token that is missing from a refusal, or that is not passed on with
// the next announcement. The lease would then start when that announcement is received.
func TestAnnounceToken(t *testing.T) {
	node := &announceRecorder{}
	s := New(Options{Node: node})
	req := &controlpb.AnnounceRequest{BackendId: "b1", Service: "booking", Slots: 5}
	before := time.Now()
	resp, err := s.Announce(t.Context(), req)
	if err != nil || !node.last.LeaseFrom.IsZero() {
		t.Fatalf("without a token: lease from %s, %v", node.last.LeaseFrom, err)
	}
	issued := time.Now()
	time.Sleep(20 * time.Millisecond)
	req.LeaseToken = resp.LeaseToken
	if _, err = s.Announce(t.Context(), req); err != nil || node.last.LeaseFrom.Before(before) || node.last.LeaseFrom.After(issued) {
		t.Errorf("lease from %s, want between %s and %s; %v", node.last.LeaseFrom, before, issued, err)
	}
}
