package ownership

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/pause"
	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Reason is the machine-readable reason why an announcement was refused or a lease
// ended.
type Reason string

// Reasons of a Result and of an EndedLease.
const (
	// None: the announcement was accepted.
	None Reason = ""
	// NodeStopping: the node is shutting down and accepts no backend servers.
	NodeStopping Reason = "node_stopping"
	// StaleIncarnation: a later start of the backend server holds the lease.
	StaleIncarnation Reason = "stale_incarnation"
	// StaleAnnouncement: the announcement may have been sent longer ago than a lease
	// lasts, so it grants no lease. The next announcement, a second later, grants one.
	StaleAnnouncement Reason = "stale_announcement"
	// StaleSequence: a later announcement of the same start arrived earlier.
	StaleSequence Reason = "stale_sequence"
	// AddressSuperseded: a later start of another backend server uses the address.
	AddressSuperseded Reason = "address_superseded"
	// InvalidAnnouncement: the announcement names no backend server or no service.
	InvalidAnnouncement Reason = "invalid_announcement"
	// Released: the backend server has released its lease.
	Released Reason = "released"
	// HistoryUnknown: the backend server may have left before this process started. A later
	// announcement is accepted, see confirmed.
	HistoryUnknown Reason = "history_unknown"
	// LeaseLapsed: the lease was not renewed in time.
	LeaseLapsed Reason = "lease_lapsed"
)

// Options configures a Table. Zero values select the defaults.
type Options struct {
	// Lease is the duration of a lease; the default is registry.LeaseDuration.
	Lease time.Duration
	// MaxGap is the longest time between two calls while the process runs. A longer
	// gap means that the process was paused. The caller must therefore run Tick several
	// times within this time. Shorter pauses are not detected, so a backend server that
	// changes its owner waits for the sum of the lease duration, the longest network
	// delay and this time. The default is 500 ms.
	MaxGap time.Duration
	// SettleTime is the time after a pause during which the node may still read
	// announcements that arrived before the end of the pause and waited in a receive
	// buffer. The default is 500 ms.
	SettleTime time.Duration
	// KeepDepartures is how long after a departure outdated announcements may still
	// arrive. The default is Lease: a backend server that changes its owner may return
	// then.
	KeepDepartures time.Duration
	// AwaitRecall is set if earlier processes of the node may have acknowledged
	// departures. Until Recall has told all of them, an announcement grants a lease only if
	// it confirms an earlier one.
	AwaitRecall bool
}

// Announcement is the message with which a backend server tells this node that the
// node owns it.
type Announcement struct {
	Backend registry.BackendID
	Service registry.ServiceID
	// Address is the HTTP address (IP:port) of the backend server.
	Address string
	Slots   int
	Labels  map[string]string
	// Draining asks for no new requests.
	Draining bool
	// Released ends the lease at once.
	Released bool
	// Incarnation is the start time of the backend server in unix milliseconds.
	// In a release, 0 stands for the start that holds the lease.
	Incarnation uint64
	// Warmup is how much longer the backend server is slow after its start. If
	// WarmupStated is not set, admission control assumes the default of a cold start.
	Warmup       time.Duration
	WarmupStated bool
	// Sequence rises with each announcement of the same start; 0 if it is not known.
	Sequence uint64
	// ReportedInUse is the number of slots in use as counted by the backend server. It
	// may be outdated or wrong.
	ReportedInUse int
	// LeaseFrom is the time on this node's clock from which the lease counts. Zero
	// stands for the time of the call. A transport that knows a lower bound for the
	// time at which the announcement was sent passes this bound.
	LeaseFrom time.Time
}

// Result is the response to an announcement.
type Result struct {
	// Accepted is set when the lease was granted, renewed or released.
	Accepted bool
	// Reason is set when the announcement was refused.
	Reason Reason
	// New is set when the node did not yet hold a lease for this start of the backend
	// server. The backend server then starts cold.
	New bool
	// Changed is set when the published record differs from the previous one.
	Changed bool
	// Expires is the end of the lease.
	Expires time.Time
	// Departed is set when the acknowledgment of this announcement also binds later
	// processes of this node; see Departures. DepartureChanged is set when they do not know
	// the departure from an earlier announcement.
	Departed, DepartureChanged bool
	// Unstored is set by the caller if the departure does not bind later processes yet. The
	// announcement must not be acknowledged then.
	Unstored bool
	// Replaced is the lease of the backend server that had the address before, or nil.
	Replaced *EndedLease
}

// EndedLease describes a lease that has ended.
type EndedLease struct {
	Backend registry.BackendID
	Service registry.ServiceID
	Reason  Reason
}

