package seeding

import (
	"fmt"
	"slices"
	"testing"

	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against a list that names only nodes that are gone after all VMs were replaced, and against
// calls that grow with the number of nodes.
func TestListNamesLiveNodesWhileVMsAreReplaced(t *testing.T) {
	o := Options{Want: 4, Limit: 8}
	rng := proptest.Rand(t)
	for _, nodes := range []int{1, 3, 6, 175} {
		members := map[registry.NodeID]bool{}
		next := 0
		add := func() { members[registry.NodeID(fmt.Sprint("n", next))] = true; next++ }
		for range nodes {
			add()
		}
		status := func(id registry.NodeID) Status {
			if members[id] {
				return Live
			}
			return Status(len(id) % 2) // Gone or unknown.
		}
		var list []Entry
		seen := map[registry.NodeID][]Entry{} // the list when each node last read it
		calls, replaced := 0, 10*min(nodes, 20)
		for range replaced {
			ids := make([]registry.NodeID, 0, len(members))
			for id := range members {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			for _, id := range ids {
				self := Entry{id, "a-" + string(id)}
				if !Needs(o, seen[id], self, status) || !Candidate(o, id, ids) {
					continue
				}
				calls++
				if Needs(o, list, self, status) {
					list = Add(o, list, self, status)
				}
				seen[id] = list
			}
			live := 0
			for _, e := range list {
				if status(e.Node) == Live {
					live++
				}
			}
			if live < min(o.Want, nodes) || len(list) > o.Limit {
				t.Fatalf("%d nodes: %d live seeds of %v", nodes, live, list)
			}
			delete(members, ids[rng.IntN(len(ids))])
			add()
		}
		t.Logf("%d nodes: %d calls for %d replaced VMs", nodes, calls, replaced)
		if calls > o.Want*(replaced+1) {
			t.Errorf("%d nodes: %d calls for %d replaced VMs", nodes, calls, replaced)
		}
	}
}

// Guards against an entry that is lost though its node may be alive in another part of the fleet,
// while one of a node that is gone stays.
func TestUnknownSeedsOutliveThoseThatAreGone(t *testing.T) {
	status := map[registry.NodeID]Status{"gone": Gone, "unknown": Unknown, "live": Live}
	list := []Entry{{"gone", "1"}, {"live", "2"}, {"unknown", "3"}, {"self", "old address"}}
	got := Add(Options{Want: 2, Limit: 3}, list, Entry{"self", "4"}, func(id registry.NodeID) Status { return status[id] })
	if want := []Entry{{"live", "2"}, {"self", "4"}, {"unknown", "3"}}; !slices.Equal(got, want) {
		t.Errorf("list %v, want %v", got, want)
	}
}
