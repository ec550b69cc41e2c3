package routing

import (
	"errors"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against a refused request that asks every owner of an overloaded service, although each
// has just refused one that was as urgent, and against an urgent request, the first attempt of a
// request or one after the report has aged that is refused unasked. Load: a service of 4 whose
// queues are full.
func TestFullOwnersAreNotAskedAgain(t *testing.T) {
	b, rng, snap := balancer(), proptest.Rand(t), nodes("r0a", "r0a").Snapshot()
	full := Result{Outcome: RefusedByOwner, QueueFull: true, Load: &evidence.Load{Slots: 5, InUse: 5, Queued: 10, Weight: 1}}
	r := request()
	r.Rank = 1
	for _, id := range []registry.BackendID{"b0", "b1", "b2", "b3"} {
		refuseBy(t, b, snap, r, id, full)
	}
	retry := request("b0")
	retry.Rank = 1
	urgent := retry
	urgent.Rank = 0
	for _, c := range []struct {
		name    string
		after   time.Duration
		request Request
		refused bool
	}{
		{"refused once", FullReportTTL - 1, retry, true},
		{"more urgent", FullReportTTL - 1, urgent, false},
		{"first attempt", FullReportTTL - 1, r, false},
		{"old report", FullReportTTL, retry, false},
	} {
		target, err := b.Pick(t0.Add(c.after), rng, snap, c.request)
		var refusal *Refusal
		if got := errors.As(err, &refusal) && refusal.Reason == AllFull; got != c.refused || !c.refused && err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		b.Done(t0, target, Result{Outcome: Abandoned})
	}
}
