package ownership

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Reason says why an announcement was refused or a lease ended.
type Reason string

// Reasons of results and of lost leases.
const (
	// None: the announcement was accepted.
	None Reason = ""
	// NodeStopping: the node is shutting down and takes no backend servers.
	NodeStopping Reason = "node_stopping"
	// StaleIncarnation: a later start of the backend server holds the lease.
	StaleIncarnation Reason = "stale_incarnation"
	// StaleAnnouncement: the announcement may have been sent longer ago than a lease lasts, so
	// it grants nothing. The next one, a second later, does.
	StaleAnnouncement Reason = "stale_announcement"
	// StaleSequence: a later announcement of the same start arrived before.
	StaleSequence Reason = "stale_sequence"
	// AddressSuperseded: a later start of another backend server uses the address.
	AddressSuperseded Reason = "address_superseded"
	// InvalidAnnouncement: the announcement names no backend server or no service.
	InvalidAnnouncement Reason = "invalid_announcement"
	// Released: the backend server released its lease, a lease duration ago at most.
	Released Reason = "released"
	// LeaseLapsed: the lease was not renewed in time.
	LeaseLapsed Reason = "lease_lapsed"
)

// Options configures a Table. Zero values select the defaults.
type Options struct {
	// Lease is the duration of a lease; the default is registry.LeaseDuration.
	Lease time.Duration
	// MaxGap is the longest time between two calls of a running process; a longer
	// one means that the process was paused. The caller runs Tick several times
	// within it. A backend server that changes its owner waits for the lease, the
	// longest network delay and this time, because a shorter pause goes unnoticed.
	// The default is 500 ms.
	MaxGap time.Duration
	// SettleTime is the time after a gap in which announcements may have waited in a
	// receive buffer since before the gap. The default is 500 ms.
	SettleTime time.Duration
}

// Announcement is a backend server's statement that this node owns it.
type Announcement struct {
	Backend registry.BackendID
	Service registry.ServiceID
	// Address is the HTTP address (IP:port) of the backend server.
	Address string
	Slots   int
	Labels  map[string]string
	// Draining asks for no new work.
	Draining bool
	// Released ends the lease at once.
	Released bool
	// Incarnation is the start time of the backend server in unix milliseconds.
	// In a release, 0 means whichever start holds the lease.
	Incarnation uint64
	// Warmup is how much longer the backend server is slow after its start. If it is
	// not stated, the gate assumes the default of a cold start.
	Warmup       time.Duration
	WarmupStated bool
	// Sequence rises with each announcement of the same start; 0 if it is not known.
	Sequence uint64
	// ReportedInUse is the backend server's own count; it may lag or mislead.
	ReportedInUse int
	// LeaseFrom is the instant of this node's clock from which the lease counts.
	// Zero means the time of the call. A transport that can bound when the
	// announcement was sent passes that bound.
	LeaseFrom time.Time
}

// Result is the answer to an announcement.
type Result struct {
	// Accepted is set when the lease was granted, renewed or released.
	Accepted bool
	// Reason is set when the announcement was refused.
	Reason Reason
	// New is set when the node did not hold a lease for this start of the backend
	// server before; the backend server starts cold.
	New bool
	// Changed is set when the published record differs from the previous one.
	Changed bool
	// Expires is the end of the lease.
	Expires time.Time
	// Replaced is the lease of the backend server that had the address before, or nil.
	Replaced *EndedLease
}

// EndedLease is a lease that ended.
type EndedLease struct {
	Backend registry.BackendID
	Service registry.ServiceID
	Reason  Reason
}

// OwnedBackend is a backend server whose lease this node holds.
type OwnedBackend struct {
	Announcement
	// Since is when the current lease began without interruption.
	Since time.Time
	// Expires is the end of the lease unless it is renewed.
	Expires time.Time
}

// Table holds the leases of one node. It is safe for concurrent use.
type Table struct {
	opt Options

	mu       sync.Mutex
	leases   map[registry.BackendID]*lease
	released map[registry.BackendID]release
	stopping bool
	// last is the latest time of any call; beforeGap and resumed are the ends of
	// the last gap.
	last, beforeGap, resumed time.Time

	off mechanismsOff
}

// mechanismsOff disables mechanisms in tests, to show that the invariants
// detect their absence.
type mechanismsOff struct{ expiry, gap, released bool }

type lease struct {
	OwnedBackend
	// from is the instant from which the lease counts.
	from time.Time
}

// release remembers a released lease. The backend server may have a new owner at
// once, and an announcement that it sent before the release may still arrive.
type release struct {
	incarnation uint64
	at          time.Time
}

// New returns an empty table. The caller runs Tick once before the node accepts
// announcements, because a pause is noticed only after a first call.
func New(opt Options) *Table {
	opt.Lease = cmp.Or(opt.Lease, registry.LeaseDuration)
	opt.MaxGap = cmp.Or(opt.MaxGap, 500*time.Millisecond)
	opt.SettleTime = cmp.Or(opt.SettleTime, 500*time.Millisecond)
	return &Table{opt: opt, leases: make(map[registry.BackendID]*lease), released: make(map[registry.BackendID]release)}
}