// OwnedBackend is a backend server whose lease this node holds.
type OwnedBackend struct {
	Announcement
	// Since is the time from which the lease has been held without interruption.
	Since time.Time
	// Expires is the end of the lease unless it is renewed.
	Expires time.Time
}

// Table holds the leases of one node. It is safe for concurrent use.
type Table struct {
	opt Options

	mu          sync.Mutex
	leases      map[registry.BackendID]*lease
	departures  map[registry.BackendID]Departure
	awaitRecall bool
	// completeFrom is when all departures of earlier processes are known; zero after a
	// recall that told all of them.
	completeFrom time.Time
	unconfirmed  map[registry.BackendID]unconfirmed
	stopping     bool
	// lastCall is the latest time passed to any call. pauseStart and pauseEnd delimit
	// the latest pause of the process.
	lastCall, pauseStart, pauseEnd time.Time

	disabled disabledMechanisms
}

// disabledMechanisms switches mechanisms off in tests, which show that the invariants detect
// their absence.
type disabledMechanisms struct{ expiry, pause, released bool }

type lease struct {
	OwnedBackend
	// from is the time from which the lease counts.
	from time.Time
}

// New returns an empty table. The caller runs Tick once before the node accepts
// announcements, because pauses are detected only from the first call on.
func New(opt Options) *Table {
	opt.Lease = cmp.Or(opt.Lease, registry.LeaseDuration)
	opt.MaxGap = cmp.Or(opt.MaxGap, 500*time.Millisecond)
	opt.SettleTime = cmp.Or(opt.SettleTime, 500*time.Millisecond)
	opt.KeepDepartures = cmp.Or(opt.KeepDepartures, opt.Lease)
	return &Table{
		opt: opt, awaitRecall: opt.AwaitRecall, leases: make(map[registry.BackendID]*lease),
		departures: make(map[registry.BackendID]Departure), unconfirmed: make(map[registry.BackendID]unconfirmed),
	}
}

// Announce grants, renews or releases the lease of a backend server. After a
// departure, this node refuses announcements that the backend server sent before it.
func (t *Table) Announce(now time.Time, a Announcement) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detectPause(now)
	if a.Backend == "" || a.Service == "" && !a.Released {
		return Result{Reason: InvalidAnnouncement}
	}
	old := t.leases[a.Backend]
	if old != nil && t.lapsed(now, old) {
		old = nil // A renewal now counts as a new lease. Without one, Tick reports the end.
	}
	if a.Released && a.Incarnation == 0 {
		// The sender names no start. The release applies to the start that holds the
		// lease or, if there is none, to any start before now.
		a.Incarnation = uint64(now.UnixMilli())
		if old != nil {
			a.Incarnation = old.Incarnation
		}
	}
	if old != nil && a.Incarnation < old.Incarnation {
		return Result{Reason: StaleIncarnation}
	}
	if old != nil && a.Incarnation == old.Incarnation && a.Sequence > 0 && a.Sequence < old.Sequence {
		return Result{Reason: StaleSequence, Departed: a.Draining}
	}
	if a.Released {
		delete(t.leases, a.Backend)
		return Result{Accepted: true, Changed: old != nil, Expires: now, Departed: true, DepartureChanged: t.depart(now, a)}
	}
	if t.stopping {
		return Result{Reason: NodeStopping}
	}
	if d, ok := t.departures[a.Backend]; ok && d.supersedes(a) && pause.Elapsed(now, d.At) < t.opt.KeepDepartures && !t.disabled.released {
		if d.Released() {
			return Result{Reason: Released, Departed: a.Draining}
		}
		return Result{Reason: StaleSequence, Departed: a.Draining}
	}
	from := t.leaseFrom(now, a)
	if t.mayLackDepartures(now) && old == nil && !a.Draining && !t.confirmed(now, from, a) {
		return Result{Reason: HistoryUnknown}
	}
	l := &lease{OwnedBackend: OwnedBackend{Announcement: a, Since: now, Expires: from.Add(t.opt.Lease)}, from: from}
	if t.lapsed(now, l) {
		return Result{Reason: StaleAnnouncement, Departed: a.Draining, DepartureChanged: a.Draining && t.depart(now, a)}
	}
	res := Result{Accepted: true, New: true, Changed: true}
	if other := t.leaseAtAddress(now, a); other != nil {
		if a.Incarnation < other.Incarnation {
			return Result{Reason: AddressSuperseded}
		}
		delete(t.leases, other.Backend)
		res.Replaced = &EndedLease{Backend: other.Backend, Service: other.Service, Reason: AddressSuperseded}
	}
	if old != nil {
		if old.Expires.After(l.Expires) {
			l.from, l.Expires = old.from, old.Expires
		}
		if a.Incarnation == old.Incarnation {
			l.Since = old.Since
			res.New = false
			res.Changed = !sameRecord(old.Announcement, a)
		}
	}
	t.leases[a.Backend] = l
	res.Expires = l.Expires
	res.Departed, res.DepartureChanged = a.Draining, t.depart(now, a)
	return res
}

