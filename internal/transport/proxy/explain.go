package proxy

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/cost"
	"wigeonspring.example/wigeonspring/internal/coordination/retry"
	"wigeonspring.example/wigeonspring/internal/coordination/routing"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// PlacementQuery describes a request whose placement is to be explained.
type PlacementQuery struct {
	Host, Method, Path string
	// BodyBytes is the size of the body, or negative if it is sent in chunks.
	BodyBytes int64
	Team      string
}

// Placement is where a request would go now.
type Placement struct {
	Route string
	// Services has one entry for each service of the route.
	Services []ServicePlacement
}

// ServicePlacement is the placement at one service of a route.
type ServicePlacement struct {
	Service registry.ServiceID
	// Weight is the weight of the service in the split of the route.
	Weight float64
	routing.Explanation
}

// ExplainPlacement returns where this node would send a request now. It sends nothing and
// changes nothing. The error is that of the search for the route.
func (in *Ingress) ExplainPlacement(q PlacementQuery) (Placement, error) {
	m, err := in.opt.Policies.Match(hostName(q.Host), q.Method, q.Path)
	if err != nil {
		return Placement{}, err
	}
	now, snap := in.opt.Now(), in.opt.Directory.Snapshot()
	p := Placement{Route: m.Route.Name}
	for _, target := range m.Targets {
		service, limits := registry.ServiceID(target.Policy.Service), target.Policy.Document.Service.Limits
		e := in.opt.Balancer.Explain(now, snap, routing.Request{
			Service: service, Route: m.Route, Limits: limits, BodyBytes: q.BodyBytes, TimeToObjective: time.Duration(m.Route.Objective),
			AvoidSuspects: !(m.Route.Idempotent && in.budget(service, limits.RetryPercent).Available(now, retry.PriorityOf(m.Route.Rank, true))),
			Class: cost.Class{
				Service: service, Route: m.Route.Name, Method: q.Method, Shape: cost.PathShape(q.Path),
				Size: cost.SizeBucket(q.BodyBytes), Team: q.Team,
			},
		})
		p.Services = append(p.Services, ServicePlacement{Service: service, Weight: target.Weight, Explanation: e})
	}
	return p, nil
}
