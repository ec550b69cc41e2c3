package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/cost"
	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against an explanation that rules out a backend server to which the request goes, and
// against one that changes where requests go. Load: 400 random states of busy, suspect, draining
// and distant backend servers, with and without estimates of cost.
func TestExplainAgreesWithPick(t *testing.T) {
	rng := proptest.Rand(t)
	for round := range 400 {
		opt := Options{Self: "ingress", Region: "r0", FailureDomain: "r0a"}
		if round%2 == 0 {
			opt.Cost = cost.NewEstimator()
		}
		b, d := New(opt), nodes("r0a", "r0b", "r1a")
		change(d, "n0", func(n *registry.Node) {
			if rng.IntN(4) == 0 {
				n.Backends[0].State = registry.Draining
			}
		})
		snap := d.Snapshot()
		r := request()
		r.AvoidSuspects = rng.IntN(2) == 0
		warmUp(t, b, snap, r, rng)
		first := b.Explain(t0, snap, r)
		ruledOut := make(map[registry.BackendID]RuledOut)
		for _, c := range first.Candidates {
			ruledOut[c.Backend] = c.RuledOut
		}
		if len(ruledOut) != 6 {
			t.Fatalf("explained %d of 6 backend servers", len(ruledOut))
		}
		target, err := b.Pick(t0, rng, snap, r)
		if err != nil {
			if first.Refusal == "" {
				t.Fatalf("refused with %v although a backend server may be chosen: %+v", err, first)
			}
			continue
		}
		if why := ruledOut[target.Backend]; why != MayBeChosen || first.Refusal != "" {
			t.Fatalf("round %d: %s was chosen, ruled out as %s: %+v", round, target.Backend, why, first)
		}
	}
}

// warmUp gives the balancer random load reports.
func warmUp(t *testing.T, b *Balancer, snap *registry.Snapshot, r Request, rng *rand.Rand) {
	t.Helper()
	for range rng.IntN(12) {
		r.AvoidSuspects = false
		target, err := b.Pick(t0, rng, snap, r)
		if err != nil {
			continue
		}
		res := Result{Outcome: Completed, Latency: time.Second, Work: time.Second, Backlog: time.Duration(rng.Int64N(int64(time.Second))),
			Load: &evidence.Load{Slots: 5, InUse: rng.IntN(6), Weight: 1}}
		if rng.IntN(4) == 0 {
			res = Result{Outcome: RefusedByOwner, RetryAfter: time.Second, Backlog: -1, Load: &evidence.Load{Slots: 5}}
		}
		b.Done(t0, target, res)
	}
}
