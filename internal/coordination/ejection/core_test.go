package ejection

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

var start = time.Unix(1_700_000_000, 0)

// bench drives one core with one backend server.
type bench struct {
	t    *testing.T
	core *Core
	now  time.Time
	view View
}

func newBench(t *testing.T, floor int) *bench {
	return &bench{t: t, core: New(Options{ConfirmShort: -1, ConfirmLong: -1, ConfirmSamples: -1}), now: start,
		view: View{"booking": {Floor: floor, Serving: 12, Capacity: 12}}}
}

func (b *bench) observe(n int, kind evidence.Kind) {
	for range n {
		b.now = b.now.Add(50 * time.Millisecond)
		b.core.Observe(evidence.Observation{
			Backend: "b1", Service: "booking", Route: "pay", Kind: kind, Latency: 20 * time.Millisecond, At: b.now,
			Baseline: evidence.Baseline{FailureRate: 0.005, Median: 20 * time.Millisecond, Samples: 500},
		})
	}
}

// tick expects exactly the given actions.
func (b *bench) tick(want ...Action) []Decision {
	b.t.Helper()
	got := b.core.Tick(b.now, b.view)
	ok := len(got) == len(want)
	for i := range want {
		ok = ok && got[i].Action == want[i]
	}
	if !ok {
		b.t.Fatalf("decisions %+v, want %v", got, want)
	}
	return got
}

// wait lets time pass without a decision. The ticks are close enough not to
// look like a pause.
func (b *bench) wait(d time.Duration) {
	b.t.Helper()
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(min(end.Sub(b.now), time.Second))
		b.tick()
	}
}

// serve sets the view to n serving backend servers.
func (b *bench) serve(n int, capacity float64) {
	v := b.view["booking"]
	v.Serving, v.Capacity = n, capacity
	b.view["booking"] = v
}

// Guards against a failing server that is not ejected, or does not return
// through probation.
func TestEjectionAndReturn(t *testing.T) {
	b := newBench(t, 9)
	b.observe(100, evidence.Success)
	b.tick()
	b.observe(8, evidence.Timeout)
	if d := b.tick(RequestPermit); len(d[0].Evidence) == 0 {
		t.Fatal("suspicion without evidence")
	}
	b.tick()
	b.core.PermitGranted(b.now, "b1", Permit{ID: "p1", Position: 1})
	if d := b.tick(Eject); d[0].Permit.ID != "p1" || d[0].Weight != 0 {
		t.Fatalf("ejection %+v", d[0])
	}
	b.serve(11, 11)
	b.wait(4900 * time.Millisecond)
	b.now = b.now.Add(200 * time.Millisecond)
	b.tick(BeginProbation)
	b.serve(12, 12)
	b.observe(9, evidence.Success)
	b.tick()
	b.observe(1, evidence.Success)
	b.tick(ReleasePermit, Restore)
}

// Guards against a relapse in probation that needs a new permit or does not
// lengthen the backoff.
func TestRelapseKeepsPermitAndDoublesBackoff(t *testing.T) {
	b := newBench(t, 9)
	b.observe(10, evidence.Timeout)
	b.tick(RequestPermit)
	b.core.PermitGranted(b.now, "b1", Permit{ID: "p1", Position: 1})
	b.tick(Eject)
	for wait := 5 * time.Second; wait < 5*time.Minute; wait *= 2 {
		b.serve(11, 11)
		// The backoff decays a little while the server is in probation.
		b.wait(wait * 99 / 100)
		b.now = b.now.Add(min(wait/50, 2900*time.Millisecond))
		b.tick(BeginProbation)
		b.serve(12, 12)
		b.observe(2, evidence.Timeout)
		b.tick(Eject)
	}
}

// Guards against an ejection below the floor, whether the floor is reached
// before the permit is asked for or while the request is under way.
func TestFloorForbidsEjection(t *testing.T) {
	b := newBench(t, 12)
	b.observe(10, evidence.Timeout)
	if d := b.tick(Degrade); d[0].Reason != ReasonFloor || d[0].Weight != DegradedWeight {
		t.Fatalf("decision %+v", d[0])
	}
	b = newBench(t, 9)
	b.observe(10, evidence.Timeout)
	b.tick(RequestPermit)
	b.serve(9, 9)
	b.core.PermitGranted(b.now, "b1", Permit{ID: "p1", Position: 1})
	b.tick(ReleasePermit, Degrade)
	b.observe(60, evidence.Success)
	b.tick(ReleasePermit, Restore)
}

