package distribution

import (
	"slices"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/policy"
)

const (
	// adapterInForceBound is the time within which an accepted policy must be in force on
	// a platform that is read through an adapter.
	adapterInForceBound = 2 * time.Second
	// recoveryTime is the time after a fault ends from which the bound holds again.
	recoveryTime = 3 * time.Second
)

// watchFaultCase is a fault of the watches and a policy that is written during or after it.
// Times count from the start of the fault.
type watchFaultCase struct {
	name               string
	fault              func(*sim)
	written, inForceBy time.Duration
	// takeOver is set if the bound is met only because members watch for others.
	takeOver bool
}

// Guards against an accepted policy that is in force late because the watchers wait on
// connections that deliver nothing, or for a platform that does not reply.
func TestPolicyIsInForceDespiteUnresponsivePlatform(t *testing.T) {
	const (
		outage = 4500 * time.Millisecond
		// maxListingDelay is above the time after which all watchers list again.
		maxListingDelay = minBackoff + 50*time.Millisecond
	)
	cutWatchers := func(s *sim) {
		// The platform replies only to the nodes of one failure domain that are not watchers.
		for _, n := range s.nodes {
			first := n.member.FailureDomain == "fd0"
			if !first || slices.Contains(Watchers(s.all, "fd0"), n.member.ID) {
				s.platformCut[n.index] = true
			}
		}
	}
	killWatchers := func(s *sim) {
		// One node of each failure domain survives, and it is not a watcher.
		for d := range 6 {
			watchers := Watchers(s.all, s.nodes[6*d].member.FailureDomain)
			survivor := slices.IndexFunc(s.nodes[6*d:6*d+6], func(n *simNode) bool { return !slices.Contains(watchers, n.member.ID) })
			for i, n := range s.nodes[6*d : 6*d+6] {
				n.up = i == survivor
			}
		}
	}
	cases := []watchFaultCase{
		{"connections deliver nothing", (*sim).dropWaitingRequests, time.Second, recoveryTime, false},
		{"connections deliver nothing, twice", func(s *sim) {
			s.dropWaitingRequests()
			s.after(time.Second, s.dropWaitingRequests)
		}, 2 * time.Second, time.Second + recoveryTime, false},
		{"connections of listings deliver nothing", func(s *sim) {
			s.dropHistory()
			s.platformUnresponsive = true
			s.after(maxListingDelay, func() { s.platformUnresponsive = false })
		}, time.Second, maxListingDelay + recoveryTime, false},
		{"platform does not reply", func(s *sim) {
			s.dropWaitingRequests()
			s.platformUnresponsive = true
			s.after(outage, func() { s.platformUnresponsive = false })
		}, outage + 100*time.Millisecond, outage + recoveryTime, false},
		{"platform does not reply to the watchers", cutWatchers, 700 * time.Millisecond, 700*time.Millisecond + adapterInForceBound, true},
		{"watchers are lost with most nodes", killWatchers, 700 * time.Millisecond, 700*time.Millisecond + adapterInForceBound, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if late := c.late(t, DisabledMechanisms{}); late > 0 {
				t.Errorf("late with %d of %d seeds", late, watchFaultSeeds)
			}
			if c.takeOver && c.late(t, DisabledMechanisms{TakeOver: true}) == 0 {
				t.Error("not late with any seed with the mechanism switched off")
			}
		})
	}
}

const watchFaultSeeds = 50

// late returns the number of seeds with which the policy does not come into force in time.
func (c *watchFaultCase) late(t *testing.T, disabled DisabledMechanisms) (late int) {
	for seed := range int64(watchFaultSeeds) {
		s := newSim(seed, 6, 6, disabled)
		s.options = func(o *Options) { o.Linearizable, o.WatchWait, o.MaxBackoff = true, ShortWatchWait, ShortMaxBackoff }
		s.write("booking")
		s.bootConfirmed()
		begin := 5*time.Second + time.Duration(seed)*37*time.Millisecond
		s.runUntil(begin)
		c.fault(s)
		s.runUntil(begin + c.written)
		s.write("booking")
		s.runUntil(begin + c.inForceBy)
		if nodes := s.behind("booking"); len(nodes) > 0 {
			late++
			if disabled == (DisabledMechanisms{}) {
				t.Logf("seed %d: epoch %d is not in force on %d nodes", seed, s.epochs["booking"], len(nodes))
			}
		}
	}
	return late
}

// Guards against a policy that stays within the failure domain that received it while the
// platform replies to no node.
func TestDigestsSpreadPolicyDuringPlatformOutage(t *testing.T) {
	lacking := func(disabled DisabledMechanisms) (nodes int) {
		for seed := range int64(20) {
			s := newSim(seed, 3, 5, disabled)
			s.bootConfirmed()
			s.runUntil(3 * time.Second)
			s.dropWaitingRequests()
			s.platformUnresponsive = true
			s.epochs["booking"] = 1
			have := Version{Service: "booking", Epoch: 1, Hash: policy.Hash(document("booking", 1))}
			s.step(s.nodes[0], Input{Notifications: []ReceivedNotification{{From: s.nodes[1].member.ID, Version: have, Text: document("booking", 1)}}})
			s.runUntil(3*time.Second + inForceBound)
			nodes += len(s.behind("booking"))
		}
		return nodes
	}
	if n := lacking(DisabledMechanisms{}); n > 0 {
		t.Errorf("%d nodes lack the policy after %s", n, inForceBound)
	}
	if lacking(DisabledMechanisms{AntiEntropy: true}) == 0 {
		t.Error("no node lacks the policy with the mechanism switched off")
	}
}

// Guards against watchers that request a large policy again and again while it arrives over a
// slow link.
func TestLargePolicyIsNotRequestedWhileItArrives(t *testing.T) {
	const domains, seconds, writes = 6, 12, 4
	s := newSim(1, domains, 6, DisabledMechanisms{})
	s.options = func(o *Options) { o.Linearizable, o.WatchWait, o.MaxBackoff = true, ShortWatchWait, ShortMaxBackoff }
	s.write("booking")
	s.bootConfirmed()
	s.runUntil(5 * time.Second)
	s.transferTime = 900 * time.Millisecond
	requests := s.platformRequests
	for i := range writes {
		// At different moments of the watches.
		s.runUntil(5*time.Second + time.Duration(i)*3200*time.Millisecond)
		s.write("booking")
	}
	s.runUntil((5 + seconds) * time.Second)
	if nodes := s.behind("booking"); len(nodes) > 0 {
		t.Errorf("the policy is not in force on %d nodes", len(nodes))
	}
	// Each of the two watchers of a failure domain makes one request per second or change.
	if n, limit := s.platformRequests-requests, 2*domains*(seconds+writes); n > limit {
		t.Errorf("%d requests to the platform, at most %d are expected", n, limit)
	}
}
