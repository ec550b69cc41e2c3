package ejection

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

var start = time.Unix(1_700_000_000, 0)

// fixture drives a core with one backend server.
type fixture struct {
	t    *testing.T
	core *Core
	now  time.Time
	view View
}

func newFixture(t *testing.T, floor int) *fixture {
	return &fixture{t: t, core: New(Options{ConfirmShort: -1, ConfirmLong: -1, ConfirmSamples: -1}), now: start,
		view: View{"booking": {Floor: floor, Serving: 12, Capacity: 12}}}
}

func (f *fixture) observe(n int, kind evidence.Kind) {
	for range n {
		f.now = f.now.Add(50 * time.Millisecond)
		f.core.Observe(evidence.Observation{
			Backend: "b1", Service: "booking", Route: "pay", Kind: kind, Latency: 20 * time.Millisecond, At: f.now,
			Baseline: evidence.Baseline{FailureRate: 0.005, Median: 20 * time.Millisecond, Samples: 500},
		})
	}
}

// expectTick runs one tick and expects exactly the given actions.
func (f *fixture) expectTick(want ...Action) []Decision {
	f.t.Helper()
	got := f.core.Tick(f.now, f.view)
	ok := len(got) == len(want)
	for i := range want {
		ok = ok && got[i].Action == want[i]
	}
	if !ok {
		f.t.Fatalf("decisions %+v, want %v", got, want)
	}
	return got
}

// advance advances the time by d and expects no decision. The gap between ticks
// is below pauseThreshold.
func (f *fixture) advance(d time.Duration) {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(min(end.Sub(f.now), time.Second))
		f.expectTick()
	}
}

// setView sets the number of serving backend servers and their capacity.
func (f *fixture) setView(n int, capacity float64) {
	v := f.view["booking"]
	v.Serving, v.Capacity = n, capacity
	f.view["booking"] = v
}

// Guards against a failing server that is not ejected, or does not return
// through probation.
func TestEjectionAndReturn(t *testing.T) {
	f := newFixture(t, 9)
	f.observe(100, evidence.Success)
	f.expectTick()
	f.observe(8, evidence.Timeout)
	if d := f.expectTick(RequestPermit); len(d[0].Evidence) == 0 {
		t.Fatal("permit request without evidence")
	}
	f.expectTick()
	f.core.PermitGranted(f.now, "b1", Permit{ID: "p1", Position: 1})
	if d := f.expectTick(Eject); d[0].Permit.ID != "p1" || d[0].Weight != 0 {
		t.Fatalf("ejection %+v", d[0])
	}
	f.setView(11, 11)
	f.advance(4900 * time.Millisecond)
	f.now = f.now.Add(200 * time.Millisecond)
	f.expectTick(BeginProbation)
	f.setView(12, 12)
	f.observe(9, evidence.Success)
	f.expectTick()
	f.observe(1, evidence.Success)
	f.expectTick(ReleasePermit, Restore)
}

// Guards against a second failure in probation that needs a new permit or does
// not double the backoff.
func TestFailureInProbationKeepsPermitAndDoublesBackoff(t *testing.T) {
	f := newFixture(t, 9)
	f.observe(10, evidence.Timeout)
	f.expectTick(RequestPermit)
	f.core.PermitGranted(f.now, "b1", Permit{ID: "p1", Position: 1})
	f.expectTick(Eject)
	for wait := 5 * time.Second; wait < 5*time.Minute; wait *= 2 {
		f.setView(11, 11)
		// The backoff decays a little while the server is in probation.
		f.advance(wait * 99 / 100)
		f.now = f.now.Add(min(wait/50, 2900*time.Millisecond))
		f.expectTick(BeginProbation)
		f.setView(12, 12)
		f.observe(2, evidence.Timeout)
		f.expectTick(Eject)
	}
}

// Guards against an ejection below the floor, whether the floor is reached before
// the permit is requested or while the request is pending.
func TestFloorForbidsEjection(t *testing.T) {
	f := newFixture(t, 12)
	f.observe(10, evidence.Timeout)
	if d := f.expectTick(Degrade); d[0].Reason != ReasonFloor || d[0].Weight != DegradedWeight {
		t.Fatalf("decision %+v", d[0])
	}
	f = newFixture(t, 9)
	f.observe(10, evidence.Timeout)
	f.expectTick(RequestPermit)
	f.setView(9, 9)
	f.core.PermitGranted(f.now, "b1", Permit{ID: "p1", Position: 1})
	f.expectTick(ReleasePermit, Degrade)
	f.observe(60, evidence.Success)
	f.expectTick(ReleasePermit, Restore)
}