// Guards against a refused or unanswered permit that leaves a failing server
// with all of its work, and against requests for permits without a bound.
func TestRefusedPermitDegrades(t *testing.T) {
	for _, answered := range []bool{true, false} {
		b := newBench(t, 9)
		b.observe(10, evidence.Timeout)
		b.tick(RequestPermit)
		if answered {
			b.core.PermitRefused(b.now, "b1", "allowance")
		} else {
			b.now = b.now.Add(10 * time.Second)
		}
		b.tick(Degrade)
		b.serve(12, 11.1)
		asked := 0
		for range 600 {
			b.now = b.now.Add(100 * time.Millisecond)
			for _, d := range b.core.Tick(b.now, b.view) {
				if d.Action == RequestPermit {
					asked++
					b.core.PermitRefused(b.now, "b1", "allowance")
				}
			}
		}
		if asked < 2 || asked > 5 {
			t.Fatalf("asked %d times in 60 s", asked)
		}
	}
}

// Guards against ejected servers that stay out while the service is below its
// floor, and against more returns than needed.
func TestReturnsLeastBadBelowFloor(t *testing.T) {
	c := New(Options{ConfirmShort: -1, ConfirmLong: -1, ConfirmSamples: -1})
	view := View{"s": {Floor: 9, Serving: 12, Capacity: 12}}
	for i, n := range []int{12, 4} {
		id := []string{"worst", "least"}[i]
		for range n {
			c.Observe(evidence.Observation{Backend: registry.BackendID(id), Service: "s", Kind: evidence.Timeout, At: start})
		}
	}
	for _, d := range c.Tick(start, view) {
		c.PermitGranted(start, d.Backend, Permit{ID: string(d.Backend)})
	}
	c.Tick(start, view)
	view["s"] = ServiceView{Floor: 9, Serving: 8, Capacity: 8}
	got := c.Tick(start.Add(time.Second), view)
	if len(got) != 2 || got[0].Action != BeginProbation || got[0].Backend != "least" || got[1].Action != ReleasePermit {
		t.Fatalf("decisions %+v", got)
	}
}

// Guards against a permit that stays held after its server recovered or left.
func TestUnusedPermitIsReleased(t *testing.T) {
	b := newBench(t, 9)
	b.observe(10, evidence.Timeout)
	b.tick(RequestPermit)
	b.observe(100, evidence.Success)
	b.tick()
	b.core.PermitGranted(b.now, "b1", Permit{ID: "p1", Position: 1})
	b.tick(ReleasePermit)
	b.observe(10, evidence.Timeout)
	b.tick(RequestPermit)
	b.core.Remove("b1")
	b.core.PermitGranted(b.now, "b1", Permit{ID: "p2", Position: 1})
	b.tick(ReleasePermit)
}

// Guards against the use of a permit that may have been reclaimed while the
// process was paused: granted and not used, or held by an ejected server.
func TestPermitIsConfirmedAfterPause(t *testing.T) {
	b := newBench(t, 9)
	b.observe(10, evidence.Timeout)
	b.tick(RequestPermit)
	b.core.PermitGranted(b.now, "b1", Permit{ID: "p1", Position: 1})
	b.now = b.now.Add(4 * time.Second)
	b.tick(RequestPermit)
	b.core.PermitGranted(b.now, "b1", Permit{ID: "p1", Position: 1})
	b.tick(Eject)
	b.now = b.now.Add(6 * time.Second)
	b.tick(BeginProbation)
	b.observe(10, evidence.Timeout)
	b.tick(Degrade)
}

// Guards against sheds and cancellations that count as failures.
func TestShedAndCanceledAreNoEvidence(t *testing.T) {
	b := newBench(t, 9)
	b.observe(500, evidence.Shed)
	b.observe(500, evidence.Canceled)
	b.tick()
}

func BenchmarkObserve(b *testing.B) {
	c := New(Options{})
	o := evidence.Observation{
		Backend: "b1", Service: "s", Route: "pay", Latency: 20 * time.Millisecond, At: start,
		Baseline: evidence.Baseline{FailureRate: 0.005, Median: 20 * time.Millisecond, Samples: 500},
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Observe(o)
	}
}

// Guards against soft degradation, for which no permit is needed, that uses up the
// capacity above the floor, so that the holder of a permit can eject nothing: in an
// outage of the platform no gray backend server would be ejected at all.
func TestDegradationLeavesRoomForThePermitHolder(t *testing.T) {
	for _, c := range []struct {
		name     string
		capacity float64
		want     []Action
	}{
		{"one degraded already", 11.1, []Action{Degrade}},
		{"two degraded already", 10.2, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, 9)
			b.serve(12, c.capacity)
			b.observe(10, evidence.Timeout)
			b.tick(RequestPermit)
			b.core.PermitRefused(b.now, "b1", ReasonNoAnswer)
			b.tick(c.want...)
		})
	}
}