// leaseAtAddress returns another backend server that holds a lease at the address
// of an announcement. Only one backend server can use an address at a time, so it
// belongs to the one that started later.
func (t *Table) leaseAtAddress(now time.Time, a Announcement) *lease {
	for id, l := range t.leases {
		if id != a.Backend && a.Address != "" && l.Address == a.Address && !t.lapsed(now, l) {
			return l
		}
	}
	return nil
}

// Drop ends the lease of a backend server whose address was found to be in use by
// another one. No release is recorded, so its next announcement is accepted.
func (t *Table) Drop(id registry.BackendID) (EndedLease, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leases[id]
	if l == nil {
		return EndedLease{}, false
	}
	delete(t.leases, id)
	return EndedLease{Backend: id, Service: l.Service, Reason: AddressSuperseded}, true
}

// Service returns the service of a backend server whose lease is held.
func (t *Table) Service(id registry.BackendID) (registry.ServiceID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leases[id]
	if l == nil {
		return "", false
	}
	return l.Service, true
}

// leaseFrom returns the earliest time at which the announcement may have been sent. An
// announcement that is read soon after a pause of the process may have been sent at any
// time since the pause began, and its sender may have moved to another node since then.
// Its lease therefore counts from the beginning of the pause.
func (t *Table) leaseFrom(now time.Time, a Announcement) time.Time {
	from := now
	if !a.LeaseFrom.IsZero() && a.LeaseFrom.Before(now) {
		from = a.LeaseFrom
	}
	if !t.disabled.pause && !t.pauseEnd.IsZero() && now.Sub(t.pauseEnd) < t.opt.SettleTime && t.pauseStart.Before(from) {
		from = t.pauseStart
	}
	return from
}

// detectPause records the time of a call and detects a pause since the previous one.
func (t *Table) detectPause(now time.Time) {
	if t.lastCall.IsZero() {
		t.lastCall = now
		return
	}
	if pause.Elapsed(now, t.lastCall) > t.opt.MaxGap {
		t.pauseStart, t.pauseEnd = t.lastCall, now
	}
	if now.After(t.lastCall) {
		t.lastCall = now
	}
}

func (t *Table) lapsed(now time.Time, l *lease) bool {
	return !t.disabled.expiry && pause.Elapsed(now, l.from) >= t.opt.Lease
}

// Holds reports whether this node holds the lease of the backend server. The
// caller checks it directly before each dispatch.
func (t *Table) Holds(now time.Time, id registry.BackendID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detectPause(now)
	l := t.leases[id]
	if l == nil || t.lapsed(now, l) {
		return false
	}
	if age := pause.Elapsed(now, l.from); age >= t.opt.Lease {
		invariant.Check(false, "ownership_lease_current", "backend server %s held %s after the lease began", id, age)
	}
	return true
}

// Tick removes lapsed leases and returns them, sorted by backend id.
func (t *Table) Tick(now time.Time) []EndedLease {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detectPause(now)
	var ended []EndedLease
	for id, l := range t.leases {
		if t.lapsed(now, l) {
			delete(t.leases, id)
			ended = append(ended, EndedLease{Backend: id, Service: l.Service, Reason: LeaseLapsed})
		}
	}
	t.expireDepartures(now)
	slices.SortFunc(ended, func(a, b EndedLease) int { return cmp.Compare(a.Backend, b.Backend) })
	return ended
}

// Owned returns the backend servers of the table sorted by id. Leases that have
// lapsed since the last Tick are included.
func (t *Table) Owned() []OwnedBackend {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]OwnedBackend, 0, len(t.leases))
	for _, l := range t.leases {
		list = append(list, l.OwnedBackend)
	}
	slices.SortFunc(list, func(a, b OwnedBackend) int { return cmp.Compare(a.Backend, b.Backend) })
	return list
}

// Stop refuses all further announcements except releases. Leases that are held
// stay valid until they lapse or ReleaseAll is called.
func (t *Table) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
}

// ReleaseAll ends all leases and returns them, sorted by backend id.
func (t *Table) ReleaseAll() []EndedLease {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []EndedLease
	for id, l := range t.leases {
		ended = append(ended, EndedLease{Backend: id, Service: l.Service, Reason: Released})
	}
	clear(t.leases)
	slices.SortFunc(ended, func(a, b EndedLease) int { return cmp.Compare(a.Backend, b.Backend) })
	return ended
}

// sameRecord reports whether two announcements result in the same published record.
func sameRecord(a, b Announcement) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Slots == b.Slots &&
		a.Draining == b.Draining && maps.Equal(a.Labels, b.Labels)
}
