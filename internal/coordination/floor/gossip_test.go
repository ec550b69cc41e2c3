package floor

import (
	"wigeonspring.example/wigeonspring/internal/coordination/ejection"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// view builds the view of a node from the records that it has received.
func (sim *simulation) view(o *owner) View {
	v := View{Floor: sim.floor, Ejected: map[registry.BackendID]bool{}, OwnBackends: map[registry.BackendID]bool{},
		Nodes: map[registry.NodeID]NodeView{}}
	for _, p := range sim.owners {
		r, ok := o.records[p.id]
		if p == o {
			r, ok = sim.record(o), true
		}
		alive := ok && sim.now.Sub(r.receivedAt) < deathTimeout
		v.Nodes[p.id] = NodeView{FailureDomain: p.domain, Incarnation: r.incarnation, Alive: alive, DeadSince: o.deadSince[p.id]}
		if !alive {
			continue
		}
		v.Owners = append(v.Owners, p.id)
		for b, ejected := range r.servers {
			if ejected {
				v.Ejected[b] = true
			} else {
				v.Serving++
			}
		}
	}
	for _, s := range sim.servers {
		v.OwnBackends[s.id] = s.owner == o
	}
	return v
}

func (sim *simulation) record(o *owner) nodeRecord {
	r := nodeRecord{incarnation: o.incarnation, receivedAt: sim.now, servers: map[registry.BackendID]bool{}}
	for _, s := range sim.servers {
		if s.owner == o && !s.unavailable {
			r.servers[s.id] = o.core.State(s.id) == ejection.Ejected
		}
	}
	return r
}

// gossip distributes the node records in two rounds over the directed paths that
// are not blocked, and updates which nodes are considered dead.
func (sim *simulation) gossip() {
	fresh := map[registry.NodeID]nodeRecord{}
	for _, o := range sim.owners {
		if !o.paused {
			fresh[o.id] = sim.record(o)
		}
	}
	for range 2 {
		for _, from := range sim.owners {
			for _, to := range sim.owners {
				if from == to || from.paused || to.paused || sim.blocked[[2]registry.NodeID{from.id, to.id}] {
					continue
				}
				to.records[from.id] = fresh[from.id]
				for id, r := range from.records {
					if id != to.id && r.receivedAt.After(to.records[id].receivedAt) {
						to.records[id] = r
					}
				}
			}
		}
	}
	for _, o := range sim.owners {
		for _, p := range sim.owners {
			if p == o || sim.now.Sub(o.records[p.id].receivedAt) < deathTimeout {
				delete(o.deadSince, p.id)
			} else if o.deadSince[p.id].IsZero() && !o.paused {
				o.deadSince[p.id] = sim.now
			}
			if since := o.deadSince[p.id]; !since.IsZero() && sim.now.Sub(since) >= ReclaimAfterDead && !p.paused {
				p.consideredDead = true
			}
		}
	}
}
