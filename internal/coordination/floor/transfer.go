package floor

import (
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// TransferRequest asks a holder for one of its reserved permits. A repeated
// request with the same id returns the same permit.
type TransferRequest struct {
	ID      string
	Service registry.ServiceID
	Node    registry.NodeID
}

// TransferResponse is the response of a holder to a TransferRequest.
type TransferResponse struct {
	// Permit and Position are set if a permit was transferred.
	Permit   string
	Position int
	// Reason is set if no permit was transferred.
	Reason string
}

// HandleTransfer answers the transfer request of a peer. A permit is transferred
// for at most one request id. A repeated request gets the same permit and renews
// its confirmation.
func (h *Holder) HandleTransfer(now time.Time, req TransferRequest) TransferResponse {
	h.detectPause(now)
	view, known := h.opts.View(req.Service)
	if !known && h.services[req.Service] == nil {
		// No state is kept for a name that only a peer knows.
		return TransferResponse{Reason: ReasonNoReserve}
	}
	st := h.serviceState(now, req.Service)
	if st.paused {
		return TransferResponse{Reason: ReasonHolderUnconfirmed}
	}
	for _, p := range st.sortedPermits() {
		if p.transferredFor == req.ID {
			p.transferredAt = now
			return TransferResponse{Permit: p.permit, Position: p.position}
		}
	}
	p := h.usableReservation(st, view)
	if p == nil && !h.enabled(CheckSingleTransfer) {
		for _, q := range st.sortedPermits() {
			if q.transferredFor != "" {
				p = q
			}
		}
	}
	if p == nil {
		return TransferResponse{Reason: ReasonNoReserve}
	}
	if h.enabled(CheckSingleTransfer) {
		invariant.Check(p.transferredFor == "" && p.backend == "", "permit_given_once", "permit %s is transferred twice", p.permit)
	}
	p.transferredFor, p.transferredAt = req.ID, now
	return TransferResponse{Permit: p.permit, Position: p.position}
}

// requestFromPeer sends a request to the next peer that may hold a reservation,
// or refuses it if every candidate was asked.
func (h *Holder) requestFromPeer(now time.Time, st *serviceState, view View, r *permitRequest) {
	if r.awaitingPeer {
		return
	}
	if !r.peersListed {
		r.peersListed = true
		r.peers = h.transferCandidates(st, view)
	}
	if len(r.peers) == 0 {
		h.refuse(st, r, r.peersReason)
		return
	}
	peer := r.peers[0]
	r.peers = r.peers[1:]
	r.awaitingPeer, r.askedPeer, r.askedAt = true, peer, now
	// A new id for each peer distinguishes a late response of the previous
	// peer from the response of this one.
	r.id = h.opts.NewID()
	h.emit(Output{Kind: RequestTransfer, Service: st.service, Backend: r.backend, Peer: peer, RequestID: r.id})
}

// transferCandidates returns the alive nodes that hold a reservation in the cached
// ledger, and those that have a quota in the view.
func (h *Holder) transferCandidates(st *serviceState, view View) []registry.NodeID {
	var out []registry.NodeID
	add := func(id registry.NodeID) {
		if id != h.self.Node && view.Nodes[id].Alive && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	for _, e := range st.ledger.Entries {
		if e.State == Reserved {
			add(e.Holder.Node)
		}
	}
	quota := view.Quota(st.service)
	for _, id := range view.Owners {
		if quota[id] > 0 {
			add(id)
		}
	}
	// A random start spreads the requests of different owners over the holders.
	if len(out) > 1 {
		k := int(h.opts.Jitter() * float64(len(out)))
		out = slices.Concat(out[k:], out[:k])
	}
	return out[:min(len(out), h.opts.MaxPeers)]
}

// TransferDone reports the result of a RequestTransfer output.
func (h *Holder) TransferDone(now time.Time, service registry.ServiceID, requestID string, resp TransferResponse, err error) {
	h.detectPause(now)
	st := h.serviceState(now, service)
	for _, p := range st.held {
		if p.sourceRequest != requestID {
			continue
		}
		p.renewalPending = false
		if err == nil && resp.Permit == p.permit {
			p.confirmedAt, p.position = p.renewalSentAt, resp.Position
		}
		return
	}
	accepted := false
	for _, r := range st.sortedRequests() {
		if r.id != requestID || !r.awaitingPeer {
			continue
		}
		r.awaitingPeer = false
		view, _ := h.opts.View(service)
		// The peer must be alive in this view, because a holder that other nodes
		// consider dead may have been fenced.
		if err == nil && resp.Permit != "" && now.Sub(r.askedAt) < transferTTL && !st.released[resp.Permit] &&
			st.held[resp.Permit] == nil && view.Nodes[r.askedPeer].Alive {
			p := &heldPermit{permit: resp.Permit, backend: r.backend, source: r.askedPeer, sourceRequest: requestID,
				confirmedAt: r.askedAt, position: resp.Position}
			st.held[p.permit] = p
			st.dirty = true
			h.grant(st, r, p)
			accepted = true
			continue
		}
		if resp.Reason != "" && r.peersReason == ReasonPlatformUnavailable {
			r.peersReason = resp.Reason
		}
	}
	if err == nil && resp.Permit != "" && !accepted && st.held[resp.Permit] == nil {
		// The peer does not use the permit again, so it is removed from the ledger.
		st.released[resp.Permit] = true
		st.dirty = true
	}
	h.advance(now, st)
}

// expireTransfers renews or ends transfers that are not recorded in the ledger.
// The receiver asks for a confirmation after transferRenewAge and stops using the
// permit after transferTTL. The sender releases the permit after
// reclaimQuarantine.
func (h *Holder) expireTransfers(now time.Time, st *serviceState) {
	for _, p := range st.sortedPermits() {
		switch {
		case p.transferredFor != "" && now.Sub(p.transferredAt) >= reclaimQuarantine:
			// The receiver neither recorded the permit nor asked to confirm it,
			// so it has stopped using it.
			delete(st.held, p.permit)
			delete(st.reservationsWritten, p.permit)
			st.released[p.permit] = true
			st.dirty = true
		case p.source == "" || p.recorded:
		case now.Sub(p.confirmedAt) >= transferTTL:
			st.released[p.permit] = true
			st.dirty = true
			h.revoke(st, p, ReasonTransferUnconfirmed)
		case now.Sub(p.confirmedAt) >= transferRenewAge && !p.renewalPending:
			p.renewalPending, p.renewalSentAt = true, now
			h.emit(Output{Kind: RequestTransfer, Service: st.service, Backend: p.backend, Peer: p.source, RequestID: p.sourceRequest})
		}
	}
}
