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

// fault changes one thing in the world at random.
func (w *world) fault() {
	o := w.owners[w.rng.Intn(len(w.owners))]
	s := w.servers[w.rng.Intn(len(w.servers))]
	p := w.owners[w.rng.Intn(len(w.owners))]
	switch w.rng.Intn(12) {
	case 0, 1, 2:
		s.sick = !s.sick
	case 3:
		// Several servers become sick at once.
		for range 4 {
			w.servers[w.rng.Intn(len(w.servers))].sick = true
		}
	case 4:
		w.down = !w.down
	case 5:
		w.lossRate = []float64{0, 0.3, 1}[w.rng.Intn(3)]
	case 6:
		w.stale = []float64{0, 0.5, 1}[w.rng.Intn(3)]
	case 7:
		if p != o {
			// One direction only.
			w.blocked[[2]registry.NodeID{o.id, p.id}] = true
		}
	case 8:
		clear(w.blocked)
	case 9:
		if o.paused {
			w.wake(o)
		} else {
			o.paused, o.since = true, w.now
		}
	case 10:
		// Crash and restart of a node, or the end of a drain.
		if !o.paused {
			o.incarnation++
			w.start(o)
		}
	case 11:
		if s.out = !s.out; s.out {
			s.since = w.now
			s.owner.core.Remove(s.id)
		}
	}
}

// wake resumes a node. What it knew before the pause may reach it, and be acted
// upon, before anything new.
func (w *world) wake(o *owner) {
	o.paused, o.cutOff = false, false
	if w.rng.Intn(2) == 0 {
		o.incarnation++
	}
	w.gossip()
	inbox := o.inbox
	o.inbox = nil
	for _, f := range inbox {
		f()
	}
	w.dispatch(o)
}

func (w *world) heal() {
	clear(w.blocked)
	w.down, w.lossRate, w.stale = false, 0, 0
	for _, s := range w.servers {
		s.sick, s.out = false, false
	}
	for _, o := range w.owners {
		if o.paused {
			w.wake(o)
		}
	}
}

// reservers returns the nodes that hold a reservation.
func (w *world) reservers() []*owner {
	var out []*owner
	for _, o := range w.owners {
		for _, e := range w.ledger().Entries {
			if e.State == Reserved && e.Holder.Node == o.id {
				out = append(out, o)
			}
		}
	}
	return out
}

// crash takes n servers out whose owner is not among the given ones.
func (w *world) crash(n int, keep []*owner) {
	for _, s := range w.servers {
		if n > 0 && !s.out && !slices.Contains(keep, s.owner) {
			s.out, s.since = true, w.now
			s.owner.core.Remove(s.id)
			n--
		}
	}
}

// sicken makes the first server of each node sick.
func (w *world) sicken(owners []*owner) {
	for _, s := range w.servers {
		if i := slices.Index(owners, s.owner); i >= 0 {
			s.sick = true
			owners = slices.Delete(slices.Clone(owners), i, i+1)
		}
	}
}

// preludes put the world into the situation that a mechanism exists for.
var preludes = map[Check]func(w *world){
	// Two reservations are used at once after crashes left room for one.
	CheckPosition: func(w *world) {
		holders := w.reservers()
		room := 12 - w.floor
		w.crash(max(0, room-1), holders)
		w.wait(grace)
		w.sicken(holders)
	},
	// A holder is paused until others have reclaimed its reservation.
	CheckPause: func(w *world) {
		for _, o := range w.reservers()[:1] {
			o.paused, o.since = true, w.now
			w.wait(VanishedAfter + quarantine + 10*time.Minute)
			w.wake(o)
			w.sicken([]*owner{o})
		}
	},
	// Two nodes ask one holder during a platform outage.
	CheckGiveOnce: func(w *world) {
		w.down = true
		holders := w.reservers()
		w.sicken(slices.DeleteFunc(slices.Clone(w.owners), func(o *owner) bool { return slices.Contains(holders, o) }))
	},
	// Answers to writes are lost.
	CheckReadBack: func(w *world) {
		w.lossRate = 0.7
		w.sicken(w.owners[:2])
	},
	CheckAllowance: func(w *world) { w.sicken(w.owners) },
}

// run plays one random history of the given number of rounds and returns the
// violated invariants.
func run(seed int64, disabled Check, prelude func(*world), rounds int) *world {
	w := newWorld(seed, disabled)
	invariant.SetHandler(w.violated)
	defer invariant.SetHandler(func(name, detail string) { panic(name + ": " + detail) })
	w.wait(90 * time.Second)
	if prelude != nil {
		prelude(w)
	}
	for range 20 {
		w.tick(step)
	}
	for range rounds {
		for range 1 + w.rng.Intn(3) {
			w.fault()
		}
		for range 1 + w.rng.Intn(20) {
			w.tick(step)
		}
		if w.rng.Intn(10) == 0 {
			// Long enough for a vanished holder and the quarantine to end.
			w.wait(VanishedAfter + quarantine + 4*time.Minute)
		}
	}
	w.heal()
	w.wait(quarantine + 10*time.Minute)
	for _, s := range w.servers {
		if st := s.owner.core.State(s.id); st != ejection.Healthy {
			w.violated("recovery", fmt.Sprintf("%s is %s", s.id, st))
		}
	}
	if l := w.leaked(); len(l) > 0 {
		w.violated("leak", fmt.Sprint(l))
	}
	return w
}

var histories = flag.Int("histories", 100, "number of random histories")

// pick gives half of the histories a prelude.
func pick(seed int64) func(*world) {
	return preludes[Check(1)<<(uint64(seed)%10)]
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
		w := run(seed, 0, pick(seed), 20)
		ejections += w.ejections
		if len(w.violations) > 0 {
			return false, fmt.Errorf("seed %d: %v", seed, w.violations)
		}
		return true, nil
	}, gen.Int64().WithShrinker(gopter.NoShrinker)))
	properties.TestingRun(t)
	t.Logf("%d ejections", ejections)
	if ejections < cases {
		t.Errorf("only %d ejections in %d cases", ejections, cases)
	}
}

// Guards against mechanisms without effect: with each one switched off, a
// history must show a violation that the same history does not show otherwise.
func TestMechanismsAreNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		disabled Check
		want     string
	}{
		"allowance": {CheckAllowance, "ledger_allowance"},
		"position":  {CheckPosition, "floor"},
		"pause":     {CheckPause, "permit_listed"},
		"read back": {CheckReadBack, "leak"},
		"give once": {CheckGiveOnce, "permit_once"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := int64(1); seed <= 50; seed++ {
				detail, ok := run(seed, c.disabled, preludes[c.disabled], 0).violations[c.want]
				if !ok {
					continue
				}
				t.Logf("seed %d: %s %s", seed, c.want, detail)
				if v := run(seed, 0, preludes[c.disabled], 0).violations; len(v) > 0 {
					t.Errorf("with the mechanism: %v", v)
				}
				return
			}
			t.Errorf("no violation of %s in 50 histories", c.want)
		})
	}
}
