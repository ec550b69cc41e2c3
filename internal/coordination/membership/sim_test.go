package membership_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/coordination/membership/simnet"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const domains = 3

// record returns the initial record of node i, with two backend servers.
func record(i int) registry.Node {
	n := registry.Node{
		ID: registry.NodeID(fmt.Sprintf("node-%03d", i)), PeerAddr: fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250),
		FailureDomain: fmt.Sprintf("domain-%d", i%domains), Region: "west",
	}
	for b := range 2 {
		n.Backends = append(n.Backends, registry.Backend{
			ID: registry.BackendID(fmt.Sprintf("backend-%03d-%d", i, b)), Service: "tracking", Slots: 5, Weight: 1,
			Labels: map[string]string{"zone": "a"},
		})
	}
	return n
}

// fleet starts n nodes and runs the network until they know each other.
func fleet(net *simnet.Network, n int, change func(*membership.Options)) {
	for i := range n {
		opts := membership.Options{Self: record(i), Seeds: []string{record(0).PeerAddr, record(1).PeerAddr}}
		if change != nil {
			change(&opts)
		}
		net.Add(opts)
		net.Run(50 * time.Millisecond)
	}
	net.Run(20 * time.Second)
}

// wrongViews describes each pair of nodes of which the first is up and has a wrong
// record of the second.
func wrongViews(net *simnet.Network) (wrong []string) {
	for _, a := range net.Nodes {
		if a.Down {
			continue
		}
		for _, b := range net.Nodes {
			got, ok := a.Core.Lookup(b.ID)
			want := b.Core.Self()
			switch {
			case b.Down:
				if ok && got.Status != registry.Dead {
					wrong = append(wrong, fmt.Sprintf("%s holds %s, which is down, with status %d", a.ID, b.ID, got.Status))
				}
			case !ok || got.Status != want.Status || got.Incarnation != want.Incarnation || got.Sequence != want.Sequence:
				wrong = append(wrong, fmt.Sprintf("%s holds %s as %+v instead of %+v", a.ID, b.ID, got, want))
			}
		}
	}
	return wrong
}

func requireConverged(t *testing.T, net *simnet.Network) {
	t.Helper()
	if wrong := wrongViews(net); len(wrong) > 0 {
		t.Fatalf("%d wrong views, the first: %s", len(wrong), wrong[0])
	}
}

// Guards against joins, changes, deaths and planned stops that do not reach
// every member.
func TestChangesReachEveryMember(t *testing.T) {
	net := simnet.New(simnet.Options{Seed: 1, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond})
	fleet(net, 40, nil)
	requireConverged(t, net)

	n := net.Nodes[7]
	changed := record(7)
	changed.Backends[0].State = registry.Draining
	net.Do(n, func(c *membership.Core) { c.UpdateSelf(net.Now(), changed) })
	net.Run(3 * time.Second)
	requireConverged(t, net)

	// A record of about 6 KB is sent in parts.
	large := record(7)
	for b := range 100 {
		large.Backends = append(large.Backends, registry.Backend{
			ID: registry.BackendID(fmt.Sprintf("backend-of-another-node-%03d", b)), Service: "booking", Weight: 1,
		})
	}
	net.Do(n, func(c *membership.Core) { c.UpdateSelf(net.Now(), large) })
	net.Run(10 * time.Second)
	requireConverged(t, net)
	for _, other := range net.Nodes {
		if got, _ := other.Core.Lookup(n.ID); len(got.Backends) != 102 {
			t.Fatalf("%s holds %d backend servers, want 102", other.ID, len(got.Backends))
		}
	}

	net.Kill(net.Nodes[3])
	net.Run(12 * time.Second)
	requireConverged(t, net)

	net.Do(net.Nodes[4], func(c *membership.Core) { c.Leave(net.Now()) })
	net.Run(3 * time.Second)
	requireConverged(t, net)
}