// Announce grants, renews or releases the lease of a backend server. After a
// release, this node refuses the same start of the backend server for the duration
// of a lease.
func (t *Table) Announce(now time.Time, a Announcement) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	if a.Backend == "" || a.Service == "" && !a.Released {
		return Result{Reason: InvalidAnnouncement}
	}
	old := t.leases[a.Backend]
	if old != nil && t.lapsed(now, old) {
		old = nil // A renewal counts as new; otherwise Tick reports the loss.
	}
	if a.Released && a.Incarnation == 0 {
		// The sender names no start: the one that holds the lease, or any before now.
		a.Incarnation = uint64(now.UnixMilli())
		if old != nil {
			a.Incarnation = old.Incarnation
		}
	}
	if old != nil && a.Incarnation < old.Incarnation {
		return Result{Reason: StaleIncarnation}
	}
	if old != nil && a.Incarnation == old.Incarnation && a.Sequence > 0 && a.Sequence < old.Sequence {
		return Result{Reason: StaleSequence}
	}
	if a.Released {
		delete(t.leases, a.Backend)
		t.released[a.Backend] = release{a.Incarnation, now}
		return Result{Accepted: true, Changed: old != nil, Expires: now}
	}
	if t.stopping {
		return Result{Reason: NodeStopping}
	}
	if r, ok := t.released[a.Backend]; ok && a.Incarnation <= r.incarnation && elapsed(now, r.at) < t.opt.Lease && !t.off.released {
		return Result{Reason: Released}
	}
	from := t.leaseFrom(now, a)
	l := &lease{OwnedBackend: OwnedBackend{Announcement: a, Since: now, Expires: from.Add(t.opt.Lease)}, from: from}
	if t.lapsed(now, l) {
		return Result{Reason: StaleAnnouncement}
	}
	res := Result{Accepted: true, New: true, Changed: true}
	if other := t.sharesAddress(now, a); other != nil {
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
	return res
}

// sharesAddress returns another backend server that holds a lease at the address
// of an announcement. An address serves one backend server at a time, so the one
// that started later has it.
func (t *Table) sharesAddress(now time.Time, a Announcement) *lease {
	for id, l := range t.leases {
		if id != a.Backend && a.Address != "" && l.Address == a.Address && !t.lapsed(now, l) {
			return l
		}
	}
	return nil
}

// Drop ends the lease of a backend server without remembering a release, for one
// whose address was found to be in use by another. Its next announcement counts.
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

// leaseFrom returns the earliest instant at which the announcement may have been
// sent. An announcement that is read soon after a pause of the process may have
// been sent at any time since the pause began, and its sender may have moved to
// another node since, so its lease counts from the beginning of the pause.
func (t *Table) leaseFrom(now time.Time, a Announcement) time.Time {
	from := now
	if !a.LeaseFrom.IsZero() && a.LeaseFrom.Before(now) {
		from = a.LeaseFrom
	}
	if !t.off.gap && !t.resumed.IsZero() && now.Sub(t.resumed) < t.opt.SettleTime && t.beforeGap.Before(from) {
		from = t.beforeGap
	}
	return from
}

// observe notes the time of a call and detects a gap since the previous one.
func (t *Table) observe(now time.Time) {
	if t.last.IsZero() {
		t.last = now
		return
	}
	if elapsed(now, t.last) > t.opt.MaxGap {
		t.beforeGap, t.resumed = t.last, now
	}
	if now.After(t.last) {
		t.last = now
	}
}

// elapsed returns the larger of the monotonic and the wall-clock difference. The
// monotonic clock stands still while a VM is suspended; the wall clock does not.
func elapsed(now, since time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

func (t *Table) lapsed(now time.Time, l *lease) bool {
	return !t.off.expiry && elapsed(now, l.from) >= t.opt.Lease
}

// Holds reports whether this node holds the lease of the backend server. The
// caller checks it directly before each dispatch.
func (t *Table) Holds(now time.Time, id registry.BackendID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	l := t.leases[id]
	if l == nil || t.lapsed(now, l) {
		return false
	}
	if age := elapsed(now, l.from); age >= t.opt.Lease {
		invariant.Check(false, "ownership_lease_current", "backend server %s held %s after the lease began", id, age)
	}
	return true
}

// Tick removes lapsed leases and returns them, sorted by backend id.
func (t *Table) Tick(now time.Time) []EndedLease {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	var lost []EndedLease
	for id, l := range t.leases {
		if t.lapsed(now, l) {
			delete(t.leases, id)
			lost = append(lost, EndedLease{Backend: id, Service: l.Service, Reason: LeaseLapsed})
		}
	}
	for id, r := range t.released {
		if elapsed(now, r.at) >= t.opt.Lease {
			delete(t.released, id)
		}
	}
	slices.SortFunc(lost, func(a, b EndedLease) int { return cmp.Compare(a.Backend, b.Backend) })
	return lost
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

// ReleaseAll ends every lease and returns them, sorted by backend id.
func (t *Table) ReleaseAll() []EndedLease {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lost []EndedLease
	for id, l := range t.leases {
		lost = append(lost, EndedLease{Backend: id, Service: l.Service, Reason: Released})
	}
	clear(t.leases)
	slices.SortFunc(lost, func(a, b EndedLease) int { return cmp.Compare(a.Backend, b.Backend) })
	return lost
}

// sameRecord reports whether two announcements lead to the same published record.
func sameRecord(a, b Announcement) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Slots == b.Slots &&
		a.Draining == b.Draining && maps.Equal(a.Labels, b.Labels)
}
