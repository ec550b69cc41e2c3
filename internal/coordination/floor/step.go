package floor

import (
	"errors"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// advance serves the pending requests of a service as far as possible. It uses
// held permits first, then the ledger, then the peers.
func (h *Holder) advance(now time.Time, st *serviceState) {
	view, ok := h.opts.View(st.service)
	if !ok {
		for _, r := range st.sortedRequests() {
			h.refuse(st, r, ReasonServiceUnknown)
		}
		return
	}
	if !st.paused {
		for _, r := range st.sortedRequests() {
			if p := st.permitFor(r.backend); p != nil {
				h.grant(st, r, p)
			} else if p := h.usableReservation(st, view); p != nil {
				p.backend, p.recorded = r.backend, false
				st.dirty = true
				h.grant(st, r, p)
			}
		}
	}
	h.startPlatformCall(now, st, view)
	if !st.callPending {
		for _, r := range st.sortedRequests() {
			if r.peersOnly {
				h.requestFromPeer(now, st, view, r)
			}
		}
	}
}

// startPlatformCall starts the next platform call of a service if one is due and
// none is pending.
func (h *Holder) startPlatformCall(now time.Time, st *serviceState, view View) {
	if st.callPending {
		return
	}
	if now.Before(h.platformRetryAt) && !st.readBack {
		for _, r := range st.sortedRequests() {
			h.fallBackToPeers(r, ReasonPlatformUnavailable)
		}
		return
	}
	if len(st.held) == 0 {
		// No permit is left to confirm.
		st.paused = st.paused && len(st.requests) > 0
	}
	wanted := st.readBack || !now.Before(st.conflictRetryAt) && (st.dirty || !now.Before(st.nextRefresh))
	for _, r := range st.sortedRequests() {
		if r.peersOnly {
			continue
		}
		if r.platformCalls >= maxPlatformCalls {
			h.fallBackToPeers(r, ReasonLedgerContended)
			continue
		}
		wanted = true
	}
	if !wanted {
		return
	}
	if !st.ledgerValid || now.Sub(st.readAt) > ledgerCacheTTL {
		st.readBack = false
		st.callPending = true
		h.countPlatformCall(st)
		h.emit(Output{Kind: ReadLedger, Service: st.service})
		return
	}
	l, changed := h.updatedLedger(now, st, view)
	if changed || st.paused {
		st.callPending = true
		st.pendingWrite, st.pausesAtWrite = &l, st.pauses
		h.countPlatformCall(st)
		h.emit(Output{Kind: WriteLedger, Service: st.service, Value: l.Encode(), Version: st.version})
		return
	}
	h.markReconciled(now, st, view)
}

// markReconciled records that the ledger needs no update and schedules the next
// refresh.
func (h *Holder) markReconciled(now time.Time, st *serviceState, view View) {
	st.dirty = false
	if now.Before(st.nextRefresh) {
		return
	}
	mean := h.opts.Refresh
	if len(st.held) == 0 && view.Quota(st.service)[h.self.Node] == 0 {
		mean *= idleRefreshFactor
	}
	st.nextRefresh = now.Add(time.Duration((0.5 + h.opts.Jitter()) * float64(mean)))
}

func (h *Holder) countPlatformCall(st *serviceState) {
	for _, r := range st.requests {
		r.platformCalls++
	}
}

func (h *Holder) fallBackToPeers(r *permitRequest, reason string) {
	if !r.peersOnly {
		r.peersOnly, r.peersReason = true, reason
	}
}

func (h *Holder) grant(st *serviceState, r *permitRequest, p *heldPermit) {
	delete(st.requests, r.backend)
	h.emit(Output{Kind: Granted, Service: st.service, Backend: r.backend, Permit: p.permit, Position: p.position})
}

func (h *Holder) refuse(st *serviceState, r *permitRequest, reason string) {
	delete(st.requests, r.backend)
	h.emit(Output{Kind: Refused, Service: st.service, Backend: r.backend, Reason: reason})
}

// ReadDone reports the result of a ReadLedger output. A missing object is an
// empty ledger at version 0.
func (h *Holder) ReadDone(now time.Time, service registry.ServiceID, value []byte, version uint64, err error) {
	h.detectPause(now)
	st := h.serviceState(now, service)
	st.callPending = false
	if errors.Is(err, platform.ErrNotFound) {
		value, version, err = nil, 0, nil
	}
	var l Ledger
	if err == nil {
		l, err = Parse(value)
	}
	if err != nil || version < st.version {
		// A version older than the cached one is a stale read and counts as a
		// failed call.
		h.platformFailed(now)
	} else {
		h.platformSucceeded()
		h.applyLedger(now, st, l, version)
	}
	h.advance(now, st)
}

// WriteDone reports the new version or the error of a WriteLedger output.
func (h *Holder) WriteDone(now time.Time, service registry.ServiceID, version uint64, err error) {
	h.detectPause(now)
	st := h.serviceState(now, service)
	st.callPending = false
	written := st.pendingWrite
	st.pendingWrite = nil
	switch {
	case err == nil:
		h.platformSucceeded()
		st.paused = st.paused && st.pausesAtWrite != st.pauses
		h.applyLedger(now, st, *written, version)
		view, _ := h.opts.View(service)
		h.markReconciled(now, st, view)
	case errors.Is(err, platform.ErrConflict):
		h.platformSucceeded()
		st.ledgerValid = false
		st.conflictRetryAt = now.Add(time.Duration((0.1 + h.opts.Jitter()) * float64(time.Second)))
	default:
		h.platformFailed(now)
		st.ledgerValid = false
		// The write may have taken effect, so the ledger is read back. If that
		// read fails too, the entry may still be there, so st stays dirty.
		st.readBack, st.dirty = true, true
		if !h.enabled(CheckReadBack) {
			st.readBack = false
			for _, r := range st.requests {
				r.id = h.opts.NewID()
			}
		}
	}
	h.advance(now, st)
}

func (h *Holder) platformSucceeded() { h.platformBackoff, h.platformRetryAt = 0, time.Time{} }

// platformFailed starts an exponential backoff with jitter before the next
// platform call.
func (h *Holder) platformFailed(now time.Time) {
	h.platformBackoff = min(max(2*h.platformBackoff, h.opts.BackoffMin), h.opts.BackoffMax)
	h.platformRetryAt = now.Add(time.Duration((0.5 + h.opts.Jitter()/2) * float64(h.platformBackoff)))
}