// Guards against a failing server that keeps its full weight after its permit
// request was refused or not answered, and against an unbounded rate of permit
// requests.
func TestRefusedPermitDegrades(t *testing.T) {
	for _, answered := range []bool{true, false} {
		f := newFixture(t, 9)
		f.observe(10, evidence.Timeout)
		f.expectTick(RequestPermit)
		if answered {
			f.core.PermitRefused(f.now, "b1", "allowance")
		} else {
			f.now = f.now.Add(10 * time.Second)
		}
		f.expectTick(Degrade)
		f.setView(12, 11.1)
		requests := 0
		for range 600 {
			f.now = f.now.Add(100 * time.Millisecond)
			for _, d := range f.core.Tick(f.now, f.view) {
				if d.Action == RequestPermit {
					requests++
					f.core.PermitRefused(f.now, "b1", "allowance")
				}
			}
		}
		if requests < 2 || requests > 5 {
			t.Fatalf("%d permit requests in 60 s, want 2 to 5", requests)
		}
	}
}

// Guards against ejected servers that do not return while the service is below its
// floor, and against more returns than needed.
func TestReturnsLowestScoreBelowFloor(t *testing.T) {
	c := New(Options{ConfirmShort: -1, ConfirmLong: -1, ConfirmSamples: -1})
	view := View{"s": {Floor: 9, Serving: 12, Capacity: 12}}
	for i, n := range []int{12, 4} {
		id := []string{"high-score", "low-score"}[i]
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
	if len(got) != 2 || got[0].Action != BeginProbation || got[0].Backend != "low-score" || got[1].Action != ReleasePermit {
		t.Fatalf("decisions %+v", got)
	}
}

// Guards against a permit that is still held after its server recovered or was
// removed.
func TestUnusedPermitIsReleased(t *testing.T) {
	f := newFixture(t, 9)
	f.observe(10, evidence.Timeout)
	f.expectTick(RequestPermit)
	f.observe(100, evidence.Success)
	f.expectTick()
	f.core.PermitGranted(f.now, "b1", Permit{ID: "p1", Position: 1})
	f.expectTick(ReleasePermit)
	f.observe(10, evidence.Timeout)
	f.expectTick(RequestPermit)
	f.core.Remove("b1")
	f.core.PermitGranted(f.now, "b1", Permit{ID: "p2", Position: 1})
	f.expectTick(ReleasePermit)
}

// Guards against the use of a permit that may have been reclaimed while the
// process was paused. The permit was granted but not yet used, or its server was
// ejected at the time.
func TestPermitIsConfirmedAfterPause(t *testing.T) {
	f := newFixture(t, 9)
	f.observe(10, evidence.Timeout)
	f.expectTick(RequestPermit)
	f.core.PermitGranted(f.now, "b1", Permit{ID: "p1", Position: 1})
	f.now = f.now.Add(4 * time.Second)
	f.expectTick(RequestPermit)
	f.core.PermitGranted(f.now, "b1", Permit{ID: "p1", Position: 1})
	f.expectTick(Eject)
	f.now = f.now.Add(6 * time.Second)
	f.expectTick(BeginProbation)
	f.observe(10, evidence.Timeout)
	f.expectTick(Degrade)
}

// Guards against shed and canceled requests that count as failures.
func TestShedAndCanceledAreNoEvidence(t *testing.T) {
	f := newFixture(t, 9)
	f.observe(500, evidence.Shed)
	f.observe(500, evidence.Canceled)
	f.expectTick()
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

// Guards against degradations that use up the capacity above the floor. They need
// no permit, so they could prevent every ejection by the holder of a permit. No
// gray backend server would then be ejected during a platform outage.
func TestDegradationLeavesCapacityForOneEjection(t *testing.T) {
	for _, c := range []struct {
		name     string
		capacity float64
		want     []Action
	}{
		{"one degraded already", 11.1, []Action{Degrade}},
		{"two degraded already", 10.2, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 9)
			f.setView(12, c.capacity)
			f.observe(10, evidence.Timeout)
			f.expectTick(RequestPermit)
			f.core.PermitRefused(f.now, "b1", ReasonPermitUnanswered)
			f.expectTick(c.want...)
		})
	}
}
