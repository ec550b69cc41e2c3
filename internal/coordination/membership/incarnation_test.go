package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against a restarted node that takes the incarnations of the process before for its
// own, because the clock was ahead when that process started. It would then say of attempts
// that the other process has sent that they have not run. The earlier process may have raised
// its incarnation above the one that others know, before it ended or by refuting suspicions.
func TestIncarnationsOfEarlierProcessAreNotOwn(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	self := record(1)
	self.Incarnation = 900
	const known = 1000
	earlier := self
	earlier.Incarnation = known
	for name, hear := range map[string]func(*membership.Message){
		"record":  func(m *membership.Message) { m.Records = []registry.Node{earlier} },
		"version": func(m *membership.Message) { m.Versions = []membership.Version{{ID: self.ID, Incarnation: known}} },
	} {
		for seed := range uint64(20) {
			core := membership.New(now, membership.Options{Self: self, Seeds: []string{"10.0.0.9:1"}, Rand: rand.New(rand.NewPCG(seed, 2))})
			if !core.OwnsIncarnation(900) || core.OwnsIncarnation(901) || core.Incarnation() != 900 {
				t.Fatalf("%s: incarnation %d at the start", name, core.Incarnation())
			}
			m := &membership.Message{From: "n2"}
			hear(m)
			core.Receive(now.Add(time.Second), "10.0.0.9:1", m)
			raised := core.Incarnation()
			if raised <= known || raised != core.Self().Incarnation || !core.OwnsIncarnation(raised) || core.OwnsIncarnation(900) {
				t.Errorf("%s, seed %d: incarnation %d, want one above %d", name, seed, raised, known)
			}
			suspected := &membership.Message{From: "n2", Versions: []membership.Version{{ID: self.ID, Incarnation: raised, Status: registry.Suspect}}}
			core.Receive(now.Add(2*time.Second), "10.0.0.9:1", suspected)
			if refuted := core.Incarnation(); refuted <= raised || !core.OwnsIncarnation(refuted) || !core.OwnsIncarnation(raised) {
				t.Errorf("%s, seed %d: incarnation %d after a suspicion at %d", name, seed, refuted, raised)
			}
			for _, other := range []uint64{known, known + 1, known + 2, (raised + core.Incarnation()) / 2} {
				if core.OwnsIncarnation(other) {
					t.Errorf("%s, seed %d: incarnation %d counts as own, current %d", name, seed, other, core.Incarnation())
				}
			}
		}
	}
}

// Guards against two processes that have the same identity because they start at the same time
// of day, and against one that starts later and has a lower incarnation.
func TestIncarnationsDoNotRestOnTimeAlone(t *testing.T) {
	now := time.UnixMilli(1_796_547_600_000)
	rng := rand.New(rand.NewPCG(1, 1))
	seen := map[uint64]bool{}
	for range 100 {
		seen[membership.NewIncarnation(now, rng.Uint64())] = true
	}
	if len(seen) < 100 {
		t.Errorf("%d incarnations of 100 processes that start at the same time", len(seen))
	}
	if a, b := membership.NewIncarnation(now, ^uint64(0)), membership.NewIncarnation(now.Add(time.Millisecond), 0); a >= b {
		t.Errorf("incarnation %d, a millisecond later %d", a, b)
	}
	if end := time.Date(2109, 1, 1, 0, 0, 0, 0, time.UTC); membership.NewIncarnation(end, 0) <= membership.NewIncarnation(now, 0) {
		t.Error("incarnations overflow before 2109")
	}
}
