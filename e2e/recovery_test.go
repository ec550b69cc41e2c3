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

// drainLimit is the time after the start of a drain from which a backend server must
// receive no new work.
const drainLimit = 3 * time.Second

// lastRunStart returns when a backend server last started a run.
func (f *fleet) lastRunStart(name string) time.Time {
	f.t.Helper()
	runs, err := verify.ReadLines[record.Run](strings.NewReader(f.processes[name].stdout.String()))
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

// Guards against a draining backend server that continues to receive work while the
// platform is down. One server announces the drain itself, the other one is drained by
// an operator.
func TestDrainingBackendReceivesNoNewWork(t *testing.T) {
	f := newFleet(t, 25600, 6)
	f.start("booking", bookingPolicy, 5, bookingFloor)
	f.post(f.platformURL()+"/admin/faults", platformstandin.Faults{Outage: true})
	l := f.startLoad("booking", bookingHost, 200, 9*time.Second, 1, 2, 3, 4, 5, 6)
	time.Sleep(2 * time.Second)
	announcedAt := time.Now()
	f.post("http://"+f.backendAddr(1)+"/admin/drain", struct{}{})
	requestedAt := time.Now()
	// The drain takes effect, but a platform that is down cannot keep it for a later process.
	if out, code := f.wigeonctl(1, "drain", "booking-4"); code != 1 || !strings.Contains(out, "the drain is in effect") {
		t.Fatalf("drain: %d, %s", code, out)
	}
	rep := f.report(l, "booking")
	for name, start := range map[string]time.Time{"booking-1": announcedAt, "booking-4": requestedAt} {
		last := f.lastRunStart(name)
		t.Logf("%s: last new work %v after the drain began", name, last.Sub(start).Round(time.Millisecond))
		if last.IsZero() || last.Sub(start) > drainLimit {
			t.Errorf("%s received new work %v after the drain began", name, last.Sub(start))
		}
	}
	if n := rep.Outcomes[header.Answered]; n != rep.Sent {
		t.Errorf("%d of %d requests were answered during a drain", n, rep.Sent)
	}
	f.post(f.platformURL()+"/admin/faults", platformstandin.Faults{})
	f.eventually(5*time.Second, "the drain is stored", func() bool { _, code := f.wigeonctl(1, "drain", "booking-4"); return code == 0 })
}

// Guards against a fleet that does not recover, or recovers with an older policy, when
// all nodes are killed at once.
func TestAllNodesRestartAtOnce(t *testing.T) {
	f := newFleet(t, 25800, 6)
	f.start("booking", bookingPolicy, 5, bookingFloor)
	if out, code := f.wigeonctl(1, "policy", "apply", writePolicy(t, "p.toml", "3s")); code != 0 {
		t.Fatalf("apply: %s", out)
	}
	f.eventually(policyInForceLimit, "epoch 2 on all nodes", func() bool { return f.epochInForceEverywhere("booking", 2) })
	for i := 1; i <= f.nodes; i++ {
		f.processes[nodeName(i)].signal(syscall.SIGKILL)
		f.processes[nodeName(i)].awaitKilled(t)
	}
	start := time.Now()
	for i := 1; i <= f.nodes; i++ {
		f.startNode(i)
	}
	for i := 1; i <= f.nodes; i++ {
		f.waitReady(i)
		if epoch := f.epochInForce(i, "booking"); epoch != 2 {
			t.Errorf("%s is ready with epoch %d, want 2", nodeName(i), epoch)
		}
	}
	ready := time.Since(start)
	f.eventually(15*time.Second, "all backend servers announced", func() bool { return f.servingBackends(1, "booking") == 12 })
	t.Logf("all nodes ready after %v, all backend servers announced after %v", ready.Round(time.Millisecond), time.Since(start).Round(time.Millisecond))
	l := f.startLoad("booking", bookingHost, 100, 2*time.Second, 1, 3, 5)
	if rep := f.report(l, "booking"); rep.Outcomes[header.Answered] != rep.Sent {
		t.Errorf("outcomes after the restart: %v", rep.Outcomes)
	}
}

// Guards against callers that do not see the failure of their requests when an ingress
// node is killed.
func TestCallersSeeKilledIngressNode(t *testing.T) {
	f := newFleet(t, 26000, 4)
	f.start("booking", bookingPolicy, 5, bookingFloor)
	l := f.startLoad("booking", bookingHost, 200, 4*time.Second, 1, 3)
	time.Sleep(2 * time.Second)
	f.processes["n1"].signal(syscall.SIGKILL)
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
		t.Error("no request ended with a transport error when the node was killed: the test does not cover the failure")
	}
}

// Guards against a backend server that left for good while its node was down and that gets
// work again after the restart of that node.
func TestServerThatLeftStaysOutAfterRestart(t *testing.T) {
	f := newFleet(t, 26400, 4)
	f.start("booking", bookingPolicy, 5, bookingFloor)
	f.processes["n1"].signal(syscall.SIGKILL)
	f.processes["n1"].awaitKilled(t)
	left := f.processes["booking-1"] // It was announced to n1.
	left.signal(syscall.SIGKILL)
	left.awaitKilled(t)
	f.eventually(15*time.Second, "the other nodes no longer list the backend server", func() bool { return f.servingBackends(2, "booking") == 11 })
	f.startNode(1)
	f.waitReady(1)
	placed := func() (n int) {
		for i := 1; i <= f.nodes; i++ {
			for line := range strings.Lines(f.processes[nodeName(i)].stdout.String()) {
				if strings.Contains(line, `"request_placed"`) && strings.Contains(line, `"booking-1"`) {
					n++
				}
			}
		}
		return n
	}
	before := placed()
	l := f.startLoad("booking", bookingHost, 100, 4*time.Second, 1, 2, 3, 4)
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		for i := 1; i <= f.nodes; i++ {
			if n := f.servingBackends(i, "booking"); n > 11 {
				t.Errorf("%s lists %d backend servers", nodeName(i), n)
			}
		}
	}
	rep := f.report(l, "booking")
	if n := placed() - before; n > 0 || rep.Outcomes[header.Answered] != rep.Sent {
		t.Errorf("%d requests placed at the backend server that left; outcomes %v", n, rep.Outcomes)
	}
}
