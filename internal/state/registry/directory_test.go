package registry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"github.com/leanovate/gopter/gen"

	"wigeonspring.example/wigeonspring/internal/proptest"
)

// describe returns the content of a snapshot as a comparable text.
func describe(s *Snapshot, services []ServiceID) string {
	text := ""
	for _, n := range s.Nodes() {
		text += fmt.Sprintf("node %s %d/%d %d; ", n.ID, n.Incarnation, n.Sequence, n.Status)
	}
	for _, id := range services {
		text += fmt.Sprintf("service %s serving %d:", id, s.Serving(id))
		for _, m := range s.Service(id) {
			text += fmt.Sprintf(" %s@%s/%d", m.Backend.ID, m.Owner.ID, m.Owner.Sequence)
		}
		text += "; "
	}
	return text
}

// model returns the text of describe, computed from all records without an index.
func model(nodes map[NodeID]Node, services []ServiceID) string {
	text, owners := "", map[BackendID]Member{}
	for _, id := range slices.Sorted(maps.Keys(nodes)) {
		n := nodes[id]
		text += fmt.Sprintf("node %s %d/%d %d; ", n.ID, n.Incarnation, n.Sequence, n.Status)
		if n.Status > Suspect {
			continue
		}
		for i, b := range n.Backends {
			o, ok := owners[b.ID]
			if !ok || b.LeaseStartMillis > o.Backend.LeaseStartMillis || b.LeaseStartMillis == o.Backend.LeaseStartMillis && n.Incarnation > o.Owner.Incarnation {
				owners[b.ID] = Member{&n.Backends[i], &n}
			}
		}
	}
	for _, service := range services {
		serving, list := 0, ""
		for i := range 8 {
			m, ok := owners[BackendID(fmt.Sprint("b", i))]
			if !ok || m.Backend.Service != service {
				continue
			}
			list += fmt.Sprintf(" %s@%s/%d", m.Backend.ID, m.Owner.ID, m.Owner.Sequence)
			if m.Backend.Serving() {
				serving++
			}
		}
		text += fmt.Sprintf("service %s serving %d:%s; ", service, serving, list)
	}
	return text
}

// runDirectory compares a directory with the model after each random change and
// checks that snapshots taken earlier do not change.
func runDirectory(script []uint64) error {
	services := []ServiceID{"s0", "s1", "s2"}
	d, nodes := NewDirectory(), map[NodeID]Node{}
	var taken []*Snapshot
	var texts []string
	for step, op := range script {
		arg := func(n uint64) uint64 { v := op % n; op /= n; return v }
		id := NodeID(fmt.Sprint("n", arg(5)))
		old, known := nodes[id]
		var changed, want bool
		switch arg(8) {
		case 0:
			d.Remove(id)
			delete(nodes, id)
			changed, want = known, known
		case 1, 2:
			incarnation, status := arg(4), MemberStatus(arg(4))
			changed = d.SetStatus(id, incarnation, status)
			if want = known && incarnation == old.Incarnation && status > old.Status; want {
				old.Status = status
				nodes[id] = old
			}
		default:
			n := Node{ID: id, Incarnation: arg(4), Sequence: arg(4), Status: MemberStatus(arg(4))}
			for range arg(4) {
				n.Backends = append(n.Backends, Backend{ID: BackendID(fmt.Sprint("b", arg(8))), Service: services[arg(3)],
					State: BackendState(arg(4)), LeaseStartMillis: arg(3)})
			}
			slices.SortStableFunc(n.Backends, func(a, b Backend) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) })
			n.Backends = slices.CompactFunc(n.Backends, func(a, b Backend) bool { return a.ID == b.ID })
			changed = d.Apply(n)
			if want = !known || n.Newer(&old); want {
				nodes[id] = n
			}
		}
		s := d.Snapshot()
		got := describe(s, services)
		if expect := model(nodes, services); got != expect || changed != want {
			return fmt.Errorf("step %d: changed %t, want %t\n got %s\nwant %s", step, changed, want, got, expect)
		}
		for _, id := range services {
			if p := taken[max(step-1, 0):]; len(p) > 0 && p[0].ServiceVersion(id) == s.ServiceVersion(id) && !slices.Equal(p[0].Service(id), s.Service(id)) {
				return fmt.Errorf("step %d: members of %s changed, its version did not", step, id)
			}
		}
		taken, texts = append(taken, s), append(texts, got)
	}
	for i, s := range taken {
		s.sorted.Store(nil)
		if describe(s, services) != texts[i] {
			return fmt.Errorf("the snapshot of step %d changed later", i)
		}
	}
	return nil
}

