package verify

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/standin/record"
)

// Guards against a comparison that misses a violation, or reports one in a clean run.
func TestCompareFindsViolations(t *testing.T) {
	run := func(op string, phase record.Phase) record.Run {
		return record.Run{Backend: "b1", Operation: op, Phase: phase}
	}
	cases := []struct {
		name   string
		runs   []record.Run
		result record.Result
		want   func(*Report) int
	}{
		{"booking runs twice", []record.Run{run("a", record.Started), run("a", record.Started)},
			record.Result{Operation: "a", Outcome: "unknown"}, func(r *Report) int { return r.RunTwice }},
		{"not run but began", []record.Run{run("a", record.Started)},
			record.Result{Operation: "a", Outcome: "not-run"}, func(r *Report) int { return r.FalseNotRun }},
		{"answered without a commit", nil,
			record.Result{Operation: "a", Outcome: "answered", Status: 200}, func(r *Report) int { return r.Lost }},
		{"wrong response", []record.Run{run("a", record.Started), run("a", record.Committed)},
			record.Result{Operation: "a", Outcome: "answered", Status: 200, Wrong: true}, func(r *Report) int { return r.Wrong }},
		{"other body", []record.Run{{Operation: "a", Phase: record.Received, Bytes: 1, BodyHash: "x"}},
			record.Result{Operation: "a", BodyBytes: 2, BodyHash: "y"}, func(r *Report) int { return r.OtherBody }},
		{"cut body", []record.Run{{Operation: "a", Phase: record.Received, Bytes: 2, BodyHash: "y"}},
			record.Result{Operation: "a", BodyBytes: 2, BodyHash: "y", Cut: "reset"}, func(r *Report) int { return r.OtherBody }},
	}
	for _, c := range cases {
		rep := Compare(c.runs, []record.Result{c.result})
		if c.want(rep) != 1 || !rep.Violated() {
			t.Errorf("%s: not found: %+v", c.name, rep)
		}
	}
	clean := Compare(
		[]record.Run{run("a", record.Started), run("a", record.Committed), run("b", record.Started), run("b", record.Started)},
		[]record.Result{{Operation: "a", Outcome: "answered", Status: 200}, {Operation: "b", Idempotent: true, Outcome: "failed"}})
	if clean.Violated() {
		t.Errorf("violation reported for a clean run: %+v", clean)
	}
}

// Guards against a run that no caller asked for and that is not found, whatever differs.
func TestUnaskedRuns(t *testing.T) {
	sent := record.Result{Operation: "a", Service: "tin", Method: "POST", Target: "/p?q=1", Key: "k", Origin: "shop", RequestID: "1"}
	ran := record.Run{Operation: "a", Service: "tin", Method: "POST", Target: "/p?q=1", Key: "k", Origin: "shop", RequestID: "1", Phase: record.Started}
	call := record.Run{Operation: "a/1", Method: "GET", Target: "/c", Origin: "cart", RequestID: "2", Phase: record.Started}
	called := call
	called.Phase, called.RequestID = record.Called, ""
	cases := map[string]struct {
		edit func(run *record.Run)
		want Unasked
	}{
		"as sent":      {func(*record.Run) {}, Unasked{}},
		"unknown id":   {func(run *record.Run) { run.Operation = "b" }, Unasked{Unknown: 1}},
		"no id":        {func(run *record.Run) { run.Operation = "" }, Unasked{Unknown: 1}},
		"method":       {func(run *record.Run) { run.Method = "GET" }, Unasked{OtherRequest: 1}},
		"path":         {func(run *record.Run) { run.Target = "/o?q=1" }, Unasked{OtherRequest: 1}},
		"query":        {func(run *record.Run) { run.Target = "/p?q=%31" }, Unasked{OtherRequest: 1}},
		"key":          {func(run *record.Run) { run.Key = "" }, Unasked{OtherRequest: 1}},
		"service":      {func(run *record.Run) { run.Service = "pan" }, Unasked{OtherService: 1}},
		"origin":       {func(run *record.Run) { run.Origin = "" }, Unasked{OtherOrigin: 1}},
		"shared id":    {func(run *record.Run) { run.RequestID = "2" }, Unasked{OtherRequest: 1, SharedID: 1}},
		"other id":     {func(run *record.Run) { run.RequestID = "3" }, Unasked{OtherRequest: 1}},
		"repeated run": {func(run *record.Run) { run.Backend = "b2" }, Unasked{}},
	}
	for name, c := range cases {
		run := ran
		c.edit(&run)
		rep := &Report{}
		rep.AddUnasked([]record.Run{called, call, run}, []record.Result{sent})
		if rep.Unasked != c.want || rep.Violated() != (c.want != Unasked{}) {
			t.Errorf("%s: got %+v, want %+v", name, rep.Unasked, c.want)
		}
	}
}

// Guards against a request that a node read and did not answer under planned work, or that was
// placed at a departed backend server, and is not found.
func TestPlannedWorkViolations(t *testing.T) {
	at := time.Date(2026, 12, 6, 1, 0, 0, 0, time.UTC)
	results := []record.Result{
		{Operation: "slow", Kind: "read", Outcome: "transport-error", Latency: time.Second, SentAt: at, Time: at.Add(time.Second)},
		{Operation: "began", Outcome: "unknown", Status: 502, SentAt: at, Time: at},
		{Operation: "crossed", Outcome: "transport-error", SentAt: at, Time: at},
		{Operation: "not-sent", Outcome: "transport-error", Time: at},
		{Operation: "late", Kind: "read", Outcome: "transport-error", Latency: 2 * time.Second, SentAt: at, Time: at.Add(time.Second)},
		{Operation: "cut", Outcome: "transport-error", Cut: "reset", SentAt: at, Time: at.Add(time.Second)},
		{Operation: "answered", Outcome: "answered", Status: 200, SentAt: at, Time: at.Add(time.Second)},
	}
	runs := []record.Run{
		{Operation: "began", Phase: record.Started}, {Operation: "answered", Phase: record.Started},
		{Backend: "b1", Phase: record.Joined, Time: at}, {Backend: "b1", Phase: record.Left, Time: at.Add(time.Second)},
		{Backend: "b1", Phase: record.Joined, Time: at.Add(10 * time.Second)},
	}
	rep := &Report{}
	rep.AddUnanswered(runs, results, map[string]time.Duration{"read": 2 * time.Second})
	var log strings.Builder
	for _, second := range []int{1, 3, 5, 11} {
		fmt.Fprintf(&log, "{\"msg\":\"request_placed\",\"at\":\"2026-12-06T01:00:%02d.000Z\",\"backend\":\"b1\"}\nother\n", second)
	}
	rep.AddDeparted(runs, ReadPlacements(strings.NewReader(log.String())), 3*time.Second)
	if rep.Unanswered != 2 || rep.Departed != 1 || !rep.Violated() {
		t.Errorf("got %+v, want 2 unanswered and 1 placed after the departure", rep)
	}
}

// Guards against a log that cannot be read because a killed process left an
// incomplete last line, and against a malformed line in the middle that is accepted.
func TestReadLinesIgnoresOnlyIncompleteLastLine(t *testing.T) {
	runs, err := ReadLines[record.Run](strings.NewReader("{\"operation\":\"a\"}\n{\"oper"))
	if err != nil || len(runs) != 1 {
		t.Fatalf("incomplete last line: %v, %v", runs, err)
	}
	if _, err := ReadLines[record.Run](strings.NewReader("{\"oper\n{\"operation\":\"a\"}\n")); err == nil {
		t.Fatal("malformed line in the middle was accepted")
	}
}
