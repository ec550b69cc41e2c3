package floor

import (
	"errors"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// step takes the next steps for a service: permits at hand first, then the
// ledger, then the peers.
func (h *Holder) step(now time.Time, b *book) {
	view, ok := h.opts.View(b.service)
	if !ok {
		for _, r := range b.pending() {
			h.refuse(b, r, ReasonNoView)
		}
		return
	}
	if !b.paused {
		for _, r := range b.pending() {
			if p := b.heldFor(r.backend); p != nil {
				h.grant(b, r, p)
			} else if p := h.free(b, view); p != nil {
				p.backend, p.recorded = r.backend, false
				b.dirty = true
				h.grant(b, r, p)
			}
		}
	}
	h.usePlatform(now, b, view)
	if !b.busy {
		for _, r := range b.pending() {
			if r.toPeers {
				h.askPeer(now, b, view, r)
			}
		}
	}
}

// usePlatform starts the next platform call of a service, at most one at a time.
func (h *Holder) usePlatform(now time.Time, b *book, view View) {
	if b.busy {
		return
	}
	if now.Before(h.retryAt) && !b.readBack {
		for _, r := range b.pending() {
			h.toPeers(r, ReasonPlatform)
		}
		return
	}
	if len(b.held) == 0 {
		// Nothing is left to confirm.
		b.paused = b.paused && len(b.requests) > 0
	}
	wanted := b.readBack || !now.Before(b.hold) && (b.dirty || !now.Before(b.refresh))
	for _, r := range b.pending() {
		if r.toPeers {
			continue
		}
		if r.calls >= maxCalls {
			h.toPeers(r, ReasonContended)
			continue
		}
		wanted = true
	}
	if !wanted {
		return
	}
	if !b.known || now.Sub(b.readAt) > freshFor {
		b.readBack = false
		b.busy = true
		h.countCall(b)
		h.emit(Output{Kind: ReadLedger, Service: b.service})
		return
	}
	l, changed := h.compose(now, b, view)
	if changed || b.paused {
		b.busy = true
		b.writing, b.writingAt = &l, b.pauses
		h.countCall(b)
		h.emit(Output{Kind: WriteLedger, Service: b.service, Value: l.Encode(), Version: b.version})
		return
	}
	h.settled(now, b, view)
}

// settled notes that the ledger needs no change and sets the time of the next
// reading.
func (h *Holder) settled(now time.Time, b *book, view View) {
	b.dirty = false
	if now.Before(b.refresh) {
		return
	}
	mean := h.opts.Refresh
	if len(b.held) == 0 && view.Quota(b.service)[h.self.Node] == 0 {
		mean *= idleFactor
	}
	b.refresh = now.Add(time.Duration((0.5 + h.opts.Jitter()) * float64(mean)))
}

func (h *Holder) countCall(b *book) {
	for _, r := range b.requests {
		r.calls++
	}
}

func (h *Holder) toPeers(r *request, reason string) {
	if !r.toPeers {
		r.toPeers, r.reason = true, reason
	}
}

func (h *Holder) grant(b *book, r *request, p *held) {
	delete(b.requests, r.backend)
	h.emit(Output{Kind: Granted, Service: b.service, Backend: r.backend, Permit: p.permit, Position: p.position})
}

func (h *Holder) refuse(b *book, r *request, reason string) {
	delete(b.requests, r.backend)
	h.emit(Output{Kind: Refused, Service: b.service, Backend: r.backend, Reason: reason})
}

// ReadDone answers a Read output. A missing object is an empty ledger at
// version 0.
func (h *Holder) ReadDone(now time.Time, service registry.ServiceID, value []byte, version uint64, err error) {
	h.checkPause(now)
	b := h.book(now, service)
	b.busy = false
	if errors.Is(err, platform.ErrNotFound) {
		value, version, err = nil, 0, nil
	}
	var l Ledger
	if err == nil {
		l, err = Parse(value)
	}
	if err != nil || version < b.version {
		// An answer older than one seen before is as good as none.
		h.failed(now)
	} else {
		h.succeeded()
		h.adopt(now, b, l, version)
	}
	h.step(now, b)
}

// WriteDone answers a Write output with the new version or the error.
func (h *Holder) WriteDone(now time.Time, service registry.ServiceID, version uint64, err error) {
	h.checkPause(now)
	b := h.book(now, service)
	b.busy = false
	written := b.writing
	b.writing = nil
	switch {
	case err == nil:
		h.succeeded()
		b.paused = b.paused && b.writingAt != b.pauses
		h.adopt(now, b, *written, version)
		view, _ := h.opts.View(service)
		h.settled(now, b, view)
	case errors.Is(err, platform.ErrConflict):
		h.succeeded()
		b.known = false
		b.hold = now.Add(time.Duration((0.1 + h.opts.Jitter()) * float64(time.Second)))
	default:
		h.failed(now)
		b.known = false
		// The entry may be in the ledger even if the reading fails too.
		b.readBack, b.dirty = true, true
		if !h.enabled(CheckReadBack) {
			b.readBack = false
			for _, r := range b.requests {
				r.id = h.opts.NewID()
			}
		}
	}
	h.step(now, b)
}

func (h *Holder) succeeded() { h.backoff, h.retryAt = 0, time.Time{} }

// failed starts a growing wait with jitter before the next platform call.
func (h *Holder) failed(now time.Time) {
	h.backoff = min(max(2*h.backoff, h.opts.BackoffMin), h.opts.BackoffMax)
	h.retryAt = now.Add(time.Duration((0.5 + h.opts.Jitter()/2) * float64(h.backoff)))
}
