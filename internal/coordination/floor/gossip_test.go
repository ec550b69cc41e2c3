package floor

import (
	"wigeonspring.example/wigeonspring/internal/coordination/ejection"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// view builds the view of a node from the records that it has heard.
func (w *world) view(o *owner) View {
	v := View{Floor: w.floor, Ejected: map[registry.BackendID]bool{}, OwnBackends: map[registry.BackendID]bool{},
		Nodes: map[registry.NodeID]NodeView{}}
	for _, p := range w.owners {
		r, ok := o.views[p.id]
		if p == o {
			r, ok = w.record(o), true
		}
		alive := ok && w.now.Sub(r.heard) < lapse
		v.Nodes[p.id] = NodeView{FailureDomain: p.domain, Incarnation: r.incarnation, Alive: alive, DeadSince: o.gone[p.id]}
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
	for _, s := range w.servers {
		v.OwnBackends[s.id] = s.owner == o
	}
	return v
}

func (w *world) record(o *owner) record {
	r := record{incarnation: o.incarnation, heard: w.now, servers: map[registry.BackendID]bool{}}
	for _, s := range w.servers {
		if s.owner == o && !s.out {
			r.servers[s.id] = o.core.State(s.id) == ejection.Ejected
		}
	}
	return r
}

// gossip spreads the records along directed paths that are not blocked.
func (w *world) gossip() {
	fresh := map[registry.NodeID]record{}
	for _, o := range w.owners {
		if !o.paused {
			fresh[o.id] = w.record(o)
		}
	}
	for range 2 {
		for _, from := range w.owners {
			for _, to := range w.owners {
				if from == to || from.paused || to.paused || w.blocked[[2]registry.NodeID{from.id, to.id}] {
					continue
				}
				to.views[from.id] = fresh[from.id]
				for id, r := range from.views {
					if id != to.id && r.heard.After(to.views[id].heard) {
						to.views[id] = r
					}
				}
			}
		}
	}
	for _, o := range w.owners {
		for _, p := range w.owners {
			if p == o || w.now.Sub(o.views[p.id].heard) < lapse {
				delete(o.gone, p.id)
			} else if o.gone[p.id].IsZero() && !o.paused {
				o.gone[p.id] = w.now
			}
			if since := o.gone[p.id]; !since.IsZero() && w.now.Sub(since) >= VanishedAfter && !p.paused {
				p.cutOff = true
			}
		}
	}
}
