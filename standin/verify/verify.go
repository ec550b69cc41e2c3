// Package verify compares the results that callers saw with the work that backend
// servers ran, and reports violations of the guarantees of the fleet.
package verify

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/standin/record"
)

// Report is the result of a comparison.
type Report struct {
	Sent     int            `json:"sent"`
	Outcomes map[string]int `json:"outcomes"`
	// Wrong counts responses that were incomplete or belonged to another operation.
	Wrong int `json:"wrong"`
	// Lost counts operations that were answered although no backend server
	// committed them.
	Lost int `json:"lost"`
	// RunTwice counts non-idempotent operations that began more than once.
	RunTwice int `json:"run_twice"`
	// FalseNotRun counts operations that were reported as not run although they began.
	FalseNotRun int `json:"false_not_run"`
	// OtherBody counts runs that received, as a whole body, another one than their caller
	// sent, or one that it broke off.
	OtherBody int `json:"other_body"`
	// Unasked counts the runs that no caller asked for; see AddUnasked.
	Unasked Unasked `json:"unasked"`
	// Unanswered counts the requests that a node had read and that ended without an answer
	// under planned work; see AddUnanswered.
	Unanswered int `json:"unanswered"`
	// Departed counts the requests placed at backend servers that had left; see AddDeparted.
	Departed int `json:"departed"`
	// LatencyP50 and LatencyP99 are the latencies of the operations that were answered
	// with status 200.
	LatencyP50 time.Duration `json:"latency_p50"`
	LatencyP99 time.Duration `json:"latency_p99"`
	// DirectP50 and DirectP99 are the latencies of operations that were sent directly to
	// backend servers.
	DirectP50 time.Duration `json:"direct_p50"`
	DirectP99 time.Duration `json:"direct_p99"`
	// LowestCapacity is the lowest sampled number of serving backend servers by service.
	LowestCapacity map[string]int `json:"lowest_capacity"`
	Floors         map[string]int `json:"floors"`
	// BelowFloor counts services whose capacity fell below the floor.
	BelowFloor int `json:"below_floor"`
	// Detection is how long each faulty backend server continued to receive work.
	Detection map[string]time.Duration `json:"detection"`
	// Undetected lists the faulty backend servers that never stopped receiving work.
	Undetected []string `json:"undetected"`
	// Examples describe the first violations.
	Examples []string `json:"examples,omitempty"`
}

// maxExamples limits the examples in a report.
const maxExamples = 10

// Violated reports whether an invariant was violated.
func (r *Report) Violated() bool {
	return r.Wrong+r.Lost+r.RunTwice+r.FalseNotRun+r.OtherBody+r.Unasked.total()+r.Unanswered+r.Departed+r.BelowFloor+len(r.Undetected) > 0
}

func (r *Report) addExample(format string, args ...any) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}

// Compare compares the runs in the logs of the backend servers with the results in
// the logs of the callers.
func Compare(runs []record.Run, results []record.Result) *Report {
	rep := &Report{Outcomes: map[string]int{}}
	started := map[string]int{}
	committed := map[string]int{}
	received := map[string][]record.Run{}
	for _, run := range runs {
		switch run.Phase {
		case record.Started:
			started[run.Operation]++
		case record.Received:
			received[run.Operation] = append(received[run.Operation], run)
		case record.Committed:
			committed[run.Operation]++
		}
	}
	var latencies []time.Duration
	for _, res := range results {
		rep.Sent++
		rep.Outcomes[res.Outcome]++
		if res.Wrong {
			rep.Wrong++
			rep.addExample("wrong response: %s: %s", res.Operation, res.Error)
		}
		rep.checkResult(res, started[res.Operation], committed[res.Operation])
		rep.checkBodies(res, received[res.Operation])
		if res.Outcome == header.Answered && res.Status == 200 {
			latencies = append(latencies, res.Latency)
		}
	}
	rep.LatencyP50 = quantile(latencies, 0.50)
	rep.LatencyP99 = quantile(latencies, 0.99)
	return rep
}

func (r *Report) checkResult(res record.Result, started, committed int) {
	if !res.Idempotent && started > 1 {
		r.RunTwice++
		r.addExample("run twice: %s began %d times, outcome %s", res.Operation, started, res.Outcome)
	}
	if res.Outcome == header.NotRun && started > 0 {
		r.FalseNotRun++
		r.addExample("reported as not run: %s began %d times", res.Operation, started)
	}
	if res.Outcome == header.Answered && res.Status == 200 && committed == 0 {
		r.Lost++
		r.addExample("answered without a commit: %s", res.Operation)
	}
}

// checkBodies compares the bodies that the runs of an operation received whole with the one
// that the caller sent.
func (r *Report) checkBodies(res record.Result, received []record.Run) {
	for _, run := range received {
		if run.BodyHash == res.BodyHash && run.Bytes == res.BodyBytes && res.Cut == "" {
			continue
		}
		r.OtherBody++
		r.addExample("received another body: %s at %s: %d bytes of %d, broken off by the caller: %q", res.Operation, run.Backend, run.Bytes, res.BodyBytes, res.Cut)
	}
}

// lossSlack is the time after which a node must have read a request that was sent.
const lossSlack = 200 * time.Millisecond

// AddUnanswered counts the requests that a node had read whole and that ended without the
// answer of a backend server, although it had begun them, or without any answer. It applies
// to runs in which all work was planned and no backend server failed. A request that has
// reached the timeout of its route is not counted; timeouts are by kind of operation.
func (r *Report) AddUnanswered(runs []record.Run, results []record.Result, timeouts map[string]time.Duration) {
	started := map[string]bool{}
	for _, run := range runs {
		started[run.Operation] = true
	}
	for _, res := range results {
		if res.Cut != "" || res.SentAt.IsZero() || res.Outcome == header.Answered || res.Status == http.StatusGatewayTimeout {
			continue
		}
		if timeout := timeouts[res.Kind]; timeout > 0 && res.Latency >= timeout {
			continue
		}
		noAnswer := res.Outcome != header.NotRun && res.Status < 300
		if started[res.Operation] || noAnswer && res.Time.Sub(res.SentAt) > lossSlack {
			r.Unanswered++
			r.addExample("read but not answered: %s ended as %s, %v after its last byte: %s", res.Operation, res.Outcome, res.Time.Sub(res.SentAt), res.Error)
		}
	}
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// ReadLines decodes one value of type T from each JSON line of r. A malformed last
// line is ignored, because a killed process may leave an incomplete one.
func ReadLines[T any](r io.Reader) ([]T, error) {
	var values []T
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	// pending is the error of the previous line, which counts unless that line is the
	// last one.
	var pending error
	for line := 1; scanner.Scan(); line++ {
		if pending != nil {
			return nil, pending
		}
		var v T
		if err := json.Unmarshal(scanner.Bytes(), &v); err != nil {
			pending = fmt.Errorf("line %d: %w", line, err)
			continue
		}
		values = append(values, v)
	}
	return values, scanner.Err()
}
