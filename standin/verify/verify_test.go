package verify

import (
	"strings"
	"testing"

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
