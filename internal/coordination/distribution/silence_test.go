package distribution

import (
	"slices"
	"testing"
	"time"
)

const (
	// adapterBound is the users' bound for a configuration to be in force.
	adapterBound = 2 * time.Second
	// steadyAfter is the time after the end of a fault from which the bound holds.
	steadyAfter = 3 * time.Second
)

// silenceCase is a fault that begins at a time and ends after some time, and a policy
// that is written meanwhile or afterwards. Times count from the start of the fault.
type silenceCase struct {
	name               string
	fault              func(*sim)
	written, inForceBy time.Duration
}

// Guards against a policy that is confirmed and comes into force late because the
// watchers wait on connections, or for a platform, that will not answer.
func TestPolicyIsInForceDespiteSilence(t *testing.T) {
	const outage = 4500 * time.Millisecond
	cutWatchers := func(s *sim) {
		// The platform serves the nodes of one failure domain that do not watch.
		for _, n := range s.nodes {
			first := n.member.FailureDomain == "fd0"
			if !first || slices.Contains(Watchers(s.all, "fd0"), n.member.ID) {
				s.platformCut[n.index] = true
			}
		}
	}
	for _, c := range []silenceCase{
		{"connections fall silent", (*sim).silenceWatches, time.Second, steadyAfter},
		{"platform is silent", func(s *sim) {
			s.silenceWatches()
			s.platformSilent = true
			s.after(outage, func() { s.platformSilent = false })
		}, outage + 100*time.Millisecond, outage + steadyAfter},
		{"platform is silent to the watchers", cutWatchers, 700 * time.Millisecond, 700*time.Millisecond + adapterBound},
	} {
		t.Run(c.name, func(t *testing.T) {
			late := 0
			for seed := range int64(50) {
				s := newSim(seed, 6, 6, Disabled{})
				s.options = func(o *Options) { o.Linearizable, o.WatchWait, o.MaxBackoff = true, ShortWatchWait, ShortBackoff }
				s.write("booking")
				s.bootRunning()
				begin := 5*time.Second + time.Duration(seed)*37*time.Millisecond
				s.runUntil(begin)
				c.fault(s)
				s.runUntil(begin + c.written)
				s.write("booking")
				s.runUntil(begin + c.inForceBy)
				if nodes := s.behind("booking"); len(nodes) > 0 {
					late++
					t.Logf("seed %d: epoch %d is not in force on %d nodes", seed, s.epochs["booking"], len(nodes))
				}
			}
			if late > 0 {
				t.Errorf("late with %d of 50 seeds", late)
			}
		})
	}
}
