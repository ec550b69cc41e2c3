package floor

import (
	"maps"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Reasons of a refused permit.
const (
	ReasonAllowance           = "allowance"
	ReasonPlatformUnavailable = "platform_unavailable"
	ReasonServiceUnknown      = "service_unknown"
	ReasonHolderUnconfirmed   = "holder_unconfirmed"
	ReasonNoReserve           = "no_reserve"
	ReasonTransferUnconfirmed = "transfer_unconfirmed"
	ReasonFenced              = "fenced"
	ReasonLedgerContended     = "ledger_contended"
)

const (
	// pauseThreshold is the gap between ticks above which the process is assumed to
	// have been paused. Other nodes may have reclaimed its permits meanwhile.
	pauseThreshold = 3 * time.Second
	// transferTTL is how long a permit received from a peer may be used without
	// a record in the ledger. It counts from the time at which the last confirmed
	// request was sent to that peer. It is shorter than reclaimQuarantine.
	transferTTL = 5 * time.Minute
	// transferRenewAge is the age at which the peer is asked to confirm such a
	// permit again.
	transferRenewAge = 4 * time.Minute
	// ledgerCacheTTL is the age up to which an update may be based on the cached
	// ledger without reading it again.
	ledgerCacheTTL = 5 * time.Second
	// idleRefreshFactor multiplies the refresh interval of a node that holds no
	// permit and has no quota. Such a node still reads the ledger, because its
	// first read after the start may have been stale and may have missed an entry
	// of the previous process.
	idleRefreshFactor = 12
	// maxPlatformCalls bounds the platform calls for one permit request.
	maxPlatformCalls = 4
)

// Check identifies a safety mechanism that tests can disable to show which fault
// it prevents.
type Check uint8

// Safety mechanisms.
const (
	CheckAllowance Check = 1 << iota
	CheckPause
	CheckReadBack
	CheckSingleTransfer
	CheckPosition
)

// Options configures a Holder. Node, View and NewID are required.
type Options struct {
	Node registry.NodeID
	// Incarnation is the incarnation at the start of the process.
	Incarnation uint64
	// View returns the local view of a service, or false if it is unknown.
	View func(registry.ServiceID) (View, bool)
	// NewID returns an id that is unique in the fleet.
	NewID func() string
	// Jitter returns a number in [0, 1); the default is always 0.5.
	Jitter func() float64
	// Refresh is the mean interval between reads of a ledger while no permit is
	// requested. The default is 5 min.
	Refresh time.Duration
	// BackoffMin and BackoffMax bound the wait after a platform error. The
	// defaults are 0.5 s and 30 s.
	BackoffMin, BackoffMax time.Duration
	// MaxPeers bounds the peers asked for one permit. The default is 3.
	MaxPeers int
	// Disabled lists the safety mechanisms that are switched off. It is for tests
	// only.
	Disabled Check
}

// OutputKind is the type of an output.
type OutputKind uint8

// Kinds of outputs.
const (
	// ReadLedger asks the driver to read the ledger and to call ReadDone.
	ReadLedger OutputKind = iota
	// WriteLedger asks the driver for a conditional update of the ledger and a call
	// of WriteDone.
	WriteLedger
	// RequestTransfer asks the driver to request a permit from a peer and to call
	// TransferDone.
	RequestTransfer
	// Granted reports that a permit is held for a backend server.
	Granted
	// Refused reports that no permit could be obtained.
	Refused
	// Revoked reports that the permit of a backend server is no longer valid.
	Revoked
)

// Output is an action or a result that the driver of a Holder must process.
type Output struct {
	Kind    OutputKind
	Service registry.ServiceID
	Backend registry.BackendID
	// Value and Version are set for WriteLedger.
	Value   []byte
	Version uint64
	// Peer and RequestID are set for RequestTransfer.
	Peer      registry.NodeID
	RequestID string
	// Permit is set for Granted and Revoked, and Position for Granted.
	Permit   string
	Position int
	Reason   string
}

// heldPermit is a permit that this node holds or has transferred to a peer.
type heldPermit struct {
	permit string
	// backend is the server that the permit is used for. It is empty while the
	// permit is reserved.
	backend registry.BackendID
	// recorded reports whether the ledger contains the current use.
	recorded bool
	// source is the peer that transferred the permit, and sourceRequest the id of
	// the request to it. source is empty once the ledger records the use.
	source        registry.NodeID
	sourceRequest string
	// confirmedAt is the time at which the last request that source confirmed was
	// sent.
	confirmedAt time.Time
	// renewalSentAt is the time at which the pending confirmation request was sent.
	renewalSentAt  time.Time
	renewalPending bool
	// transferredFor is the id of the request for which this node transferred the
	// permit to a peer, and transferredAt the time of the last response to it.
	transferredFor string
	transferredAt  time.Time
	position       int
}

// permitRequest is a pending request for a permit.
type permitRequest struct {
	// id is the permit id if the permit is created in the ledger, and the request
	// id if a peer is asked.
	id            string
	backend       registry.BackendID
	platformCalls int
	// peersOnly means that the ledger is no longer tried, for the reason in
	// peersReason.
	peersOnly   bool
	peersReason string
	peers       []registry.NodeID
	peersListed bool
	// askedPeer is the peer that was asked last, at askedAt.
	askedPeer    registry.NodeID
	awaitingPeer bool
	askedAt      time.Time
}

// serviceState holds the cached ledger, the permits and the requests of one
// service.
type serviceState struct {
	service     registry.ServiceID
	ledger      Ledger
	version     uint64
	readAt      time.Time
	ledgerValid bool
	held        map[string]*heldPermit
	requests    map[registry.BackendID]*permitRequest
	// reservationsWritten holds the ids of reservations that this process wrote or
	// may have written, because the response to the write was lost.
	reservationsWritten map[string]bool
	// released holds the ids of permits that must be removed from the ledger.
	released    map[string]bool
	callPending bool
	// pendingWrite is the ledger in the pending write.
	pendingWrite *Ledger
	// readBack requests one read despite the backoff, because the response to a
	// write was lost.
	readBack bool
	// dirty means that the ledger may need an update.
	dirty bool
	// paused means that the permits must be confirmed by a conditional update. A
	// read does not suffice, because its result may be stale.
	paused bool
	// pauses counts the pauses of the process, and pausesAtWrite is their number
	// at the start of the pending write. Only a write that started after the last
	// pause confirms the permits.
	pauses, pausesAtWrite int
	// nextRefresh is the time of the next read without a request. Before
	// conflictRetryAt, only a request or readBack leads to a platform call.
	nextRefresh, conflictRetryAt time.Time
	// missingSince holds the times at which nodes in the ledger were first found
	// not to be alive.
	missingSince map[registry.NodeID]time.Time
}

// Holder acquires, holds and transfers the ejection permits of one node.
type Holder struct {
	opts            Options
	self            NodeIncarnation
	services        map[registry.ServiceID]*serviceState
	out             []Output
	lastTick        time.Time
	platformBackoff time.Duration
	// platformRetryAt is the end of the backoff after a platform error.
	platformRetryAt time.Time
}

// NewHolder returns a holder without permits.
func NewHolder(o Options) *Holder {
	if o.Jitter == nil {
		o.Jitter = func() float64 { return 0.5 }
	}
	if o.Refresh <= 0 {
		o.Refresh = 5 * time.Minute
	}
	if o.BackoffMin <= 0 {
		o.BackoffMin = 500 * time.Millisecond
	}
	if o.BackoffMax <= 0 {
		o.BackoffMax = 30 * time.Second
	}
	if o.MaxPeers <= 0 {
		o.MaxPeers = 3
	}
	return &Holder{opts: o, self: NodeIncarnation{o.Node, o.Incarnation}, services: make(map[registry.ServiceID]*serviceState)}
}

func (h *Holder) enabled(c Check) bool { return h.opts.Disabled&c == 0 }

func (h *Holder) serviceState(now time.Time, id registry.ServiceID) *serviceState {
	st := h.services[id]
	if st == nil {
		st = &serviceState{
			service: id, held: make(map[string]*heldPermit), requests: make(map[registry.BackendID]*permitRequest),
			reservationsWritten: make(map[string]bool), released: make(map[string]bool),
			missingSince: make(map[registry.NodeID]time.Time),
			// The first read has a random delay, so that nodes that start
			// together do not call the platform at the same time.
			nextRefresh: now.Add(time.Duration(h.opts.Jitter() * float64(10*time.Second))),
		}
		h.services[id] = st
	}
	return st
}

// Track makes the holder maintain reservations for a service. The daemon calls
// it for the services of its backend servers.
func (h *Holder) Track(now time.Time, service registry.ServiceID) { h.serviceState(now, service) }

// TakeOutputs returns the outputs since the last call and clears them.
func (h *Holder) TakeOutputs() []Output {
	out := h.out
	h.out = nil
	return out
}

func (h *Holder) emit(o Output) { h.out = append(h.out, o) }

// detectPause marks all permits as unconfirmed if the process was paused since
// the last tick.
func (h *Holder) detectPause(now time.Time) {
	if h.lastTick.IsZero() || now.Sub(h.lastTick) <= pauseThreshold {
		return
	}
	h.lastTick = now
	if !h.enabled(CheckPause) {
		return
	}
	for _, st := range h.services {
		st.paused = true
		st.pauses++
		st.ledgerValid = false
	}
}

// Request asks for a permit to eject a backend server. The result is a Granted
// or Refused output. A permit that is already held for the server is granted
// again. If the process was paused, the permit is confirmed first.
func (h *Holder) Request(now time.Time, service registry.ServiceID, backend registry.BackendID) {
	h.detectPause(now)
	st := h.serviceState(now, service)
	if st.requests[backend] != nil {
		return
	}
	st.requests[backend] = &permitRequest{id: h.opts.NewID(), backend: backend}
	h.advance(now, st)
}

// Release releases the permit of a backend server and cancels its request.
func (h *Holder) Release(now time.Time, service registry.ServiceID, backend registry.BackendID) {
	h.detectPause(now)
	st := h.serviceState(now, service)
	delete(st.requests, backend)
	for _, p := range st.sortedPermits() {
		if p.backend != backend {
			continue
		}
		delete(st.held, p.permit)
		st.released[p.permit] = true
		st.dirty = true
	}
	h.advance(now, st)
}

// Tick runs the timers. The driver must call it regularly; a gap of more than
// pauseThreshold is treated as a pause.
func (h *Holder) Tick(now time.Time) {
	h.detectPause(now)
	h.lastTick = now
	for _, id := range slices.Sorted(maps.Keys(h.services)) {
		st := h.services[id]
		h.expireTransfers(now, st)
		h.advance(now, st)
	}
}

// sortedPermits returns the held permits by permit id, for deterministic results.
func (st *serviceState) sortedPermits() []*heldPermit {
	out := make([]*heldPermit, 0, len(st.held))
	for _, id := range slices.Sorted(maps.Keys(st.held)) {
		out = append(out, st.held[id])
	}
	return out
}

// sortedRequests returns the requests by backend server, for deterministic
// results.
func (st *serviceState) sortedRequests() []*permitRequest {
	out := make([]*permitRequest, 0, len(st.requests))
	for _, id := range slices.Sorted(maps.Keys(st.requests)) {
		out = append(out, st.requests[id])
	}
	return out
}

func (st *serviceState) permitFor(backend registry.BackendID) *heldPermit {
	for _, p := range st.held {
		if p.backend == backend && p.transferredFor == "" {
			return p
		}
	}
	return nil
}

// usableReservation returns a reserved permit within the allowance, or nil.
func (h *Holder) usableReservation(st *serviceState, view View) *heldPermit {
	for _, p := range st.sortedPermits() {
		if h.enabled(CheckPosition) && p.position > view.Allowance() {
			continue
		}
		if p.backend == "" && p.transferredFor == "" && p.recorded {
			return p
		}
	}
	return nil
}
