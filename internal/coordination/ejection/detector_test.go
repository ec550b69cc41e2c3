package ejection

import (
	"fmt"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against a detector that misses a failure that it should detect, or that
// attributes normal behaviour of the service to a failure of the server.
func TestDetectors(t *testing.T) {
	ok := Sample{Latency: 20 * time.Millisecond}
	fail := Sample{Latency: 20 * time.Millisecond, Failure: true}
	slow := Sample{Latency: 200 * time.Millisecond}
	every := func(n int, bad Sample) func(i int) Sample {
		return func(i int) Sample {
			if i%n == n-1 {
				return bad
			}
			return ok
		}
	}
	route := func(i int) Sample {
		s := ok
		if s.Route = fmt.Sprint("r", i%5); i%5 == 0 {
			s.Failure = true
		}
		return s
	}
	normal := evidence.Baseline{FailureRate: 0.005, Median: 20 * time.Millisecond, Samples: 500}
	for name, c := range map[string]struct {
		work           func(i int) Sample
		n              int
		baseline       evidence.Baseline
		outlier, cusum bool
	}{
		"all fail":                     {every(1, fail), 10, normal, true, true},
		"half fails":                   {every(2, fail), 40, normal, true, true},
		"one route of five fails":      {route, 60, normal, true, true},
		"1% fails":                     {every(100, fail), 5000, normal, false, false},
		"all slow":                     {every(1, slow), 30, normal, false, true},
		"a tenth is slow":              {every(10, slow), 5000, normal, false, false},
		"slow like the service":        {every(1, slow), 200, evidence.Baseline{Median: 180 * time.Millisecond, Samples: 500}, false, false},
		"fails like the service":       {every(5, fail), 200, evidence.Baseline{FailureRate: 0.2, Median: 20 * time.Millisecond, Samples: 500}, false, false},
		"whole service fails":          {every(1, fail), 500, evidence.Baseline{FailureRate: 1, Samples: 500}, false, false},
		"slow with too small baseline": {every(1, slow), 200, evidence.Baseline{Median: 20 * time.Millisecond, Samples: 5}, false, false},
	} {
		for kind, want := range map[string]bool{"outlier": c.outlier, "cusum": c.cusum} {
			var d Detector = NewOutlier(OutlierOptions{})
			if kind == "cusum" {
				d = NewCUSUM(CUSUMOptions{})
			}
			now, got := start, false
			for i := range c.n {
				now = now.Add(80 * time.Millisecond)
				s := c.work(i)
				s.At, s.Baseline = now, c.baseline
				d.Observe(s)
				got = got || d.Failing(now)
				if v := d.Verdict(now); v.Failing != d.Failing(now) || v.Failing != (v.Score >= 1) {
					t.Fatalf("%s, %s: verdict %+v disagrees with Failing", name, kind, v)
				}
			}
			if got != want {
				t.Errorf("%s: %s failing = %t, want %t", name, kind, got, want)
			}
		}
	}
}

// Guards against memory use that grows with the number of route names.
func TestRoutesAreBounded(t *testing.T) {
	d := NewCUSUM(CUSUMOptions{MaxRoutes: 4})
	for i := range 1000 {
		d.Observe(Sample{Route: fmt.Sprint(i), At: start.Add(time.Duration(i) * time.Millisecond)})
	}
	if len(d.routes) != 4 {
		t.Fatalf("%d routes kept, want 4", len(d.routes))
	}
}

// Guards against a failing server that is not suspected. The reports that come
// with exchanges of the other servers include its failures and rise suddenly,
// which must not reset the evidence against it.
func TestReportsOfOtherServersDoNotHideFailure(t *testing.T) {
	c := New(Options{})
	view := View{"s": {Floor: 9, Serving: 12, Capacity: 12}}
	now, rate := start, 0.0
	observe := func(id registry.BackendID, kind evidence.Kind, rate float64) {
		c.Observe(evidence.Observation{
			Backend: id, Service: "s", Kind: kind, Latency: 20 * time.Millisecond, At: now,
			Baseline: evidence.Baseline{FailureRate: rate, Median: 20 * time.Millisecond, Samples: 500},
		})
	}
	for i := range 300 {
		now = now.Add(100 * time.Millisecond)
		kind := evidence.Success
		if i > 200 {
			kind, rate = evidence.ServerError, min(0.4, rate+0.02)
		}
		observe("failing", kind, 0)
		observe("healthy", evidence.Success, rate)
		for _, d := range c.Tick(now, view) {
			if d.Backend != "failing" {
				t.Fatalf("decision %+v", d)
			}
			if i < 225 {
				return
			}
		}
	}
	t.Fatal("no decision within 2.5 s of the first failure")
}

// Guards against an ejection when the whole service fails at once. The baseline of
// the service rises a little after the first failures arrive.
func TestServiceWideFailureCausesNoDecision(t *testing.T) {
	c := New(Options{})
	view := View{"s": {Floor: 9, Serving: 12, Capacity: 12}}
	now := start
	rate := 0.0
	for i := range 600 {
		now = now.Add(50 * time.Millisecond)
		kind := evidence.Success
		if i > 200 {
			kind = evidence.ServerError
			rate = min(1, rate+0.025)
		}
		c.Observe(evidence.Observation{
			Backend: "b1", Service: "s", Kind: kind, Latency: 20 * time.Millisecond, At: now,
			Baseline: evidence.Baseline{FailureRate: rate, Median: 20 * time.Millisecond, Samples: 500},
		})
		if d := c.Tick(now, view); len(d) > 0 {
			t.Fatalf("decision after %d failures, baseline %.2f: %+v", i-200, rate, d)
		}
	}
}

// Guards against what a detector remembers across a reset, which would be attributed to a
// restarted backend server.
func TestResetForgetsEverything(t *testing.T) {
	bad := Sample{At: start, Route: "r", Failure: true, Latency: time.Second, Baseline: evidence.Baseline{FailureRate: 0.3, Samples: 100}}
	for _, pair := range [][2]Detector{{NewOutlier(OutlierOptions{}), NewOutlier(OutlierOptions{})}, {NewCUSUM(CUSUMOptions{}), NewCUSUM(CUSUMOptions{})}} {
		used, fresh := pair[0], pair[1]
		for range 20 {
			used.Observe(bad)
		}
		used.Reset()
		if got, want := fmt.Sprintf("%+v", used.Verdict(start)), fmt.Sprintf("%+v", fresh.Verdict(start)); got != want {
			t.Errorf("after a reset %s, new %s", got, want)
		}
	}
}
