package control

import (
	"context"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	// peerConcurrency bounds the number of concurrent RPCs to other nodes.
	peerConcurrency = 32
	peerTimeout     = 2 * time.Second
)

// PolicyStatus implements controlpb.Control. Unless the request is local, it queries every
// node that is not dead. A node that does not reply is listed with the error.
func (s *Server) PolicyStatus(ctx context.Context, req *controlpb.PolicyStatusRequest) (*controlpb.PolicyStatusResponse, error) {
	if s.opts.PeerListener && !req.Local {
		return nil, errOperatorsOnly
	}
	resp := &controlpb.PolicyStatusResponse{Nodes: []*controlpb.PolicyNodeStatus{s.localStatus(req.Service)}}
	if req.Local {
		return resp, nil
	}
	var mu sync.Mutex
	s.forEachPeer(func(n *registry.Node) {
		status := s.queryStatus(ctx, n, req.Service)
		mu.Lock()
		defer mu.Unlock()
		resp.Nodes = append(resp.Nodes, status)
	})
	sort.Slice(resp.Nodes, func(i, j int) bool { return resp.Nodes[i].NodeId < resp.Nodes[j].NodeId })
	return resp, nil
}

// forEachPeer calls query for every other node that is not dead, with bounded concurrency, and
// waits for all calls.
func (s *Server) forEachPeer(query func(*registry.Node)) {
	var group errgroup.Group
	group.SetLimit(peerConcurrency)
	for _, n := range s.opts.Node.Snapshot().Nodes() {
		if n.ID == s.opts.Node.ID() || n.Status == registry.Dead {
			continue
		}
		group.Go(func() error {
			query(n)
			return nil
		})
	}
	_ = group.Wait()
}

// Explain implements controlpb.Control. Each node keeps only the events of its own
// decisions. Unless the request is local, all nodes that are not dead are therefore queried.
func (s *Server) Explain(ctx context.Context, req *controlpb.ExplainRequest) (*controlpb.ExplainResponse, error) {
	if s.opts.PeerListener && !req.Local {
		return nil, errOperatorsOnly
	}
	resp := &controlpb.ExplainResponse{Events: s.localEvents(req)}
	if req.Local {
		return resp, nil
	}
	var mu sync.Mutex
	s.forEachPeer(func(n *registry.Node) {
		found, err := s.queryEvents(ctx, n, req)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			resp.Unreachable = append(resp.Unreachable, string(n.ID))
			return
		}
		resp.Events = append(resp.Events, found...)
	})
	sort.Slice(resp.Events, func(i, j int) bool { return resp.Events[i].UnixNanos > resp.Events[j].UnixNanos })
	if req.Limit > 0 && len(resp.Events) > int(req.Limit) {
		resp.Events = resp.Events[:req.Limit]
	}
	return resp, nil
}

func (s *Server) queryEvents(ctx context.Context, n *registry.Node, req *controlpb.ExplainRequest) ([]*controlpb.EventInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client := controlpb.NewControlProtobufClient("http://"+n.PeerAddr, s.opts.PeerClient)
	resp, err := client.Explain(ctx, &controlpb.ExplainRequest{
		Service:   req.Service,
		Backend:   req.Backend,
		RequestId: req.RequestId,
		Limit:     req.Limit,
		Local:     true,
	})
	if err != nil {
		return nil, err
	}
	return resp.Events, nil
}

func (s *Server) localStatus(service string) *controlpb.PolicyNodeStatus {
	status := &controlpb.PolicyNodeStatus{
		NodeId: string(s.opts.Node.ID()),
		Ready:  s.opts.Node.Ready(),
	}
	for _, p := range s.opts.Policies.All() {
		if service != "" && service != p.Service {
			continue
		}
		status.Policies = append(status.Policies, &controlpb.PolicyEpoch{
			Service:           p.Service,
			Epoch:             p.Epoch,
			Hash:              policy.FormatHash(p.Hash),
			InForceUnixMillis: p.Since.UnixMilli(),
		})
	}
	return status
}

func (s *Server) queryStatus(ctx context.Context, n *registry.Node, service string) *controlpb.PolicyNodeStatus {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client := controlpb.NewControlProtobufClient("http://"+n.PeerAddr, s.opts.PeerClient)
	resp, err := client.PolicyStatus(ctx, &controlpb.PolicyStatusRequest{Service: service, Local: true})
	if err != nil {
		return &controlpb.PolicyNodeStatus{NodeId: string(n.ID), Error: err.Error()}
	}
	if len(resp.Nodes) != 1 {
		return &controlpb.PolicyNodeStatus{NodeId: string(n.ID), Error: "malformed answer"}
	}
	return resp.Nodes[0]
}