// Guards against an index that differs from the records, and against changes of a
// snapshot after it was returned.
func TestDirectoryMatchesRecords(t *testing.T) {
	proptest.Check(t, 300, "index equals records", func(script []uint64) string {
		return proptest.Result(runDirectory(script))
	}, gen.SliceOfN(60, gen.UInt64()))
}

// Guards against the wrong owner of a backend server that two nodes list.
func TestOwnerOfBackendListedTwice(t *testing.T) {
	record := func(id NodeID, incarnation, leaseStart uint64, status MemberStatus) Node {
		return Node{ID: id, Incarnation: incarnation, Status: status, Backends: []Backend{{ID: "b", Service: "s", LeaseStartMillis: leaseStart}}}
	}
	cases := []struct {
		name string
		a, b Node
		want NodeID
	}{
		{"later start of the lease", record("a", 9, 100, Alive), record("b", 1, 200, Alive), "b"},
		{"owner that accepts work", record("a", 1, 100, Suspect), record("b", 9, 200, Dead), "a"},
		{"higher incarnation", record("a", 2, 100, Alive), record("b", 3, 100, Alive), "b"},
		{"lower id", record("a", 2, 100, Alive), record("b", 2, 100, Alive), "a"},
		{"only owners that accept no work", record("a", 2, 100, Dead), record("b", 2, 200, Leaving), "b"},
	}
	for _, c := range cases {
		for _, order := range [][]Node{{c.a, c.b}, {c.b, c.a}} {
			d := NewDirectory()
			d.Apply(order[0])
			d.Apply(order[1])
			if m, ok := d.Snapshot().Backend("b"); !ok || m.Owner.ID != c.want {
				t.Errorf("%s, first %s: owner %v, want %s", c.name, order[0].ID, m.Owner, c.want)
			}
		}
	}
}

// Shows that the invariant detects a directory that stores outdated records.
func TestInvariantDetectsMissingPrecedence(t *testing.T) {
	proptest.ExpectViolation(t, "registry_incarnation", func() {
		d := NewDirectory()
		d.ignorePrecedence = true
		d.Apply(Node{ID: "a", Incarnation: 2})
		d.Apply(Node{ID: "a", Incarnation: 1})
	})
}

// Guards against a data race between writers and readers.
func TestConcurrentUse(t *testing.T) {
	d, rng := fleet(360, 9), proptest.Rand(t)
	var wg sync.WaitGroup
	for range 4 {
		rng := rand.New(rand.NewPCG(rng.Uint64(), 0))
		wg.Go(func() {
			for range 300 {
				n := *d.Snapshot().Nodes()[rng.IntN(30)]
				n.Sequence++
				n.Status = MemberStatus(rng.IntN(3))
				d.Apply(n)
			}
		})
		wg.Go(func() {
			for range 300 {
				_ = describe(d.Snapshot(), []ServiceID{"s1"})
			}
		})
	}
	wg.Wait()
}

// fleet returns a directory of nodes with 12 backend servers each.
func fleet(backends, services int) *Directory {
	d := NewDirectory()
	for first := 0; first < backends; first += 12 {
		node := Node{ID: NodeID(fmt.Sprint("n", first/12)), Incarnation: 1, Sequence: 1}
		for k := first; k < min(first+12, backends); k++ {
			node.Backends = append(node.Backends, Backend{ID: BackendID(fmt.Sprint("b", k)), Service: ServiceID(fmt.Sprint("s", k%services)), Slots: 5, Weight: 1})
		}
		d.Apply(node)
	}
	return d
}

// BenchmarkApply measures the change of one node record with 12 backend servers.
func BenchmarkApply(b *testing.B) {
	for _, size := range []struct{ backends, services int }{{36, 3}, {2500, 65}, {25000, 650}} {
		b.Run(fmt.Sprintf("backends=%d", size.backends), func(b *testing.B) {
			d := fleet(size.backends, size.services)
			nodes := d.Snapshot().Nodes()
			rng := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for i := uint64(2); b.Loop(); i++ {
				n := *nodes[rng.IntN(len(nodes))]
				n.Sequence = i
				d.Apply(n)
			}
		})
	}
}
