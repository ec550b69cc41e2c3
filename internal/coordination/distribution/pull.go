package distribution

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// want is an epoch that a peer is known to have.
type want struct {
	Version
	sources []source
	// call is the newest pull for the epoch, 0 if none is waiting.
	call  uint64
	asked time.Time
	// retries is the number of syncs with other peers that may look for a source.
	retries int
}

// want notes that a peer has an epoch that this node lacks.
func (c *Core) want(h Version, from registry.NodeID, retries int) {
	if !c.missing(h) {
		return
	}
	w := c.wants[h.Service]
	if w == nil || h.Epoch > w.Epoch {
		c.wants[h.Service] = &want{Version: h, sources: []source{{id: from}}, retries: retries}
		return
	}
	if h.Epoch < w.Epoch || slices.ContainsFunc(w.sources, func(s source) bool { return s.id == from }) {
		return
	}
	if len(w.sources) >= maxSources {
		// The source that was asked most often makes room.
		worst := slices.MaxFunc(w.sources, func(a, b source) int { return cmp.Compare(a.tries, b.tries) })
		if worst.tries == 0 {
			return
		}
		w.sources = slices.DeleteFunc(w.sources, func(s source) bool { return s.id == worst.id })
	}
	w.sources = append(w.sources, source{id: from})
}

// source is a peer that reported a wanted epoch.
type source struct {
	id    registry.NodeID
	tries int
}

// next returns the source with the fewest tries, or nil if none is left. A peer
// that did not answer lately comes last.
func (c *Core) next(w *want) *source {
	var best *source
	rank := func(s *source) int {
		if c.failedLately(s.id) {
			return s.tries + maxTries
		}
		return s.tries
	}
	for i := range w.sources {
		if s := &w.sources[i]; s.tries < maxTries && (best == nil || rank(s) < rank(best)) {
			best = s
		}
	}
	return best
}

// missing reports whether the node lacks an epoch and would take it.
func (c *Core) missing(h Version) bool {
	return h.Epoch > c.table.KnownEpoch(h.Service) && c.refused[h.Service] != h
}

type call struct {
	Call
	deadline time.Time
	// starting marks a sync for the readiness of this node.
	starting bool
	// theirs and mine are the digests that caused a sync.
	theirs, mine uint64
	// retries is the number of other peers to ask if the call fails.
	retries int
}

func (c *Core) call(to registry.NodeID, cl *call) {
	c.lastCall++
	cl.ID, cl.To, cl.deadline = c.lastCall, to, c.now.Add(syncTimeout)
	if cl.Pull != nil {
		cl.deadline = c.now.Add(pullTimeout)
	}
	c.calls[cl.ID] = cl
	c.out.Calls = append(c.out.Calls, cl.Call)
}

// pullWanted asks for the wanted epochs, one call for each source.
func (c *Core) pullWanted() {
	active := 0
	for _, cl := range c.calls {
		if cl.Pull != nil {
			active++
		}
	}
	pulls := map[registry.NodeID]*call{}
	for _, service := range slices.Sorted(maps.Keys(c.wants)) {
		w := c.wants[service]
		if w.call != 0 && c.now.Sub(w.asked) < pullHedge {
			continue
		}
		next := c.next(w)
		if w.call != 0 && (next == nil || next.tries > 0) {
			if w.retries > 0 {
				w.retries--
				w.asked = c.now
				c.retrySync(w.sources[0].id, 1)
			}
			continue
		}
		p := pulls[next.id]
		if p == nil {
			if active >= maxPulls {
				continue
			}
			active++
			p = &call{Call: Call{Pull: &Pull{}}}
			pulls[next.id] = p
		}
		if len(p.Pull.Services) < maxPullServices {
			p.Pull.Services = append(p.Pull.Services, service)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(pulls)) {
		p := pulls[to]
		c.call(to, p)
		for _, service := range p.Pull.Services {
			w := c.wants[service]
			w.call, w.asked = p.ID, c.now
			c.next(w).tries++
		}
	}
}

// reply handles the answer to a call, or its absence.
func (c *Core) reply(r *Reply) {
	cl := c.calls[r.ID]
	if cl == nil {
		if r.Pull != nil {
			for _, v := range r.Pull.Policies {
				c.offer(v, "late answer of a peer")
			}
		}
		return
	}
	delete(c.calls, r.ID)
	if r.Err != nil {
		c.failures[cl.To] = c.now
	} else {
		delete(c.failures, cl.To)
	}
	switch {
	case cl.Pull != nil:
		more := false
		if r.Err == nil && r.Pull != nil {
			more = r.Pull.More && len(r.Pull.Policies) > 0
			for _, v := range r.Pull.Policies {
				c.offer(v, "peer "+string(cl.To))
			}
		}
		retries := 0
		for _, service := range cl.Pull.Services {
			w := c.wants[service]
			if w == nil || w.call != cl.ID {
				continue
			}
			w.call = 0
			for i := range w.sources {
				if more && w.sources[i].id == cl.To {
					w.sources[i].tries = 0
				}
			}
			if r.Err == nil && !more {
				// The peer no longer has what it reported.
				w.sources = slices.DeleteFunc(w.sources, func(s source) bool { return s.id == cl.To })
			}
			if c.next(w) == nil {
				retries = max(retries, w.retries)
				delete(c.wants, service)
			}
		}
		c.retrySync(cl.To, retries)
	case cl.TakeOver != nil:
	case r.Err != nil || r.Sync == nil:
		if cl.starting {
			c.startReply(cl.To, nil)
			return
		}
		c.retrySync(cl.To, cl.retries)
	default:
		c.synced(cl, r.Sync)
	}
}
