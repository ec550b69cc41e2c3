package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/events"
)

// Node is the part of the daemon that the server uses.
type Node interface {
	ID() registry.NodeID
	Incarnation() uint64
	// Announce grants, renews or releases a lease.
	Announce(now time.Time, a ownership.Announcement) ownership.Result
	// Snapshot returns the current view of the nodes and backend servers.
	Snapshot() *registry.Snapshot
	// Ready reports whether the node serves requests.
	Ready() bool
	// Drain stops new work for a backend server of this node, or for the whole node if
	// backend is empty. It returns ErrNotStored if the drain would be lost with this process.
	Drain(backend registry.BackendID) error
}

// Options configures a Server. All fields but Placements are required.
type Options struct {
	Node     Node
	Policies *policy.Table
	Events   *events.Store
	// Placements is not needed with PeerListener.
	Placements Placements
	// PeerClient is used for RPCs to other nodes.
	PeerClient *http.Client
	// PeerListener restricts the server to the RPCs of backend servers and other nodes. To
	// drain a node or to query the whole fleet, operators must use their own listener,
	// which is protected.
	PeerListener bool
}

// ErrNotStored means that a drain is in effect, but the platform has not stored it.
var ErrNotStored = errors.New("the drain is in effect, but a restart of the node would end it: the platform has not stored it; try again")

var errOperatorsOnly = twirp.PermissionDenied.Error("only served on the operator address")

// Server implements controlpb.Control.
type Server struct {
	opts   Options
	tokens *ownership.TokenIssuer
}

// New returns a Server.
func New(opts Options) *Server {
	return &Server{opts: opts, tokens: ownership.NewTokenIssuer(rand.Uint64(), time.Now())}
}

// Handler returns the HTTP handler of the RPCs.
func (s *Server) Handler() controlpb.TwirpServer { return controlpb.NewControlServer(s) }

const maxSlots = 4096

// Announce implements controlpb.Control.
func (s *Server) Announce(_ context.Context, req *controlpb.AnnounceRequest) (*controlpb.AnnounceResponse, error) {
	switch {
	case req.BackendId == "":
		return nil, twirp.RequiredArgumentError("backend_id")
	case req.Service == "":
		return nil, twirp.RequiredArgumentError("service")
	case req.Slots < 1 || req.Slots > maxSlots:
		return nil, twirp.InvalidArgumentError("slots", "want 1 to 4096")
	}
	now := time.Now()
	res := s.opts.Node.Announce(now, ownership.Announcement{
		Backend:       registry.BackendID(req.BackendId),
		Service:       registry.ServiceID(req.Service),
		Address:       req.Address,
		Slots:         int(req.Slots),
		Labels:        req.Labels,
		Draining:      req.Draining,
		Released:      req.Released,
		Incarnation:   req.Incarnation,
		ReportedInUse: int(req.ReportedInUse),
		LeaseFrom:     s.tokens.LeaseFrom(now, req.LeaseToken),
	})
	return &controlpb.AnnounceResponse{
		NodeId:          string(s.opts.Node.ID()),
		NodeIncarnation: s.opts.Node.Incarnation(),
		LeaseMillis:     registry.LeaseDuration.Milliseconds(),
		Refused:         !res.Accepted,
		Reason:          string(res.Reason),
		LeaseToken:      s.tokens.Issue(time.Now()),
	}, nil
}

// Nodes implements controlpb.Control.
func (s *Server) Nodes(context.Context, *controlpb.NodesRequest) (*controlpb.NodesResponse, error) {
	resp := &controlpb.NodesResponse{}
	for _, n := range s.opts.Node.Snapshot().Nodes() {
		resp.Nodes = append(resp.Nodes, &controlpb.NodeInfo{
			Id:              string(n.ID),
			Incarnation:     n.Incarnation,
			Status:          n.Status.String(),
			FailureDomain:   n.FailureDomain,
			Region:          n.Region,
			PeerAddress:     n.PeerAddr,
			OperatorAddress: n.OperatorAddr,
			Backends:        int32(len(n.Backends)),
		})
	}
	return resp, nil
}

// Backends implements controlpb.Control.
func (s *Server) Backends(_ context.Context, req *controlpb.BackendsRequest) (*controlpb.BackendsResponse, error) {
	resp := &controlpb.BackendsResponse{}
	for _, n := range s.opts.Node.Snapshot().Nodes() {
		for i := range n.Backends {
			b := &n.Backends[i]
			if req.Service != "" && req.Service != string(b.Service) {
				continue
			}
			resp.Backends = append(resp.Backends, backendInfo(n, b))
		}
	}
	return resp, nil
}

func backendInfo(n *registry.Node, b *registry.Backend) *controlpb.BackendInfo {
	return &controlpb.BackendInfo{
		Id:            string(b.ID),
		Service:       string(b.Service),
		Owner:         string(n.ID),
		FailureDomain: n.FailureDomain,
		Region:        n.Region,
		State:         b.State.String(),
		Weight:        b.Weight,
		Slots:         int32(b.Slots),
		OwnerStatus:   n.Status.String(),
	}
}

func (s *Server) localEvents(req *controlpb.ExplainRequest) []*controlpb.EventInfo {
	found := s.opts.Events.Find(events.Query{
		Service:   req.Service,
		Backend:   req.Backend,
		RequestID: req.RequestId,
		Limit:     int(req.Limit),
	})
	list := make([]*controlpb.EventInfo, len(found))
	for i := range found {
		list[i] = eventInfo(&found[i])
	}
	return list
}

func eventInfo(e *event.Event) *controlpb.EventInfo {
	info := &controlpb.EventInfo{
		UnixNanos: e.Time.UnixNano(),
		Kind:      string(e.Kind),
		Node:      e.Node,
		Service:   e.Service,
		Backend:   e.Backend,
		RequestId: e.RequestID,
		Reason:    e.Reason,
	}
	for _, f := range e.Evidence {
		info.Evidence = append(info.Evidence, &controlpb.EvidenceField{Key: f.Key, Value: f.Value})
	}
	return info
}

// Drain implements controlpb.Control. The drain of a backend server is forwarded to its
// owner.
func (s *Server) Drain(ctx context.Context, req *controlpb.DrainRequest) (*controlpb.DrainResponse, error) {
	if s.opts.PeerListener && req.Backend == "" {
		return nil, errOperatorsOnly
	}
	backend, known := s.opts.Node.Snapshot().Backend(registry.BackendID(req.Backend))
	if known && backend.Owner.ID != s.opts.Node.ID() && !s.opts.PeerListener {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		return controlpb.NewControlProtobufClient("http://"+backend.Owner.PeerAddr, s.opts.PeerClient).Drain(ctx, req)
	}
	if err := s.opts.Node.Drain(registry.BackendID(req.Backend)); errors.Is(err, ErrNotStored) {
		return nil, twirp.Unavailable.Error(err.Error())
	} else if err != nil {
		return nil, twirp.NotFoundError(err.Error())
	}
	return &controlpb.DrainResponse{State: registry.Draining.String()}, nil
}
