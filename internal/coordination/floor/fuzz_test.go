package floor

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against a stored ledger that makes an owner panic, that changes when it is
// encoded again, or whose operations exceed the allowance.
func FuzzParse(f *testing.F) {
	at := time.Unix(1_700_000_000, 0)
	f.Add([]byte(nil))
	f.Add([]byte(`null`))
	f.Add([]byte(`{"entries":[{"permit":"p1","state":"reserved","holder":{"node":"n1","incarnation":1}}],"fences":{"n2":3}}`))
	f.Add([]byte(`{"entries":[{"permit":"p1","state":"used","holder":{"node":"n1","incarnation":1},"backend":"b1"},{"permit":"p1","state":"reclaimed","reclaimed_unix_millis":9223372036854775807}]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		l, err := Parse(in)
		if err != nil {
			return
		}
		again, err := Parse(l.Encode())
		if err != nil || !l.equal(again) {
			t.Fatalf("%+v became %+v: %v", l, again, err)
		}
		self := NodeIncarnation{Node: "n1", Incarnation: 2}
		view := View{Floor: 9, Serving: 11, Ejected: map[registry.BackendID]bool{"b1": true}, Nodes: map[registry.NodeID]NodeView{
			"n2": {DeadSince: at.Add(-ReclaimAfterDead)},
		}}
		l = l.removeExpired(at).ReclaimBackend(self, "b1").Release("p1")
		for _, node := range []registry.NodeID{"n1", "n2"} {
			if next, err := l.Reclaim(at, view, self, node); err == nil {
				l = next
			}
		}
		before := l.Outstanding(view)
		if next, err := l.Eject(view, self, "new", "b2"); err == nil && next.Outstanding(view) > max(before, view.Allowance()) {
			t.Fatalf("%d permits outstanding, allowance %d", next.Outstanding(view), view.Allowance())
		}
		for _, e := range l.Entries {
			_, _ = l.Transfer(self, e.Permit, "b2")
		}
	})
}
