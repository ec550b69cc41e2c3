package e2e

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	platformstandin "wigeonspring.example/wigeonspring/standin/platform"
	"wigeonspring.example/wigeonspring/standin/record"
	"wigeonspring.example/wigeonspring/standin/verify"
)

// drainBound is the time after which a backend server that leaves must receive
// no new work.
const drainBound = 3 * time.Second

// lastStart returns when a backend server last began a request.
func (f *fleet) lastStart(name string) time.Time {
	f.t.Helper()
	runs, err := verify.ReadLines[record.Run](strings.NewReader(f.procs[name].stdout.String()))
	if err != nil {
		f.t.Fatal(err)
	}
	var last time.Time
	for _, run := range runs {
		if run.Phase == record.Started && run.Time.After(last) {
			last = run.Time
		}
	}
	return last
}

// Guards against a leaving backend server that goes on receiving work, also while
// the platform is down, whether it says so itself or an operator asks for it.
func TestDrainingBackendReceivesNoNewWork(t *testing.T) {
	f := newFleet(t, 25600, 6)
	f.start("booking", bookingPolicy, 5, bookingFloor)
	f.post(f.platformURL()+"/admin/faults", platformstandin.Faults{Outage: true})
	l := f.startLoad("booking", bookingHost, 200, 9*time.Second, 1, 2, 3, 4, 5, 6)
	time.Sleep(2 * time.Second)
	announced := time.Now()
	f.post("http://"+f.backendAddr(1)+"/admin/drain", struct{}{})
	asked := time.Now()
	if out, code := f.ctl(1, "drain", "booking-4"); code != 0 {
		t.Fatalf("drain: %s", out)
	}
	rep := f.report(l, "booking")
	for name, start := range map[string]time.Time{"booking-1": announced, "booking-4": asked} {
		last := f.lastStart(name)
		t.Logf("%s: last new work %v after the drain began", name, last.Sub(start).Round(time.Millisecond))
		if last.IsZero() || last.Sub(start) > drainBound {
			t.Errorf("%s received new work %v after the drain began", name, last.Sub(start))
		}
	}
	if n := rep.Outcomes[header.Answered]; n != rep.Sent {
		t.Errorf("answered %d of %d during a drain", n, rep.Sent)
	}
}

// Guards against a fleet that does not come back, or comes back with an older
// policy, when all nodes are killed at once.
func TestAllNodesRestartAtOnce(t *testing.T) {
	f := newFleet(t, 25800, 6)
	f.start("booking", bookingPolicy, 5, bookingFloor)
	if out, code := f.ctl(1, "policy", "apply", writePolicy(t, "p.toml", "3s")); code != 0 {
		t.Fatalf("apply: %s", out)
	}
	f.eventually(inForceBound, "epoch 2 on all nodes", func() bool { return f.epochEverywhere("booking", 2) })
	for i := 1; i <= f.nodes; i++ {
		f.procs[nodeName(i)].signal(syscall.SIGKILL)
		<-f.procs[nodeName(i)].exited
	}
	start := time.Now()
	for i := 1; i <= f.nodes; i++ {
		f.startNode(i)
	}
	for i := 1; i <= f.nodes; i++ {
		f.waitReady(i)
		if epoch := f.epochOn(i, "booking"); epoch != 2 {
			t.Errorf("%s is ready with epoch %d, want 2", nodeName(i), epoch)
		}
	}
	ready := time.Since(start)
	f.eventually(15*time.Second, "all backend servers announced", func() bool { return f.serving(1, "booking") == 12 })
	t.Logf("ready after %v, all backend servers back after %v", ready.Round(time.Millisecond), time.Since(start).Round(time.Millisecond))
	l := f.startLoad("booking", bookingHost, 100, 2*time.Second, 1, 3, 5)
	if rep := f.report(l, "booking"); rep.Outcomes[header.Answered] != rep.Sent {
		t.Errorf("outcomes after the restart: %v", rep.Outcomes)
	}
}

// Guards against an ingress node that loses requests silently when it is killed:
// its callers must see the failure.
func TestKilledIngressIsVisible(t *testing.T) {
	f := newFleet(t, 26000, 4)
	f.start("booking", bookingPolicy, 5, bookingFloor)
	l := f.startLoad("booking", bookingHost, 200, 4*time.Second, 1, 3)
	time.Sleep(2 * time.Second)
	f.procs["n1"].signal(syscall.SIGKILL)
	rep := f.report(l, "booking")
	total := 0
	for outcome, n := range rep.Outcomes {
		total += n
		switch outcome {
		case header.Answered, header.NotRun, header.Unknown, header.Failed, "transport-error", "cut-short":
		default:
			t.Errorf("%d requests ended without a visible outcome: %q", n, outcome)
		}
	}
	if total != 800 {
		t.Errorf("%d results for 800 requests", total)
	}
	if rep.Outcomes["transport-error"] == 0 {
		t.Error("the kill had no effect: the case proves nothing")
	}
}
