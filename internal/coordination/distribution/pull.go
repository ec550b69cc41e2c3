package distribution

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// wantedVersion is a version that this node lacks and that a peer reported.
type wantedVersion struct {
	Version
	sources []source
	// call is the ID of the latest pull for the version, or 0 if none is pending.
	call        uint64
	requestedAt time.Time
	// retries is the number of syncs with other peers that may still be made to find a
	// source.
	retries int
}

// addWanted records that a peer has a version that this node lacks.
func (c *Core) addWanted(v Version, from registry.NodeID, retries int) {
	if !c.accepts(v) {
		return
	}
	w := c.wanted[v.Service]
	if w == nil || v.Epoch > w.Epoch {
		c.wanted[v.Service] = &wantedVersion{Version: v, sources: []source{{id: from}}, retries: retries}
		return
	}
	if v.Epoch < w.Epoch || slices.ContainsFunc(w.sources, func(s source) bool { return s.id == from }) {
		return
	}
	if len(w.sources) >= maxPullSources {
		// Replace the source with the most tries.
		mostTried := slices.MaxFunc(w.sources, func(a, b source) int { return cmp.Compare(a.tries, b.tries) })
		if mostTried.tries == 0 {
			return
		}
		w.sources = slices.DeleteFunc(w.sources, func(s source) bool { return s.id == mostTried.id })
	}
	w.sources = append(w.sources, source{id: from})
}

// source is a peer that reported a wanted version.
type source struct {
	id    registry.NodeID
	tries int
}

// nextSource returns the source with the fewest tries, or nil if none is left. Peers that
// failed recently come last.
func (c *Core) nextSource(w *wantedVersion) *source {
	var best *source
	rank := func(s *source) int {
		if c.failedRecently(s.id) {
			return s.tries + maxPullTries
		}
		return s.tries
	}
	for i := range w.sources {
		if s := &w.sources[i]; s.tries < maxPullTries && (best == nil || rank(s) < rank(best)) {
			best = s
		}
	}
	return best
}

// accepts reports whether a version is newer than any known one and was not refused.
func (c *Core) accepts(v Version) bool {
	return v.Epoch > c.table.KnownEpoch(v.Service) && c.refused[v.Service] != v
}

type call struct {
	Call
	deadline time.Time
	// startup marks a sync of a starting node, which decides about its readiness.
	startup bool
	// peerDigest and ownDigest are the digests whose difference caused a sync.
	peerDigest, ownDigest uint64
	// retries is the number of other peers that may be asked if the call fails.
	retries int
}

func (c *Core) call(to registry.NodeID, cl *call) {
	c.lastCallID++
	cl.ID, cl.To, cl.deadline = c.lastCallID, to, c.now.Add(syncTimeout)
	if cl.Pull != nil {
		cl.deadline = c.now.Add(pullTimeout)
	}
	c.calls[cl.ID] = cl
	c.out.Calls = append(c.out.Calls, cl.Call)
}

// pullWanted pulls the wanted versions, with one call per source.
func (c *Core) pullWanted() {
	active := 0
	for _, cl := range c.calls {
		if cl.Pull != nil {
			active++
		}
	}
	pulls := map[registry.NodeID]*call{}
	for _, service := range slices.Sorted(maps.Keys(c.wanted)) {
		w := c.wanted[service]
		if w.call != 0 && c.now.Sub(w.requestedAt) < pullHedgeDelay {
			continue
		}
		next := c.nextSource(w)
		if w.call != 0 && (next == nil || next.tries > 0) {
			if w.retries > 0 {
				w.retries--
				w.requestedAt = c.now
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
			w := c.wanted[service]
			w.call, w.requestedAt = p.ID, c.now
			c.nextSource(w).tries++
		}
	}
}

// handleReply processes the reply to a call, or its timeout.
func (c *Core) handleReply(r *Reply) {
	cl := c.calls[r.ID]
	if cl == nil {
		if r.Pull != nil {
			for _, v := range r.Pull.Policies {
				c.applyIfNewer(v, "late answer of a peer")
			}
		}
		return
	}
	delete(c.calls, r.ID)
	if r.Err != nil {
		c.lastFailure[cl.To] = c.now
	} else {
		delete(c.lastFailure, cl.To)
	}
	switch {
	case cl.Pull != nil:
		more := false
		if r.Err == nil && r.Pull != nil {
			more = r.Pull.More && len(r.Pull.Policies) > 0
			for _, v := range r.Pull.Policies {
				c.applyIfNewer(v, "peer "+string(cl.To))
			}
		}
		retries := 0
		for _, service := range cl.Pull.Services {
			w := c.wanted[service]
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
				// The peer no longer has the version that it reported.
				w.sources = slices.DeleteFunc(w.sources, func(s source) bool { return s.id == cl.To })
			}
			if c.nextSource(w) == nil {
				retries = max(retries, w.retries)
				delete(c.wanted, service)
			}
		}
		c.retrySync(cl.To, retries)
	case cl.TakeOver != nil:
	case r.Err != nil || r.Sync == nil:
		if cl.startup {
			c.recordStartupReply(cl.To, nil)
			return
		}
		c.retrySync(cl.To, cl.retries)
	default:
		c.handleSyncReply(cl, r.Sync)
	}
}
