package proxy

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/cost"
	"wigeonspring.example/wigeonspring/internal/coordination/routing"
	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against an ingress node that learns nothing from owners on other nodes, and against
// placement that ignores what was learned. An owner of an earlier version reports no costs.
// Load: one request after another to a fast and a slow backend server of two owners.
func TestIngressLearnsCosts(t *testing.T) {
	for _, reports := range []bool{true, false} {
		estimator := cost.NewEstimator()
		f := newFleet(t, 3, func(o *OwnerOptions, in *IngressOptions) {
			if o.Self == "n0" {
				in.Balancer = routing.New(routing.Options{Self: o.Self, FailureDomain: "d1", Region: "r1", Cost: estimator})
			} else if reports {
				o.Cost = cost.NewEstimator()
			}
		})
		f.serve(1, "fast", func(http.ResponseWriter, *http.Request) { time.Sleep(2 * time.Millisecond) })
		f.serve(2, "slow", func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
		for range 60 {
			if res := f.send(0, http.MethodGet, "/x", nil); res.status != http.StatusOK || res.header.Get(header.Cost) != "" {
				t.Fatalf("%+v", res)
			}
		}
		now := time.Now()
		class := cost.Class{Service: "booking", Route: "read", Method: http.MethodGet, Shape: "w"}
		learned := estimator.Estimate(now, class).Samples > 10
		if learned != reports {
			t.Errorf("reports %v: learned %v", reports, learned)
		}
		if fast, slow := estimator.Speed(now, "fast"), estimator.Speed(now, "slow"); reports && slow >= fast {
			t.Errorf("speeds: fast %.2f, slow %.2f", fast, slow)
		}
		explained, err := f.nodes[0].ingress.ExplainPlacement(PlacementQuery{Host: "booking.test", Method: http.MethodGet, Path: "/x"})
		if err != nil || explained.Route != "read" || len(explained.Services) != 1 || len(explained.Services[0].Candidates) != 2 {
			t.Fatalf("explained as %+v, %v", explained, err)
		}
		if first := explained.Services[0].Candidates[0]; reports && first.Backend != "fast" {
			t.Errorf("explanation puts %+v first", first)
		}
		if _, err := f.nodes[0].ingress.ExplainPlacement(PlacementQuery{Host: "other.test", Method: http.MethodGet, Path: "/x"}); !errors.Is(err, policy.ErrUnknownHost) {
			t.Errorf("unknown host: %v", err)
		}
		// Placement follows the speeds.
		rng := proptest.Rand(t)
		counts := make(map[registry.BackendID]int)
		for range 20 {
			target, err := f.nodes[0].ingress.opt.Balancer.Pick(now, rng, f.dir.Snapshot(), routing.Request{
				Service: "booking", Route: &policy.Route{Name: "read"}, Class: class,
			})
			if err != nil {
				t.Fatal(err)
			}
			counts[target.Backend]++
			f.nodes[0].ingress.opt.Balancer.Done(now, target, routing.Result{Outcome: routing.Abandoned})
		}
		if reports && counts["fast"] < 18 || !reports && min(counts["fast"], counts["slow"]) == 0 {
			t.Errorf("reports %v: placed %v", reports, counts)
		}
	}
}
