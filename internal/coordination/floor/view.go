package floor

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// NodeView is the local node's view of a node.
type NodeView struct {
	FailureDomain string
	Incarnation   uint64
	Alive         bool
	// DeadSince is the time at which the node was declared dead in this view.
	DeadSince time.Time
}

// View is the local view of one service.
type View struct {
	Floor int
	// Serving is the number of backend servers that are alive and neither
	// draining nor ejected.
	Serving int
	// Ejected holds the backend servers that are alive and ejected.
	Ejected map[registry.BackendID]bool
	// Owners lists the alive nodes that own a backend server of the service.
	Owners []registry.NodeID
	// OwnBackends holds the backend servers of the service that the local node owns.
	OwnBackends map[registry.BackendID]bool
	// Nodes holds the nodes that own a backend server or are named in the ledger.
	Nodes map[registry.NodeID]NodeView
}

// Allowance returns the number of backend servers that may be ejected at once.
func (v View) Allowance() int { return max(0, v.Serving+len(v.Ejected)-v.Floor) }

// Quota returns how many permits each node should hold in reserve: half of the
// allowance, spread over the failure domains by rendezvous hashing, with one
// owner node per domain.
func (v View) Quota(service registry.ServiceID) map[registry.NodeID]int {
	type candidate struct {
		node registry.NodeID
		rank uint64
	}
	rank := func(name string) uint64 { return xxhash.Sum64String(string(service) + "\x00" + name) }
	best := make(map[string]candidate)
	for _, id := range v.Owners {
		c := candidate{id, rank(string(id))}
		domain := v.Nodes[id].FailureDomain
		if b, ok := best[domain]; !ok || c.rank > b.rank {
			best[domain] = c
		}
	}
	domains := make([]string, 0, len(best))
	for d := range best {
		domains = append(domains, d)
	}
	slices.SortFunc(domains, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank("domain\x00"+b), rank("domain\x00"+a)), cmp.Compare(a, b))
	})
	quota := make(map[registry.NodeID]int)
	if len(domains) == 0 {
		return quota
	}
	for i := range v.Allowance() / 2 {
		quota[best[domains[i%len(domains)]].node]++
	}
	return quota
}
