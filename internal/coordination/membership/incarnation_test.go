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
// that the other process has sent that they have not run.
func TestIncarnationsOfEarlierProcessAreNotOwn(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	self := record(1)
	self.Incarnation = 900
	earlier := self
	earlier.Incarnation = 1000
	for name, hear := range map[string]func(*membership.Message){
		"record":  func(m *membership.Message) { m.Records = []registry.Node{earlier} },
		"version": func(m *membership.Message) { m.Versions = []membership.Version{{ID: self.ID, Incarnation: 1000}} },
	} {
		core := membership.New(now, membership.Options{Self: self, Seeds: []string{"10.0.0.9:1"}, Rand: rand.New(rand.NewPCG(1, 2))})
		if core.FirstIncarnation() != 900 {
			t.Fatalf("%s: first incarnation %d at the start", name, core.FirstIncarnation())
		}
		m := &membership.Message{From: "n2"}
		hear(m)
		core.Receive(now.Add(time.Second), "10.0.0.9:1", m)
		if first, current := core.FirstIncarnation(), core.Self().Incarnation; first != 1001 || current != 1001 {
			t.Errorf("%s: incarnations %d to %d, want only 1001", name, first, current)
		}
		suspected := &membership.Message{From: "n2", Versions: []membership.Version{{ID: self.ID, Incarnation: 1001, Status: registry.Suspect}}}
		core.Receive(now.Add(2*time.Second), "10.0.0.9:1", suspected)
		if first, current := core.FirstIncarnation(), core.Self().Incarnation; first != 1001 || current != 1002 {
			t.Errorf("%s: incarnations %d to %d after a suspicion, want 1001 to 1002", name, first, current)
		}
	}
}
