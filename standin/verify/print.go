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

// CapacitySample is the number of serving backend servers of a service at one time.
type CapacitySample struct {
	Time    time.Time `json:"time"`
	Service string    `json:"service"`
	Serving int       `json:"serving"`
}

// CountServing returns the number of backend servers that serve requests. These are
// active or in probation, and their owner is alive or suspected.
func CountServing(backends []*controlpb.BackendInfo) int {
	n := 0
	for _, b := range backends {
		active := b.State == registry.Active.String() || b.State == registry.Probation.String()
		owned := b.OwnerStatus == registry.Alive.String() || b.OwnerStatus == registry.Suspect.String()
		if active && owned {
			n++
		}
	}
	return n
}

// detectionGap is the time without new work after which a backend server counts as
// ejected. It is shorter than the first backoff of an ejection, 5 s.
const detectionGap = 3 * time.Second

// AddDirectLatency adds the latency of operations that were sent directly to backend
// servers.
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

// AddCapacity adds the lowest sampled capacity of each service and compares it with
// the floors. A floor whose service has no sample counts as violated.
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
			r.addExample("lowest capacity of %s is %d, floor %d (sampled: %t)", service, lowest, floor, seen)
		}
	}
}

// AddDetection adds how long each faulty backend server continued to receive work. The
// argument faultStarts maps a backend server to the start of its fault in Unix
// milliseconds.
func (r *Report) AddDetection(runs []record.Run, faultStarts map[string]int64) {
	r.Detection = map[string]time.Duration{}
	r.Undetected = []string{}
	for id, millis := range faultStarts {
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
		if last, ok := lastStartBeforeGap(start, starts, end); ok {
			r.Detection[id] = last.Sub(start)
		} else {
			r.Undetected = append(r.Undetected, id)
		}
	}
}

// lastStartBeforeGap returns the last start of a run before the first detectionGap
// without one, or begin if no run started before it. It returns false if there is no
// such gap up to end.
func lastStartBeforeGap(begin time.Time, starts []time.Time, end time.Time) (time.Time, bool) {
	last := begin
	for _, t := range starts {
		if t.Sub(last) >= detectionGap {
			return last, true
		}
		last = t
	}
	return last, end.Sub(last) >= detectionGap
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(t, "%s\t%v\n", name, value) }
	row("sent", r.Sent)
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		row("  "+outcome, r.Outcomes[outcome])
	}
	row("wrong responses", r.Wrong)
	row("answered without a commit", r.Lost)
	row("non-idempotent but run twice", r.RunTwice)
	row("reported as not run but began", r.FalseNotRun)
	row("ran with another body", r.OtherBody)
	for _, id := range slices.Sorted(maps.Keys(r.Detection)) {
		row("last new work after the fault, "+id, r.Detection[id].Round(time.Millisecond))
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
