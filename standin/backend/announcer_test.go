package backend

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
)

// scriptedNode refuses successive announcements for the given reasons, in order. It
// accepts an announcement whose reason is empty, and those after the last reason. It
// records the tokens that it receives.
type scriptedNode struct {
	controlpb.Control
	name    string
	reasons []ownership.Reason
	tokens  []string
}

func (n *scriptedNode) Announce(_ context.Context, r *controlpb.AnnounceRequest) (*controlpb.AnnounceResponse, error) {
	n.tokens = append(n.tokens, string(r.LeaseToken))
	resp := &controlpb.AnnounceResponse{LeaseToken: []byte(n.name)}
	if len(n.reasons) > 0 {
		resp.Reason, n.reasons = string(n.reasons[0]), n.reasons[1:]
		resp.Refused = resp.Reason != ""
	}
	return resp, nil
}

// Guards against an announcer that switches to another node because its token was too
// old, and against a token that is sent to another node than the one that issued it.
func TestAnnouncerTokens(t *testing.T) {
	nodes := []*scriptedNode{
		{name: "t1", reasons: []ownership.Reason{ownership.None, ownership.StaleAnnouncement, ownership.None, ownership.NodeStopping}}, {name: "t2"},
	}
	var addrs []string
	for _, n := range nodes {
		s := httptest.NewServer(controlpb.NewControlServer(n))
		defer s.Close()
		addrs = append(addrs, strings.TrimPrefix(s.URL, "http://"))
	}
	a := newAnnouncer(addrs, func() *controlpb.AnnounceRequest { return &controlpb.AnnounceRequest{} })
	for range 5 {
		a.announceOnce(t.Context())
	}
	if got := strings.Join(nodes[0].tokens, ","); got != ",t1,t1,t1" {
		t.Errorf("tokens sent to the first node: %q", got)
	}
	if got := strings.Join(nodes[1].tokens, ","); got != ",t2" {
		t.Errorf("tokens sent to the second node: %q", got)
	}
}
