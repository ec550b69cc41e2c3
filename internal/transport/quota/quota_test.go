package quota

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/quota"
	protocol "wigeonspring.example/wigeonspring/internal/protocol/quota"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// fakeFleet connects managers without sockets.
type fakeFleet struct {
	mu       sync.Mutex
	managers map[string]*Manager
	members  []registry.NodeID
	sent     atomic.Int64
	limited  atomic.Int64
}

// Publish implements event.Sink.
func (f *fakeFleet) Publish(e event.Event) {
	if e.Kind == event.TeamLimited {
		f.limited.Add(1)
	}
}

func (f *fakeFleet) manager(addr string) *Manager {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.managers[addr]
}

// kill removes a manager.
func (f *fakeFleet) kill(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.managers, addr)
}

// newFakeFleet starts managers of nodes with one team.
func newFakeFleet(t *testing.T, nodes int, rate, burst float64) (*fakeFleet, *policy.Team) {
	t.Helper()
	teams := teamsOf(t, rate, burst)
	f := &fakeFleet{managers: make(map[string]*Manager)}
	for i := range nodes {
		f.members = append(f.members, registry.NodeID(fmt.Sprintf("n%d", i)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	for _, id := range f.members {
		from := string(id)
		m := New(Options{
			Self: id, Bound: quota.Bound{Window: 3 * time.Second, Overage: 0.1, Slack: 20},
			Teams:   func() *policy.Teams { return teams },
			Members: func() []registry.NodeID { return f.members },
			Address: func(id registry.NodeID) (string, bool) { return string(id), true },
			Send: func(addr string, data []byte) {
				f.sent.Add(1)
				if to := f.manager(addr); to != nil && f.manager(from) != nil {
					to.Receive(from, data)
				}
			},
			Events: f, Logger: zap.NewNop(),
		})
		f.managers[from] = m
		running.Go(func() { _ = m.Run(ctx) })
	}
	return f, teams.All()[0]
}

// teamsOf returns the teams of a fleet document with one team.
func teamsOf(t *testing.T, rate, burst float64) *policy.Teams {
	t.Helper()
	text, err := policy.EncodeFleet(&policy.Fleet{
		Routes: []policy.FleetRoute{{
			Name: "r", Host: "booking.test", Prefix: "/", Timeout: policy.Duration(time.Second), MaxAttempts: 1,
			Targets: []policy.Target{{Service: "booking", Weight: 1}},
		}},
		Services: []policy.FleetService{{Name: "booking"}},
		Teams: []policy.FleetTeam{{
			Name: "bakers", Keys: []policy.KeyDigest{policy.DigestKey("key")}, RatePerSecond: rate, Burst: burst,
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	table := policy.NewTable(policy.TableOptions{})
	if _, err := table.Set(policy.VersionedDocument{Service: policy.FleetName, Epoch: 1, Text: text}); err != nil {
		t.Fatal(err)
	}
	return table.Teams()
}

// send sends requests of the team through all nodes for a while, and returns the times of the
// admitted ones.
func (f *fakeFleet) send(team *policy.Team, perSecond int, d time.Duration) (admitted []time.Time) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	start := time.Now()
	for i := 0; time.Since(start) < d; i++ {
		<-ticker.C
		m := f.manager(string(f.members[i%len(f.members)]))
		if m == nil {
			continue
		}
		if ok, _ := m.Admit(team); ok {
			admitted = append(admitted, time.Now())
		}
	}
	return admitted
}

// most returns the highest number of times in a window.
func most(times []time.Time, window time.Duration) int {
	highest, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// Guards against a team that sends more than its quota through several nodes, also after the
// node that aggregates its requests is gone.
func TestQuotaOverNodes(t *testing.T) {
	const rate, burst, window = 60, 30, 3 * time.Second
	f, team := newFakeFleet(t, 5, rate, burst)
	admitted := f.send(team, 300, 2*time.Second)
	if f.limited.Load() == 0 {
		t.Error("no event tells that the team is limited")
	}
	for _, id := range f.members {
		m := f.manager(string(id))
		m.mu.Lock()
		aggregates := len(m.aggregators) > 0
		m.mu.Unlock()
		if aggregates {
			f.kill(string(id))
		}
	}
	admitted = append(admitted, f.send(team, 300, 3*time.Second)...)
	const allowed = (rate*3+burst)*1.1 + 20
	if got := most(admitted, window); got > allowed {
		t.Errorf("%d requests admitted in %v, allowed %v", got, window, allowed)
	}
	if want := rate * 5 / 2; len(admitted) < want {
		t.Errorf("%d requests admitted in 5 s, want at least %d", len(admitted), want)
	}
}

// Guards against a node that has just started and acknowledges reports before it knows the
// quotas or the members: the other nodes would admit requests without a limit.
func TestUnpreparedNodeDoesNotAggregate(t *testing.T) {
	var teams *policy.Teams
	var members []registry.NodeID
	replies := 0
	m := New(Options{
		Self: "n0", Bound: quota.Bound{Window: 3 * time.Second, Overage: 0.1, Slack: 20},
		Teams:   func() *policy.Teams { return teams },
		Members: func() []registry.NodeID { return members },
		Address: func(id registry.NodeID) (string, bool) { return string(id), true },
		Send:    func(string, []byte) { replies++ },
		Events:  &fakeFleet{}, Logger: zap.NewNop(),
	})
	report := protocol.AppendReport(nil, quota.Report{
		Session: 1, Partition: 1, Seq: 1, Usages: []quota.Usage{{Team: quota.KeyOf("bakers"), Admitted: 1}},
	})
	receive := func() int {
		replies = 0
		m.tick()
		replies = 0
		m.Receive("n1", report)
		return replies
	}
	if receive() != 0 {
		t.Error("a report is acknowledged without quotas and members")
	}
	teams = teamsOf(t, 60, 30)
	if receive() != 0 {
		t.Error("a report is acknowledged without members")
	}
	teams, members = nil, []registry.NodeID{"n0", "n1"}
	if receive() != 0 {
		t.Error("a report is acknowledged without quotas")
	}
	teams = teamsOf(t, 60, 30)
	if receive() != 1 {
		t.Error("a report is not acknowledged with quotas and members")
	}
}

// Guards against traffic between the nodes of a fleet whose teams have no quotas.
func TestNoQuotasNoReports(t *testing.T) {
	f, _ := newFakeFleet(t, 3, 0, 0)
	time.Sleep(1500 * time.Millisecond)
	if n := f.sent.Load(); n != 0 {
		t.Errorf("%d datagrams sent", n)
	}
}
