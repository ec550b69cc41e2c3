package verify

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/standin/record"
)

// CapacitySample is a sample of the serving backend servers of a service.
type CapacitySample struct {
	Time    time.Time `json:"time"`
	Service string    `json:"service"`
	Serving int       `json:"serving"`
}

// CountServing counts the backend servers that are healthy capacity: active or in
// probation, with an owner that is alive or suspected.
func CountServing(backends []*controlpb.BackendInfo) int {
	n := 0
	for _, b := range backends {
		state := b.State == registry.Active.String() || b.State == registry.Probation.String()
		owner := b.OwnerStatus == registry.Alive.String() || b.OwnerStatus == registry.Suspect.String()
		if state && owner {
			n++
		}
	}
	return n
}

// idleGap is how long a backend server must receive no new work to count as out.
// It is shorter than the first backoff of an ejection, 5 s.
const idleGap = 3 * time.Second

// AddDirectLatency adds the latency of load that was sent straight to backend servers.
func (r *Report) AddDirectLatency(results []record.Result) {
	var latencies []time.Duration
	for _, res := range results {
		if res.Outcome == header.Answered && res.Status == 200 {
			latencies = append(latencies, res.Latency)
		}
	}
	r.DirectP50 = quantile(latencies, 0.50)
	r.DirectP99 = quantile(latencies, 0.99)
}

// AddCapacity compares samples of the capacity with the floors.
func (r *Report) AddCapacity(samples []CapacitySample, floors map[string]int) {
	r.Floors = floors
	r.LowestCapacity = map[string]int{}
	for _, s := range samples {
		lowest, seen := r.LowestCapacity[s.Service]
		if !seen || s.Serving < lowest {
			r.LowestCapacity[s.Service] = s.Serving
		}
	}
	for service, floor := range floors {
		lowest, seen := r.LowestCapacity[service]
		if !seen || lowest < floor {
			r.BelowFloor++
			r.example("capacity of %s fell to %d, floor %d (sampled: %t)", service, lowest, floor, seen)
		}
	}
}

// AddDetection finds how long each sick backend server went on receiving work.
func (r *Report) AddDetection(runs []record.Run, sick map[string]int64) {
	r.Detection = map[string]time.Duration{}
	r.Undetected = []string{}
	for id, millis := range sick {
		start := time.UnixMilli(millis)
		var starts []time.Time
		var end time.Time
		for _, run := range runs {
			if run.Time.After(end) {
				end = run.Time
			}
			if run.Backend == id && run.Phase == record.Started && run.Time.After(start) {
				starts = append(starts, run.Time)
			}
		}
		slices.SortFunc(starts, time.Time.Compare)
		if last, ok := lastBeforeGap(start, starts, end); ok {
			r.Detection[id] = last.Sub(start)
		} else {
			r.Undetected = append(r.Undetected, id)
		}
	}
}

// lastBeforeGap returns the last start before the first idle gap.
func lastBeforeGap(begin time.Time, starts []time.Time, end time.Time) (time.Time, bool) {
	last := begin
	for _, t := range starts {
		if t.Sub(last) >= idleGap {
			return last, true
		}
		last = t
	}
	return last, end.Sub(last) >= idleGap
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(t, "%s\t%v\n", name, value) }
	row("sent", r.Sent)
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		row("  "+outcome, r.Outcomes[outcome])
	}
	row("wrong answers", r.Wrong)
	row("answered without a commit", r.Lost)
	row("non-idempotent run twice", r.RunTwice)
	row("said not run but began", r.FalseNotRun)
	for _, id := range slices.Sorted(maps.Keys(r.Detection)) {
		row("last work after fault, "+id, r.Detection[id].Round(time.Millisecond))
	}
	for _, id := range r.Undetected {
		row("still receives work, "+id, "yes")
	}
	for _, service := range slices.Sorted(maps.Keys(r.Floors)) {
		row("lowest capacity / floor, "+service, fmt.Sprintf("%d / %d", r.LowestCapacity[service], r.Floors[service]))
	}
	row("latency p50 / p99", fmt.Sprintf("%v / %v", r.LatencyP50.Round(time.Microsecond), r.LatencyP99.Round(time.Microsecond)))
	if r.DirectP50 > 0 {
		row("direct p50 / p99", fmt.Sprintf("%v / %v", r.DirectP50.Round(time.Microsecond), r.DirectP99.Round(time.Microsecond)))
	}
	for _, e := range r.Examples {
		row("violation", e)
	}
	return t.Flush()
}
