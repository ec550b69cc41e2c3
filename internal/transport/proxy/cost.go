package proxy

import (
	"net/http"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/cost"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// requestClass returns the class of a request for estimates of its work.
func requestClass(service registry.ServiceID, route string, r *http.Request, team string) cost.Class {
	return cost.Class{
		Service: service, Route: route, Method: r.Method, Shape: cost.PathShape(r.URL.Path),
		Size: cost.SizeBucket(r.ContentLength), Team: team,
	}
}

func (a *ownerAttempt) class(d *header.Dialect) cost.Class {
	return requestClass(a.Service, a.Route, a.Request, a.Request.Header.Get(d.Team))
}

// expectedWork returns the service time that an attempt is likely to need at its backend
// server, or 0 if costs are not estimated.
func (o *Owner) expectedWork(a *ownerAttempt) time.Duration {
	c := o.opt.Cost
	if c == nil {
		return 0
	}
	now := o.opt.Now()
	mean := c.Estimate(now, a.class(o.opt.Dialect)).Mean
	return time.Duration(float64(mean) / c.Speed(now, a.Backend))
}

// reportCost returns the cost that a reply reports, or nil if costs are not estimated.
func (o *Owner) reportCost(b *ownedBackend, work time.Duration) *reportedCost {
	if o.opt.Cost == nil {
		return nil
	}
	return &reportedCost{work: work, wait: b.admitter.controller.Backlog(o.opt.Now())}
}

// serviceTime returns the time that the backend server has taken until it responded, or 0 if it
// failed.
func (x *exchange) serviceTime(status int) time.Duration {
	if status >= http.StatusInternalServerError {
		return 0
	}
	return x.latency
}
