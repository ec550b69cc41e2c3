package control

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/transport/proxy"
)

// Placements explains where this node would send a request. *proxy.Ingress implements it.
type Placements interface {
	ExplainPlacement(proxy.PlacementQuery) (proxy.Placement, error)
}

// ExplainPlacement implements controlpb.Control.
func (s *Server) ExplainPlacement(_ context.Context, req *controlpb.ExplainPlacementRequest) (*controlpb.ExplainPlacementResponse, error) {
	switch {
	case s.opts.PeerListener || s.opts.Placements == nil:
		return nil, errOperatorsOnly
	case req.Host == "":
		return nil, twirp.RequiredArgumentError("host")
	case req.Method == "":
		return nil, twirp.RequiredArgumentError("method")
	case len(req.Path) == 0 || req.Path[0] != '/':
		return nil, twirp.InvalidArgumentError("path", "must begin with a slash")
	}
	p, err := s.opts.Placements.ExplainPlacement(proxy.PlacementQuery{
		Host: req.Host, Method: req.Method, Path: req.Path, BodyBytes: req.BodyBytes, Team: req.Team,
	})
	switch {
	case errors.Is(err, policy.ErrUnknownHost):
		return nil, twirp.NotFoundError("no policy has the host " + req.Host)
	case err != nil:
		return nil, twirp.NotFoundError("no route of " + req.Host + " matches " + req.Method + " " + req.Path)
	}
	resp := &controlpb.ExplainPlacementResponse{Node: string(s.opts.Node.ID()), Route: p.Route}
	for _, service := range p.Services {
		resp.Services = append(resp.Services, servicePlacement(&service))
	}
	return resp, nil
}

func servicePlacement(p *proxy.ServicePlacement) *controlpb.ServicePlacement {
	info := &controlpb.ServicePlacement{
		Service: string(p.Service), SplitWeight: p.Weight, ExpectedWorkMicros: p.Work.Microseconds(), Refusal: string(p.Refusal),
	}
	for i := range p.Candidates {
		c := &p.Candidates[i]
		age := int64(-1)
		if c.ReportAge >= 0 {
			age = int64(c.ReportAge / time.Millisecond)
		}
		info.Candidates = append(info.Candidates, &controlpb.PlacementCandidate{
			Backend: string(c.Backend), Owner: string(c.Owner), Locality: c.Locality.String(), RuledOut: string(c.RuledOut),
			InUse: int32(c.InUse), Queued: int32(c.Queued), FreeSlots: int32(c.FreeSlots), ReportAgeMillis: age,
			ExpectedWaitMicros: c.Wait.Microseconds(), ExpectedCompletionMicros: c.Completion.Microseconds(),
		})
	}
	return info
}
