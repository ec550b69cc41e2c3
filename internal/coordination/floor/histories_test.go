package floor

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"wigeonspring.example/wigeonspring/internal/coordination/ejection"
	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// injectFault injects or clears one random fault.
func (sim *simulation) injectFault() {
	o := sim.owners[sim.rng.Intn(len(sim.owners))]
	s := sim.servers[sim.rng.Intn(len(sim.servers))]
	p := sim.owners[sim.rng.Intn(len(sim.owners))]
	switch sim.rng.Intn(12) {
	case 0, 1, 2:
		s.failing = !s.failing
	case 3:
		// Several servers fail at once.
		for range 4 {
			sim.servers[sim.rng.Intn(len(sim.servers))].failing = true
		}
	case 4:
		sim.platformDown = !sim.platformDown
	case 5:
		sim.lossRate = []float64{0, 0.3, 1}[sim.rng.Intn(3)]
	case 6:
		sim.staleRate = []float64{0, 0.5, 1}[sim.rng.Intn(3)]
	case 7:
		if p != o {
			// The path is blocked in one direction only.
			sim.blocked[[2]registry.NodeID{o.id, p.id}] = true
		}
	case 8:
		clear(sim.blocked)
	case 9:
		if o.paused {
			sim.resume(o)
		} else {
			o.paused, o.pausedSince = true, sim.now
		}
	case 10:
		// Crash and restart of a node, or the end of a drain.
		if !o.paused {
			o.incarnation++
			sim.startProcess(o)
		}
	case 11:
		if s.unavailable = !s.unavailable; s.unavailable {
			s.unavailableSince = sim.now
			s.owner.core.Remove(s.id)
		}
	}
}

// resume ends the pause of a node. It processes the messages that arrived during
// the pause first, so the node may act on stale results before its next tick.
func (sim *simulation) resume(o *owner) {
	o.paused, o.consideredDead = false, false
	if sim.rng.Intn(2) == 0 {
		o.incarnation++
	}
	sim.gossip()
	inbox := o.inbox
	o.inbox = nil
	for _, f := range inbox {
		f()
	}
	sim.dispatch(o)
}

func (sim *simulation) clearFaults() {
	clear(sim.blocked)
	sim.platformDown, sim.lossRate, sim.staleRate = false, 0, 0
	for _, s := range sim.servers {
		s.failing, s.unavailable = false, false
	}
	for _, o := range sim.owners {
		if o.paused {
			sim.resume(o)
		}
	}
}

// reservationHolders returns the holder of each reservation in the ledger. A node
// with two reservations is listed twice.
func (sim *simulation) reservationHolders() []*owner {
	var out []*owner
	for _, o := range sim.owners {
		for _, e := range sim.ledger().Entries {
			if e.State == Reserved && e.Holder.Node == o.id {
				out = append(out, o)
			}
		}
	}
	return out
}

// crash makes n servers unavailable whose owner is not in keep.
func (sim *simulation) crash(n int, keep []*owner) {
	for _, s := range sim.servers {
		if n > 0 && !s.unavailable && !slices.Contains(keep, s.owner) {
			s.unavailable, s.unavailableSince = true, sim.now
			s.owner.core.Remove(s.id)
			n--
		}
	}
}

// failFirstServers makes the first server of each of the given nodes fail. A node
// that is listed twice gets two failing servers.
func (sim *simulation) failFirstServers(owners []*owner) {
	for _, s := range sim.servers {
		if i := slices.Index(owners, s.owner); i >= 0 {
			s.failing = true
			owners = slices.Delete(slices.Clone(owners), i, i+1)
		}
	}
}

// scenarios create the situation that each safety mechanism protects against.
var scenarios = map[Check]func(sim *simulation){
	// Two reservations are used at once after crashes reduced the allowance to one.
	CheckPosition: func(sim *simulation) {
		holders := sim.reservationHolders()
		allowance := 12 - sim.floor
		sim.crash(max(0, allowance-1), holders)
		sim.wait(viewSettleTime)
		sim.failFirstServers(holders)
	},
	// A holder is paused until others have reclaimed its reservation.
	CheckPause: func(sim *simulation) {
		for _, o := range sim.reservationHolders()[:1] {
			o.paused, o.pausedSince = true, sim.now
			sim.wait(ReclaimAfterDead + reclaimQuarantine + 10*time.Minute)
			sim.resume(o)
			sim.failFirstServers([]*owner{o})
		}
	},
	// Several nodes ask one holder for its permit during a platform outage.
	CheckSingleTransfer: func(sim *simulation) {
		sim.platformDown = true
		holders := sim.reservationHolders()
		sim.failFirstServers(slices.DeleteFunc(slices.Clone(sim.owners), func(o *owner) bool { return slices.Contains(holders, o) }))
	},
	// Responses to writes are lost.
	CheckReadBack: func(sim *simulation) {
		sim.lossRate = 0.7
		sim.failFirstServers(sim.owners[:2])
	},
	CheckAllowance: func(sim *simulation) { sim.failFirstServers(sim.owners) },
}

