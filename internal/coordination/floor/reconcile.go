package floor

import (
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// compose applies everything that is due to the cached ledger.
func (h *Holder) compose(now time.Time, b *book, view View) (Ledger, bool) {
	l := b.ledger.purge(now)
	l = h.reclaim(now, b, view, l)
	for _, e := range l.Entries {
		if b.released[e.Permit] || h.orphan(b, e) {
			l = l.Release(e.Permit)
		}
	}
	for _, p := range b.sorted() {
		if p.backend == "" || p.recorded {
			continue
		}
		recorded, err := l.Transfer(h.self, p.permit, p.backend)
		if err != nil {
			h.revoke(b, p, err.Error())
			continue
		}
		l = recorded
	}
	for _, r := range b.pending() {
		if r.toPeers || b.heldFor(r.backend) != nil {
			continue
		}
		if p := h.free(b, view); p != nil {
			// After a pause a reservation is recorded before it is used.
			if next, err := l.Transfer(h.self, p.permit, r.backend); err == nil {
				l = next
				p.backend, p.recorded = r.backend, false
				continue
			}
		}
		next, err := l.add(view, Entry{Permit: r.id, State: Used, Holder: h.self, Backend: r.backend},
			!h.enabled(CheckAllowance))
		if err != nil {
			h.toPeers(r, ReasonAllowance)
			continue
		}
		l = next
	}
	l = h.reserve(b, view, l)
	return l, !l.equal(b.ledger)
}

func (l Ledger) equal(o Ledger) bool {
	return slices.Equal(l.Entries, o.Entries) && string(l.Encode()) == string(o.Encode())
}

// orphan reports whether an entry names this process but is not known to it: a
// write whose answer was lost and whose request has ended.
func (h *Holder) orphan(b *book, e Entry) bool {
	if e.Holder != h.self || b.held[e.Permit] != nil || b.minted[e.Permit] || !h.enabled(CheckReadBack) {
		return false
	}
	for _, r := range b.requests {
		if r.id == e.Permit {
			return false
		}
	}
	return true
}

// reclaim takes back the permits of earlier incarnations of this node, of
// earlier owners of its backend servers and of vanished nodes.
func (h *Holder) reclaim(now time.Time, b *book, view View, l Ledger) Ledger {
	gone := make(map[registry.NodeID]bool)
	for _, e := range l.Entries {
		switch {
		case e.State == Reclaimed:
		case e.Holder.Node == h.self.Node:
			if e.Holder.Incarnation < h.self.Incarnation {
				gone[e.Holder.Node] = true
			}
		case e.State == Used && view.OwnBackends[e.Backend]:
			l = l.ReclaimBackend(h.self, e.Backend)
		case !view.Nodes[e.Holder.Node].Alive:
			gone[e.Holder.Node] = true
			// A node that the view has forgotten counts as dead from the moment
			// at which this was noticed.
			if _, ok := b.missing[e.Holder.Node]; !ok {
				b.missing[e.Holder.Node] = now
			}
		default:
			delete(b.missing, e.Holder.Node)
		}
	}
	nodes := make([]registry.NodeID, 0, len(gone))
	for id := range gone {
		nodes = append(nodes, id)
	}
	slices.Sort(nodes)
	for _, id := range nodes {
		v := view
		if n := view.Nodes[id]; id != h.self.Node && n.DeadSince.IsZero() {
			n.DeadSince = b.missing[id]
			v.Nodes = map[registry.NodeID]NodeView{id: n}
		}
		if next, err := l.Reclaim(now, v, h.self, id); err == nil {
			l = next
		}
	}
	return l
}

// reserve brings the reservations of this node to its quota.
func (h *Holder) reserve(b *book, view View, l Ledger) Ledger {
	quota := view.Quota(b.service)[h.self.Node]
	own, total := 0, 0
	for _, e := range l.Entries {
		if e.State != Reserved {
			continue
		}
		total++
		p := b.held[e.Permit]
		if e.Holder != h.self || p == nil || p.given != "" || p.backend != "" {
			continue
		}
		if own == quota {
			// The permit is out of use from now on, whether or not the write
			// takes effect.
			delete(b.held, e.Permit)
			b.released[e.Permit] = true
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
		b.minted[id] = true
		l = next
		own++
		total++
	}
	return l
}

// adopt takes a ledger that was read or written and settles what it decides.
func (h *Holder) adopt(now time.Time, b *book, l Ledger, version uint64) {
	b.ledger, b.version, b.readAt, b.known = l, version, now, true
	if fence := l.Fences[h.self.Node]; fence > h.self.Incarnation {
		h.fenced(fence)
	}
	view, _ := h.opts.View(b.service)
	extra := l.unrecorded(view)
	for _, p := range b.sorted() {
		e, ok := l.Find(p.permit)
		switch {
		case !ok, e.State == Used && (e.Holder != h.self || e.Backend != p.backend),
			e.State != Used && p.from == "" && e.Holder != h.self:
			// Removed, recorded by the node it was given to, or reclaimed.
			h.revoke(b, p, ReasonFenced)
			continue
		case e.State == Used:
			p.recorded, p.from = true, ""
			delete(b.minted, p.permit)
		}
		p.position = l.Position(p.permit) + extra
	}
	for id := range b.released {
		e, ok := l.Find(id)
		if !ok || e.State == Used && e.Holder.Node != h.self.Node {
			// Gone, or recorded by the node that it was given to.
			delete(b.released, id)
		} else {
			b.dirty = true
		}
	}
	for _, e := range l.Entries {
		switch {
		case e.Holder != h.self || b.held[e.Permit] != nil || b.released[e.Permit]:
		case e.State == Reserved && b.minted[e.Permit]:
			b.held[e.Permit] = &held{permit: e.Permit, recorded: true, position: l.Position(e.Permit) + extra}
		case e.State == Used && b.requests[e.Backend] != nil && b.requests[e.Backend].id == e.Permit:
			b.held[e.Permit] = &held{
				permit: e.Permit, backend: e.Backend, recorded: true, position: l.Position(e.Permit) + extra,
			}
		default:
			b.dirty = b.dirty || h.orphan(b, e)
		}
	}
}

// fenced drops every permit that was written under the fenced incarnation and
// continues at the incarnation of the fence.
func (h *Holder) fenced(fence uint64) {
	h.self.Incarnation = fence
	for _, b := range h.books {
		for _, p := range b.sorted() {
			if p.from == "" {
				h.revoke(b, p, ReasonFenced)
			}
		}
		clear(b.minted)
		b.dirty = true
	}
}

// revoke drops a permit. If it is in use, the server must return.
func (h *Holder) revoke(b *book, p *held, reason string) {
	delete(b.held, p.permit)
	delete(b.minted, p.permit)
	if p.backend != "" && p.given == "" {
		h.emit(Output{Kind: Revoked, Service: b.service, Backend: p.backend, Permit: p.permit, Reason: reason})
	}
}
