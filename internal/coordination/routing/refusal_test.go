package routing

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// refuseBy makes the owner of backend server id refuse requests until one has reached it.
func refuseBy(t *testing.T, b *Balancer, snap *registry.Snapshot, r Request, id registry.BackendID, res Result) {
	t.Helper()
	rng := proptest.Rand(t)
	for range 1000 {
		target, err := b.Pick(t0, rng, snap, r)
		if err != nil {
			t.Fatal(err)
		}
		if target.Backend == id {
			b.Done(t0, target, res)
			return
		}
		b.Done(t0, target, Result{Outcome: Abandoned})
	}
	t.Fatalf("backend server %s was never chosen", id)
}

// Guards against a request that returns to a suspect backend server before the time that the
// owner stated, and against one that avoids it after that time. Load: 1000 requests that must
// not be repeated, or that may test the backend server, to a service of 4.
func TestRefusalStatesTime(t *testing.T) {
	const after = 2 * time.Second
	for _, avoid := range []bool{true, false} {
		b, rng, snap := balancer(), proptest.Rand(t), nodes("r0a", "r0a").Snapshot()
		r := request()
		r.AvoidSuspects = avoid
		refuseBy(t, b, snap, r, "b0", Result{Outcome: RefusedByOwner, Load: &evidence.Load{Slots: 5}, RetryAfter: after})
		count := func(at time.Time) (n int) {
			for range 200 {
				target, err := b.Pick(at, rng, snap, r)
				if err != nil {
					t.Fatal(err)
				}
				if target.Backend == "b0" {
					n++
				}
				b.Done(at, target, Result{Outcome: Abandoned})
			}
			return n
		}
		if n := count(t0.Add(after - 1)); n != 0 {
			t.Errorf("avoid suspects %v: %d requests before the stated time", avoid, n)
		}
		if n := count(t0.Add(after)); n == 0 {
			t.Errorf("avoid suspects %v: no request after the stated time", avoid)
		}
		// Without another backend server, the request is not refused.
		if target, err := b.Pick(t0, rng, snap, request("b1", "b2", "b3")); err != nil || target.Backend != "b0" {
			t.Errorf("only the suspect left: %v, %v", target.Backend, err)
		}
	}
}

// Guards against requests to an owner that has been replaced, and against avoiding its new
// process. Load: 200 requests each, before and after the new record has arrived.
func TestReplacedOwnerIsAvoidedUntilItsRecordArrives(t *testing.T) {
	b, rng := balancer(), proptest.Rand(t)
	directory := nodes("r0a", "r0a")
	snap := directory.Snapshot()
	refuseBy(t, b, snap, request(), "b0", Result{Outcome: RefusedByOwner, OwnerReplaced: true})
	count := func(snap *registry.Snapshot) (n int) {
		for range 200 {
			target, err := b.Pick(t0.Add(time.Millisecond), rng, snap, request())
			if err != nil {
				t.Fatal(err)
			}
			if target.Owner.ID == "n0" {
				n++
			}
			b.Done(t0, target, Result{Outcome: Abandoned})
		}
		return n
	}
	if n := count(snap); n != 0 {
		t.Errorf("%d requests to the process that has ended", n)
	}
	change(directory, "n0", func(n *registry.Node) { n.Incarnation++ })
	if n := count(directory.Snapshot()); n == 0 {
		t.Error("no request to the new process")
	}
}
