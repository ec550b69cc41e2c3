package membership_test

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/coordination/membership/simnet"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// revivalsAfterLongPause pauses node 5 for 50 minutes, during which node 6 dies, and returns how
// often another member stored node 6 as alive again.
func revivalsAfterLongPause(retention time.Duration) int {
	revived, dead := 0, false
	net := simnet.New(simnet.Options{
		Seed: 3, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond,
		OnChange: func(n *simnet.Node, ch membership.Change) {
			if dead && n.Index != 5 && ch.Kind == membership.Stored && ch.Node.ID == "node-006" {
				revived++
			}
		},
	})
	fleet(net, 10, func(o *membership.Options) { o.DeadRetention = retention })
	net.Pause(net.Nodes[5], 50*time.Minute)
	net.Kill(net.Nodes[6])
	net.Run(30 * time.Second)
	dead = true
	net.Run(50 * time.Minute)
	return revived
}

// Guards against a dead member that becomes alive again because a node that was paused
// for almost an hour still has it as alive. A run with a short retention shows that
// the check can fail.
func TestDeadMemberStaysDead(t *testing.T) {
	if n := revivalsAfterLongPause(time.Minute); n == 0 {
		t.Error("dead member not revived with a retention of a minute, so the check proves nothing")
	}
	if n := revivalsAfterLongPause(0); n != 0 {
		t.Errorf("dead member revived %d times", n)
	}
}

// Guards against a restarted node whose clock is behind, so that its new record has a
// lower incarnation than the record of its previous process and is ignored.
func TestRestartWithClockBehind(t *testing.T) {
	net := simnet.New(simnet.Options{Seed: 4, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond})
	fleet(net, 10, nil)
	self := record(6)
	self.Incarnation = 1000
	self.Backends = nil
	net.Kill(net.Nodes[6])
	net.Run(2 * time.Second)
	net.Restart(net.Nodes[6], membership.Options{Self: self, Seeds: []string{record(0).PeerAddr}})
	net.Run(20 * time.Second)
	requireConverged(t, net)
	if got, _ := net.Nodes[1].Core.Lookup("node-006"); len(got.Backends) != 0 {
		t.Errorf("record of the previous process is still stored: %+v", got)
	}
}

// Guards against a replaced process that resumes after a pause and raises its
// incarnation above that of the process that has replaced it.
func TestReplacedProcessIsSuperseded(t *testing.T) {
	superseded := 0
	net := simnet.New(simnet.Options{
		Seed: 5, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond,
		OnEvent: func(n *simnet.Node, e membership.Event) {
			if e.Kind == membership.EventSuperseded && n.Index == 6 {
				superseded++
			}
		},
	})
	fleet(net, 10, nil)
	net.Pause(net.Nodes[6], 30*time.Second)
	net.Run(10 * time.Second)
	self := record(6)
	self.PeerAddr = "10.1.0.6:7946"
	replacement := net.Add(membership.Options{Self: self, Seeds: []string{record(0).PeerAddr}})
	net.Run(60 * time.Second)
	if superseded != 1 {
		t.Errorf("old process superseded %d times, want once", superseded)
	}
	for _, n := range net.Nodes {
		if n.Index == 6 {
			continue
		}
		got, _ := n.Core.Lookup("node-006")
		if got.PeerAddr != replacement.Addr || got.Status != registry.Alive {
			t.Errorf("%s still has the record of the old process: %+v", n.ID, got)
		}
	}
}

// Guards against seeds that become known after the start, from the platform, and are
// not used.
func TestSeedsAddedAfterStart(t *testing.T) {
	net := simnet.New(simnet.Options{Seed: 6, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond})
	fleet(net, 5, nil)
	late := net.Add(membership.Options{Self: record(5)})
	net.Run(5 * time.Second)
	net.Do(late, func(c *membership.Core) { c.AddSeeds(net.Now(), []string{record(2).PeerAddr}) })
	net.Run(5 * time.Second)
	requireConverged(t, net)
}
