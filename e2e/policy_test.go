package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	platformstandin "wigeonspring.example/wigeonspring/standin/platform"
)

// policyInForceLimit is the time within which an accepted policy must come into force
// on all nodes.
const policyInForceLimit = 4 * time.Second

func backendName(index int) string { return fmt.Sprintf("booking-%d", index) }

// writePolicy writes a copy of the booking policy with another timeout and returns its
// path.
func writePolicy(t *testing.T, name, timeout string) string {
	t.Helper()
	text, err := os.ReadFile(bookingPolicy)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), name)
	changed := strings.Replace(string(text), `timeout = "2s"`, fmt.Sprintf("timeout = %q", timeout), 1)
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against a policy that does not come into force on every node in time, after a
// single change and after twenty changes within about a second.
func TestPolicyIsInForceEverywhere(t *testing.T) {
	f := newFleet(t, 25000, 6)
	f.start("booking", bookingPolicy, 5, bookingFloor)
	for _, changes := range []int{1, 20} {
		var epoch uint64
		var start time.Time
		for i := range changes {
			start = time.Now()
			file := writePolicy(t, "p.toml", fmt.Sprintf("%dms", 2000+changes*100+i))
			if out, code := f.wigeonctl(1, "policy", "apply", file); code != 0 {
				t.Fatalf("apply: %s", out)
			}
			epoch = f.storedEpoch()
		}
		f.eventually(policyInForceLimit-time.Since(start), fmt.Sprintf("epoch %d in force on all nodes", epoch), func() bool {
			return f.epochInForceEverywhere("booking", epoch)
		})
		t.Logf("%d changes: epoch %d in force on %d nodes %v after the operator began the last", changes, epoch, f.nodes, time.Since(start))
	}
}

// Guards against a policy that comes into force late because the connections on which
// the nodes watch the platform have stopped passing data without being closed.
func TestStalledPlatformConnectionsDoNotDelayPolicy(t *testing.T) {
	f := newFleet(t, 26600, 6)
	link := f.addPlatformRelay()
	f.start("booking", bookingPolicy, 5, bookingFloor)
	apply := func(timeout string) (epoch uint64) {
		if out, code := f.wigeonctl(1, "policy", "apply", writePolicy(t, "p.toml", timeout)); code != 0 {
			t.Fatalf("apply: %s", out)
		}
		return f.storedEpoch()
	}
	// After a change, all nodes watch on connections that were just used.
	first := apply("2100ms")
	f.eventually(policyInForceLimit, "a policy in force before the connections stall", func() bool { return f.epochInForceEverywhere("booking", first) })
	link.StallConnections()
	start := time.Now()
	second := apply("2200ms")
	f.eventually(policyInForceLimit-time.Since(start), "a policy in force after the connections stalled", func() bool { return f.epochInForceEverywhere("booking", second) })
	t.Logf("in force %v after the operator began", time.Since(start))
}

// Guards against nodes that go on with an old policy after a pause longer than their watches, and
// against a policy that comes into force late on the others because watchers are paused.
func TestPausedWatchersTakeUpPolicy(t *testing.T) {
	f := newFleet(t, 26800, 6)
	f.start("booking", bookingPolicy, 5, bookingFloor)
	paused, others := []int{1, 3, 5}, []int{2, 4, 6} // One of the two watchers in each failure domain.
	signal := func(s syscall.Signal) {
		for _, i := range paused {
			f.processes[nodeName(i)].signal(s)
		}
	}
	inForce := func(nodes []int) func() bool {
		return func() bool {
			return !slices.ContainsFunc(nodes, func(i int) bool { return f.epochInForce(i, "booking") != 2 })
		}
	}
	signal(syscall.SIGSTOP)
	time.Sleep(4 * time.Second)
	start := time.Now()
	if out, code := f.wigeonctl(others[0], "policy", "apply", writePolicy(t, "p.toml", "2100ms")); code != 0 {
		t.Fatalf("apply: %s", out)
	}
	f.eventually(policyInForceLimit-time.Since(start), "the policy in force beside paused watchers", inForce(others))
	signal(syscall.SIGCONT)
	f.eventually(policyInForceLimit, "the policy in force on nodes that were paused", inForce(paused))
}

// storedEpoch returns the epoch of the booking policy that wigeonctl reports.
func (f *fleet) storedEpoch() uint64 {
	f.t.Helper()
	out, code := f.wigeonctl(1, "policy", "show", "booking", "--output", "json")
	if code != 0 {
		f.t.Fatalf("policy show: %s", out)
	}
	var epoch uint64
	for _, line := range strings.Split(out, "\n") {
		if _, err := fmt.Sscanf(strings.TrimSpace(line), `"epoch": %d`, &epoch); err == nil {
			return epoch
		}
	}
	f.t.Fatalf("no epoch in %s", out)
	return 0
}

// Guards against two concurrent changes of operators that are both reported as accepted.
func TestOneOfTwoConcurrentChangesIsAccepted(t *testing.T) {
	f := newFleet(t, 25200, 2)
	f.start("booking", bookingPolicy, 5, bookingFloor)
	var wg sync.WaitGroup
	var mu sync.Mutex
	codes := map[int]int{}
	var rejected string
	for i := range 2 {
		file := writePolicy(t, "p.toml", fmt.Sprintf("%ds", 3+i))
		wg.Add(1)
		go func() {
			defer wg.Done()
			out, code := f.wigeonctl(i+1, "policy", "apply", "--base", "1", file)
			mu.Lock()
			defer mu.Unlock()
			codes[code]++
			if code != 0 {
				rejected = out
			}
		}()
	}
	wg.Wait()
	if codes[0] != 1 || codes[1] != 1 {
		t.Fatalf("exit statuses %v, want one 0 and one 1", codes)
	}
	if !strings.Contains(rejected, "epoch 2") {
		t.Errorf("the rejected change was not told the epoch of the accepted one: %s", rejected)
	}
}

// Guards against a policy that reverts to an older epoch, on a node that restarts while
// the platform is down, or because the platform returns stale reads.
func TestPolicyNeverReverts(t *testing.T) {
	f := newFleet(t, 25400, 4)
	f.start("booking", bookingPolicy, 5, bookingFloor)
	if out, code := f.wigeonctl(1, "policy", "apply", writePolicy(t, "p.toml", "3s")); code != 0 {
		t.Fatalf("apply: %s", out)
	}
	f.eventually(policyInForceLimit, "epoch 2 on all nodes", func() bool { return f.epochInForceEverywhere("booking", 2) })

	f.post(f.platformURL()+"/admin/faults", platformstandin.Faults{Outage: true})
	f.processes["n4"].signal(9)
	f.processes["n4"].awaitKilled(t)
	f.startNode(4)
	f.waitReady(4)
	if epoch := f.epochInForce(4, "booking"); epoch != 2 {
		t.Errorf("restarted node is ready with epoch %d, want 2", epoch)
	}
	// From here on reads return the revision before the second change.
	f.post(f.platformURL()+"/admin/faults", platformstandin.Faults{StaleReads: 1})
	time.Sleep(5 * time.Second)
	if !f.epochInForceEverywhere("booking", 2) {
		t.Error("a node reverted to an older policy after stale reads from the platform")
	}
}
