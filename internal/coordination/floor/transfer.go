package floor

import (
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// TransferRequest asks a holder for one of its reserved permits. Repeating it
// with the same id yields the same permit.
type TransferRequest struct {
	ID      string
	Service registry.ServiceID
	Node    registry.NodeID
}

// TransferResponse is the answer of a holder.
type TransferResponse struct {
	// Permit is set if the permit was given.
	Permit   string
	Position int
	// Reason says why not.
	Reason string
}

// HandleTransfer answers the request of a peer. A permit is given away at most once; the
// same request is answered with the same permit.
func (h *Holder) HandleTransfer(now time.Time, req TransferRequest) TransferResponse {
	h.checkPause(now)
	b := h.book(now, req.Service)
	if b.paused {
		return TransferResponse{Reason: ReasonPaused}
	}
	for _, p := range b.sorted() {
		if p.given == req.ID {
			p.givenAt = now
			return TransferResponse{Permit: p.permit, Position: p.position}
		}
	}
	view, _ := h.opts.View(req.Service)
	p := h.free(b, view)
	if p == nil && !h.enabled(CheckGiveOnce) {
		for _, q := range b.sorted() {
			if q.given != "" {
				p = q
			}
		}
	}
	if p == nil {
		return TransferResponse{Reason: ReasonNoReserve}
	}
	if h.enabled(CheckGiveOnce) {
		invariant.Check(p.given == "" && p.backend == "", "permit_given_once", "permit %s is given twice", p.permit)
	}
	p.given, p.givenAt = req.ID, now
	return TransferResponse{Permit: p.permit, Position: p.position}
}

// askPeer sends the request to the next holder that may have a reservation.
func (h *Holder) askPeer(now time.Time, b *book, view View, r *request) {
	if r.asking {
		return
	}
	if !r.listed {
		r.listed = true
		r.peers = h.holders(b, view)
	}
	if len(r.peers) == 0 {
		h.refuse(b, r, r.reason)
		return
	}
	peer := r.peers[0]
	r.peers = r.peers[1:]
	r.asking, r.asked, r.askedAt = true, peer, now
	// A new id per peer keeps a late answer of one peer apart from the next.
	r.id = h.opts.NewID()
	h.emit(Output{Kind: RequestTransfer, Service: b.service, Backend: r.backend, Peer: peer, RequestID: r.id})
}

// holders lists the alive nodes that should hold a reservation by the view, or
// that hold one by the last known ledger.
func (h *Holder) holders(b *book, view View) []registry.NodeID {
	var out []registry.NodeID
	add := func(id registry.NodeID) {
		if id != h.self.Node && view.Nodes[id].Alive && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	for _, e := range b.ledger.Entries {
		if e.State == Reserved {
			add(e.Holder.Node)
		}
	}
	quota := view.Quota(b.service)
	for _, id := range view.Owners {
		if quota[id] > 0 {
			add(id)
		}
	}
	// Different owners start at different holders.
	if len(out) > 1 {
		k := int(h.opts.Jitter() * float64(len(out)))
		out = slices.Concat(out[k:], out[:k])
	}
	return out[:min(len(out), h.opts.MaxPeers)]
}

// TransferDone answers a Transfer output.
func (h *Holder) TransferDone(now time.Time, service registry.ServiceID, requestID string, a TransferResponse, err error) {
	h.checkPause(now)
	b := h.book(now, service)
	for _, p := range b.held {
		if p.request != requestID {
			continue
		}
		p.renewing = false
		if err == nil && a.Permit == p.permit {
			p.confirmed, p.position = p.renewed, a.Position
		}
		return
	}
	accepted := false
	for _, r := range b.pending() {
		if r.id != requestID || !r.asking {
			continue
		}
		r.asking = false
		view, _ := h.opts.View(service)
		// The giver must be alive in this view: a holder that others take for
		// dead may have been fenced.
		if err == nil && a.Permit != "" && now.Sub(r.askedAt) < confirmWithin && !b.released[a.Permit] &&
			b.held[a.Permit] == nil && view.Nodes[r.asked].Alive {
			p := &held{permit: a.Permit, backend: r.backend, from: r.asked, request: requestID,
				confirmed: r.askedAt, position: a.Position}
			b.held[p.permit] = p
			b.dirty = true
			h.grant(b, r, p)
			accepted = true
			continue
		}
		if a.Reason != "" && r.reason == ReasonPlatform {
			r.reason = a.Reason
		}
	}
	if err == nil && a.Permit != "" && !accepted && b.held[a.Permit] == nil {
		// The giver does not use it again, so it is taken out of the ledger.
		b.released[a.Permit] = true
		b.dirty = true
	}
	h.step(now, b)
}

// expire confirms, drops or takes out permits that changed hands without a
// record in the ledger.
func (h *Holder) expire(now time.Time, b *book) {
	for _, p := range b.sorted() {
		switch {
		case p.given != "" && now.Sub(p.givenAt) >= quarantine:
			// The receiver neither recorded nor confirmed it, so it has stopped
			// using it.
			delete(b.held, p.permit)
			delete(b.minted, p.permit)
			b.released[p.permit] = true
			b.dirty = true
		case p.from == "" || p.recorded:
		case now.Sub(p.confirmed) >= confirmWithin:
			b.released[p.permit] = true
			b.dirty = true
			h.revoke(b, p, ReasonExpired)
		case now.Sub(p.confirmed) >= renewAfter && !p.renewing:
			p.renewing, p.renewed = true, now
			h.emit(Output{Kind: RequestTransfer, Service: b.service, Backend: p.backend, Peer: p.from, RequestID: p.request})
		}
	}
}
