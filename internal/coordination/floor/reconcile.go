package floor

import (
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// updatedLedger applies the pending changes to a copy of the cached ledger: it
// removes expired, reclaimed and released permits, records the permits in use,
// serves the requests and adjusts the reservations. It reports whether the
// ledger changed.
func (h *Holder) updatedLedger(now time.Time, st *serviceState, view View) (Ledger, bool) {
	l := st.ledger.removeExpired(now)
	l = h.reclaim(now, st, view, l)
	for _, e := range l.Entries {
		if st.released[e.Permit] || h.isOrphan(st, e) {
			l = l.Release(e.Permit)
		}
	}
	for _, p := range st.sortedPermits() {
		if p.backend == "" || p.recorded {
			continue
		}
		recorded, err := l.Transfer(h.self, p.permit, p.backend)
		if err != nil {
			h.revoke(st, p, err.Error())
			continue
		}
		l = recorded
	}
	for _, r := range st.sortedRequests() {
		if r.peersOnly || st.permitFor(r.backend) != nil {
			continue
		}
		if p := h.usableReservation(st, view); p != nil {
			// After a pause, a reservation is recorded before it is used.
			if next, err := l.Transfer(h.self, p.permit, r.backend); err == nil {
				l = next
				p.backend, p.recorded = r.backend, false
				continue
			}
		}
		next, err := l.add(view, Entry{Permit: r.id, State: Used, Holder: h.self, Backend: r.backend},
			!h.enabled(CheckAllowance))
		if err != nil {
			h.fallBackToPeers(r, ReasonAllowance)
			continue
		}
		l = next
	}
	l = h.adjustReservations(st, view, l)
	return l, !l.equal(st.ledger)
}

func (l Ledger) equal(o Ledger) bool {
	return slices.Equal(l.Entries, o.Entries) && string(l.Encode()) == string(o.Encode())
}

// isOrphan reports whether an entry names this process as the holder but belongs
// to no permit or request. It is the effect of a write whose response was lost
// and whose request has ended.
func (h *Holder) isOrphan(st *serviceState, e Entry) bool {
	if e.Holder != h.self || st.held[e.Permit] != nil || st.reservationsWritten[e.Permit] || !h.enabled(CheckReadBack) {
		return false
	}
	for _, r := range st.requests {
		if r.id == e.Permit {
			return false
		}
	}
	return true
}

// reclaim reclaims the permits of earlier incarnations of this node, of earlier
// owners of its backend servers and of dead nodes.
func (h *Holder) reclaim(now time.Time, st *serviceState, view View, l Ledger) Ledger {
	reclaimable := make(map[registry.NodeID]bool)
	for _, e := range l.Entries {
		switch {
		case e.State == Reclaimed:
		case e.Holder.Node == h.self.Node:
			if e.Holder.Incarnation < h.self.Incarnation {
				reclaimable[e.Holder.Node] = true
			}
		case e.State == Used && view.OwnBackends[e.Backend]:
			l = l.ReclaimBackend(h.self, e.Backend)
		case !view.Nodes[e.Holder.Node].Alive:
			reclaimable[e.Holder.Node] = true
			// A node that is no longer in the view counts as dead from the
			// time at which it was first found missing.
			if _, ok := st.missingSince[e.Holder.Node]; !ok {
				st.missingSince[e.Holder.Node] = now
			}
		default:
			delete(st.missingSince, e.Holder.Node)
		}
	}
	nodes := make([]registry.NodeID, 0, len(reclaimable))
	for id := range reclaimable {
		nodes = append(nodes, id)
	}
	slices.Sort(nodes)
	for _, id := range nodes {
		v := view
		if n := view.Nodes[id]; id != h.self.Node && n.DeadSince.IsZero() {
			n.DeadSince = st.missingSince[id]
			v.Nodes = map[registry.NodeID]NodeView{id: n}
		}
		if next, err := l.Reclaim(now, v, h.self, id); err == nil {
			l = next
		}
	}
	return l
}

// adjustReservations creates or releases reservations until this node has as
// many as its quota.
func (h *Holder) adjustReservations(st *serviceState, view View, l Ledger) Ledger {
	quota := view.Quota(st.service)[h.self.Node]
	own, total := 0, 0
	for _, e := range l.Entries {
		if e.State != Reserved {
			continue
		}
		total++
		p := st.held[e.Permit]
		if e.Holder != h.self || p == nil || p.transferredFor != "" || p.backend != "" {
			continue
		}
		if own == quota {
			// The permit is not used from now on, whether or not the write
			// takes effect.
			delete(st.held, e.Permit)
			st.released[e.Permit] = true
			l = l.Release(e.Permit)
			continue
		}
		own++
	}
	for own < quota && total < view.Allowance()/2 {
		id := h.opts.NewID()
		next, err := l.add(view, Entry{Permit: id, State: Reserved, Holder: h.self}, !h.enabled(CheckAllowance))
		if err != nil {
			break
		}
		st.reservationsWritten[id] = true
		l = next
		own++
		total++
	}
	return l
}

// applyLedger caches a ledger that was read or written, and updates the held,
// released and requested permits from it.
func (h *Holder) applyLedger(now time.Time, st *serviceState, l Ledger, version uint64) {
	st.ledger, st.version, st.readAt, st.ledgerValid = l, version, now, true
	if fence := l.Fences[h.self.Node]; fence > h.self.Incarnation {
		h.advanceToFence(fence)
	}
	view, _ := h.opts.View(st.service)
	extra := l.unrecorded(view)
	for _, p := range st.sortedPermits() {
		e, ok := l.Find(p.permit)
		switch {
		case !ok, e.State == Used && (e.Holder != h.self || e.Backend != p.backend),
			e.State != Used && p.source == "" && e.Holder != h.self:
			// Removed, recorded by the node it was transferred to, or reclaimed.
			h.revoke(st, p, ReasonFenced)
			continue
		case e.State == Used:
			p.recorded, p.source = true, ""
			delete(st.reservationsWritten, p.permit)
		}
		p.position = l.Position(p.permit) + extra
	}
	for id := range st.released {
		e, ok := l.Find(id)
		if !ok || e.State == Used && e.Holder.Node != h.self.Node {
			// Removed, or recorded by the node that it was transferred to.
			delete(st.released, id)
		} else {
			st.dirty = true
		}
	}
	for _, e := range l.Entries {
		switch {
		case e.Holder != h.self || st.held[e.Permit] != nil || st.released[e.Permit]:
		case e.State == Reserved && st.reservationsWritten[e.Permit]:
			st.held[e.Permit] = &heldPermit{permit: e.Permit, recorded: true, position: l.Position(e.Permit) + extra}
		case e.State == Used && st.requests[e.Backend] != nil && st.requests[e.Backend].id == e.Permit:
			st.held[e.Permit] = &heldPermit{
				permit: e.Permit, backend: e.Backend, recorded: true, position: l.Position(e.Permit) + extra,
			}
		default:
			st.dirty = st.dirty || h.isOrphan(st, e)
		}
	}
}

// advanceToFence drops every permit that was recorded under the fenced
// incarnation and continues at the incarnation of the fence.
func (h *Holder) advanceToFence(fence uint64) {
	h.self.Incarnation = fence
	for _, st := range h.services {
		for _, p := range st.sortedPermits() {
			if p.source == "" {
				h.revoke(st, p, ReasonFenced)
			}
		}
		clear(st.reservationsWritten)
		st.dirty = true
	}
}

// revoke drops a permit. If the permit is in use, the Revoked output tells the
// driver to return the backend server to service.
func (h *Holder) revoke(st *serviceState, p *heldPermit, reason string) {
	delete(st.held, p.permit)
	delete(st.reservationsWritten, p.permit)
	if p.backend != "" && p.transferredFor == "" {
		h.emit(Output{Kind: Revoked, Service: st.service, Backend: p.backend, Permit: p.permit, Reason: reason})
	}
}
