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
	// statusConcurrency bounds the nodes that are asked at the same time.
	statusConcurrency = 32
	statusTimeout     = 2 * time.Second
)

// PolicyStatus implements controlpb.Control. Unless the request is local, it
// asks every live node; a node that cannot be asked is listed with the error.
func (s *Server) PolicyStatus(ctx context.Context, req *controlpb.PolicyStatusRequest) (*controlpb.PolicyStatusResponse, error) {
	resp := &controlpb.PolicyStatusResponse{Nodes: []*controlpb.PolicyNodeStatus{s.localStatus(req.Service)}}
	if req.Local {
		return resp, nil
	}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(statusConcurrency)
	for _, n := range s.opts.Node.Snapshot().Nodes() {
		if n.ID == s.opts.Node.ID() || n.Status == registry.Dead {
			continue
		}
		group.Go(func() error {
			status := s.askStatus(ctx, n, req.Service)
			mu.Lock()
			defer mu.Unlock()
			resp.Nodes = append(resp.Nodes, status)
			return nil
		})
	}
	_ = group.Wait()
	sort.Slice(resp.Nodes, func(i, j int) bool { return resp.Nodes[i].NodeId < resp.Nodes[j].NodeId })
	return resp, nil
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

func (s *Server) askStatus(ctx context.Context, n *registry.Node, service string) *controlpb.PolicyNodeStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	client := controlpb.NewControlProtobufClient("http://"+n.PeerAddr, s.opts.Peers)
	resp, err := client.PolicyStatus(ctx, &controlpb.PolicyStatusRequest{Service: service, Local: true})
	if err != nil {
		return &controlpb.PolicyNodeStatus{NodeId: string(n.ID), Error: err.Error()}
	}
	if len(resp.Nodes) != 1 {
		return &controlpb.PolicyNodeStatus{NodeId: string(n.ID), Error: "malformed answer"}
	}
	return resp.Nodes[0]
}
