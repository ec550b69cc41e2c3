package e2e

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"wigeonspring.example/wigeonspring/standin/backend"
	"wigeonspring.example/wigeonspring/standin/caller"
	"wigeonspring.example/wigeonspring/standin/record"
	"wigeonspring.example/wigeonspring/standin/verify"
)

// runningLoad is a load that the test process generates.
type runningLoad struct {
	done    chan struct{}
	results *syncBuffer
	summary caller.Summary
}

// startLoad starts a load of reads, bookings and uploads to the given nodes.
func (f *fleet) startLoad(service, host string, rate float64, duration time.Duration, nodes ...int) *runningLoad {
	var targets []string
	for _, i := range nodes {
		targets = append(targets, f.callerAddr(i))
	}
	return f.runLoad(caller.Options{
		Targets: targets, Service: service, Host: host, Rate: rate, Duration: duration,
		BookingPercent: 40, UploadPercent: 2, UploadBytes: 500_000, ChunkedPercent: 50,
		SegmentedPercent: f.segmented, CutPercent: f.cut, Timeout: 40 * time.Second,
		Teams: 20, Seed: 1,
	})
}

// runLoad runs a load of its own identifiers and records.
func (f *fleet) runLoad(o caller.Options) *runningLoad {
	f.loadCount++
	l := &runningLoad{done: make(chan struct{}), results: &syncBuffer{}}
	f.loads = append(f.loads, l)
	o.IDPrefix, o.Records = fmt.Sprintf("%s-%d", o.Service, f.loadCount), record.NewWriter(l.results)
	run := caller.New(o)
	go func() {
		defer close(l.done)
		l.summary = run.Run(f.ctx)
	}()
	return l
}

// sampleCapacity samples the number of serving backend servers of a service until the
// channel is closed. The returned function waits for the end and returns the samples.
func (f *fleet) sampleCapacity(node int, service string, until <-chan struct{}) func() []verify.CapacitySample {
	var samples []verify.CapacitySample
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-until:
				return
			case <-time.After(100 * time.Millisecond):
			}
			if n := f.servingBackends(node, service); n >= 0 {
				samples = append(samples, verify.CapacitySample{Time: time.Now(), Service: service, Serving: n})
			}
		}
	}()
	return func() []verify.CapacitySample {
		<-done
		return samples
	}
}

// report waits for a load to end and compares its results with the runs of the
// backend servers. It fails the test if the comparison or a counter of a node shows a
// violation.
func (f *fleet) report(l *runningLoad, service string) *verify.Report {
	f.t.Helper()
	<-l.done
	results, runs := f.resultsAndRuns(l, service)
	rep := verify.Compare(runs, results)
	f.t.Logf("sent %d, outcomes %v, wrong responses %d, answered without a commit %d, run twice %d, falsely reported as not run %d, ran with another body %d, p50 %v, p99 %v",
		rep.Sent, rep.Outcomes, rep.Wrong, rep.Lost, rep.RunTwice, rep.FalseNotRun, rep.OtherBody, rep.LatencyP50, rep.LatencyP99)
	if rep.Violated() {
		f.logViolations(rep, results)
	}
	f.checkInvariantCounters()
	return rep
}

// checkUnasked compares what the callers of all loads, which have ended, sent with what the
// backend servers ran whose names begin with prefix.
func (f *fleet) checkUnasked(prefix string) {
	f.t.Helper()
	var results []record.Result
	for _, l := range f.loads {
		results = append(results, f.results(l)...)
	}
	runs := f.runs(prefix)
	rep := verify.Compare(runs, results)
	rep.AddUnasked(runs, results)
	f.t.Logf("in all: sent %d, lines of backend servers %d, wrong %d, lost %d, run twice %d, falsely not run %d, other body %d, unasked %+v",
		rep.Sent, len(runs), rep.Wrong, rep.Lost, rep.RunTwice, rep.FalseNotRun, rep.OtherBody, rep.Unasked)
	if rep.Violated() {
		f.logViolations(rep, results)
	}
}

// logViolations fails the test and logs the results in which the violations were seen.
func (f *fleet) logViolations(rep *verify.Report, results []record.Result) {
	f.t.Helper()
	f.t.Errorf("violations: %v", rep.Examples)
	for _, r := range results {
		if slices.ContainsFunc(rep.Examples, func(e string) bool { return strings.Contains(e, r.Operation+" ") }) {
			f.t.Logf("%+v", r)
		}
	}
}

// resultsAndRuns returns what the callers of a load saw and what the backend servers of its
// service ran.
func (f *fleet) resultsAndRuns(l *runningLoad, service string) ([]record.Result, []record.Run) {
	f.t.Helper()
	return f.results(l), f.runs(service + "-")
}

// results returns what the callers of a load saw.
func (f *fleet) results(l *runningLoad) []record.Result {
	f.t.Helper()
	results, err := verify.ReadLines[record.Result](strings.NewReader(l.results.String()))
	if err != nil {
		f.t.Fatal(err)
	}
	return results
}

// runs returns what the backend servers ran whose names begin with prefix.
func (f *fleet) runs(prefix string) (runs []record.Run) {
	f.t.Helper()
	for _, p := range f.allProcesses() {
		if !strings.HasPrefix(p.name, prefix) {
			continue
		}
		lines, err := verify.ReadLines[record.Run](strings.NewReader(p.stdout.String()))
		if err != nil {
			f.t.Fatal(err)
		}
		runs = append(runs, lines...)
	}
	return runs
}

// checkInvariantCounters fails the test if a running node has counted a violation of
// an invariant.
func (f *fleet) checkInvariantCounters() {
	for i := 1; i <= f.nodes; i++ {
		resp, err := localClient.Get(f.operatorURL(i) + "/debug/vars")
		if err != nil {
			continue
		}
		var vars struct {
			Violations map[string]int `json:"invariant_violations"`
		}
		err = json.NewDecoder(resp.Body).Decode(&vars)
		resp.Body.Close()
		if err != nil {
			f.t.Errorf("%s: metrics: %v", nodeName(i), err)
		}
		if len(vars.Violations) > 0 {
			f.t.Errorf("%s: invariants violated: %v", nodeName(i), vars.Violations)
		}
	}
}

func (f *fleet) setFaults(index int, faults backend.Faults) {
	f.t.Helper()
	f.post("http://"+f.backendAddr(index)+"/admin/faults", faults)
}