// simulate runs one random history with the given number of rounds and returns
// the simulation with its violations.
func simulate(seed int64, disabled Check, scenario func(*simulation), rounds int) *simulation {
	sim := newSimulation(seed, disabled)
	invariant.SetHandler(sim.recordViolation)
	defer invariant.SetHandler(func(name, detail string) { panic(name + ": " + detail) })
	sim.wait(90 * time.Second)
	if scenario != nil {
		scenario(sim)
	}
	for range 20 {
		sim.tick(shortTick)
	}
	for range rounds {
		for range 1 + sim.rng.Intn(3) {
			sim.injectFault()
		}
		for range 1 + sim.rng.Intn(20) {
			sim.tick(shortTick)
		}
		if sim.rng.Intn(10) == 0 {
			// Long enough to reclaim the permits of a dead holder and to end
			// their quarantine.
			sim.wait(ReclaimAfterDead + reclaimQuarantine + 4*time.Minute)
		}
	}
	sim.clearFaults()
	sim.wait(reclaimQuarantine + 10*time.Minute)
	for _, s := range sim.servers {
		if st := s.owner.core.State(s.id); st != ejection.Healthy {
			sim.recordViolation("recovery", fmt.Sprintf("%s is %s", s.id, st))
		}
	}
	if l := sim.leakedPermits(); len(l) > 0 {
		sim.recordViolation("leak", fmt.Sprint(l))
	}
	return sim
}

var histories = flag.Int("histories", 100, "number of random histories")

// scenarioFor returns a scenario for half of the seeds and nil for the others.
func scenarioFor(seed int64) func(*simulation) {
	return scenarios[Check(1)<<(uint64(seed)%10)]
}

// Guards against an ejection below the floor, more permits than the allowance,
// a permit used twice and permits that are never returned, under random faults
// of the platform, the network and the nodes.
func TestRandomHistories(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(proptest.Seed(t))
	cases := *histories
	parameters.MinSuccessfulTests = cases
	parameters.Workers = 1
	ejections := 0
	properties := gopter.NewProperties(parameters)
	properties.Property("invariants hold", prop.ForAll(func(seed int64) (bool, error) {
		sim := simulate(seed, 0, scenarioFor(seed), 20)
		ejections += sim.ejections
		if len(sim.violations) > 0 {
			return false, fmt.Errorf("seed %d: %v", seed, sim.violations)
		}
		return true, nil
	}, gen.Int64().WithShrinker(gopter.NoShrinker)))
	properties.TestingRun(t)
	t.Logf("%d ejections", ejections)
	if ejections < cases {
		t.Errorf("only %d ejections in %d cases", ejections, cases)
	}
}

// Guards against safety mechanisms without effect. With each one disabled, a
// history must show a violation that it does not show with the mechanism enabled.
func TestMechanismsAreNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		disabled Check
		want     string
	}{
		"allowance":       {CheckAllowance, "ledger_allowance"},
		"position":        {CheckPosition, "floor"},
		"pause":           {CheckPause, "permit_listed"},
		"read back":       {CheckReadBack, "leak"},
		"single transfer": {CheckSingleTransfer, "permit_once"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := int64(1); seed <= 50; seed++ {
				detail, ok := simulate(seed, c.disabled, scenarios[c.disabled], 0).violations[c.want]
				if !ok {
					continue
				}
				t.Logf("seed %d: %s %s", seed, c.want, detail)
				if v := simulate(seed, 0, scenarios[c.disabled], 0).violations; len(v) > 0 {
					t.Errorf("with the mechanism: %v", v)
				}
				return
			}
			t.Errorf("no violation of %s in 50 histories", c.want)
		})
	}
}
