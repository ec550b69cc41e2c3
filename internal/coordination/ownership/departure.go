package ownership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/pause"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Departure records that a backend server leaves or has left. An announcement that the
// backend server sent before may arrive seconds later, also after the owner process has
// been restarted, and must not bring the backend server back.
type Departure struct {
	Backend registry.BackendID
	// Incarnation is the start of the backend server that leaves.
	Incarnation uint64
	// Sequence is that of the announcement with which the backend server began to drain.
	// Earlier announcements of the same start are outdated. After a release it is the
	// highest number, because all announcements are.
	Sequence uint64
	// At is when the departure was acknowledged.
	At time.Time
}

// releasedSequence is the sequence of a departure by release.
const releasedSequence = math.MaxUint64

// Released reports whether the backend server has left, rather than begun to drain.
func (d Departure) Released() bool { return d.Sequence == releasedSequence }

// supersedes reports whether d makes the announcement outdated.
func (d Departure) supersedes(a Announcement) bool {
	if a.Incarnation != d.Incarnation {
		return a.Incarnation < d.Incarnation
	}
	return d.Released() || !a.Draining && a.Sequence > 0 && a.Sequence <= d.Sequence
}

// An announcement confirms an earlier one if it arrives confirmInterval or more after the response
// to the first one, and confirmGap or more after the response to the latest one. Announcements
// that were delayed together arrive together, or each after the response to the one before.
const (
	confirmInterval = 500 * time.Millisecond
	confirmGap      = 250 * time.Millisecond
)

// unconfirmed stands for the announcements of a start of a backend server that may have been sent
// before this process started.
type unconfirmed struct {
	// sequence is the highest one.
	incarnation, sequence uint64
	// first and latest are when this process responded to them.
	first, latest time.Time
}

// confirmed reports whether a backend server that may have left before this process started has
// not left: it has sent a further announcement since this process responded to one. The
// announcement arrived at the time arrival, or earlier if that is not known, and is responded to
// now.
func (t *Table) confirmed(now, arrival time.Time, a Announcement) bool {
	seen, ok := t.unconfirmed[a.Backend]
	switch {
	case ok && a.Incarnation < seen.incarnation:
		return false
	case !ok || a.Incarnation > seen.incarnation:
		seen = unconfirmed{incarnation: a.Incarnation, first: now}
	case a.Sequence > seen.sequence && pause.Elapsed(arrival, seen.first) >= confirmInterval && pause.Elapsed(arrival, seen.latest) >= confirmGap:
		return true
	}
	seen.sequence, seen.latest = max(seen.sequence, a.Sequence), now
	t.unconfirmed[a.Backend] = seen
	return false
}

// mayLackDepartures reports whether earlier processes of this node may have acknowledged departures
// that this process does not know.
func (t *Table) mayLackDepartures(now time.Time) bool {
	return t.awaitRecall || now.Before(t.completeFrom)
}

// Recall adds departures that earlier processes of this node have acknowledged. The table knows
// all of them from the time completeFrom on, or from now on if it is zero. Recall returns the
// leases that were granted although the backend servers have left, sorted by backend id.
func (t *Table) Recall(now time.Time, list []Departure, completeFrom time.Time) []EndedLease {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range list {
		if known, ok := t.departures[d.Backend]; !ok || known.Incarnation < d.Incarnation ||
			known.Incarnation == d.Incarnation && known.Sequence < d.Sequence {
			t.departures[d.Backend] = d
		}
	}
	t.awaitRecall, t.completeFrom = false, completeFrom
	if !t.mayLackDepartures(now) {
		clear(t.unconfirmed)
	}
	t.expireDepartures(now)
	var ended []EndedLease
	for id, l := range t.leases {
		if d, ok := t.departures[id]; ok && d.supersedes(l.Announcement) {
			delete(t.leases, id)
			ended = append(ended, EndedLease{Backend: id, Service: l.Service, Reason: Released})
		}
	}
	slices.SortFunc(ended, func(a, b EndedLease) int { return cmp.Compare(a.Backend, b.Backend) })
	return ended
}

// Departures returns the departures that a later process of this node must know, sorted
// by backend id.
func (t *Table) Departures(now time.Time) []Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireDepartures(now)
	list := make([]Departure, 0, len(t.departures))
	for _, d := range t.departures {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b Departure) int { return cmp.Compare(a.Backend, b.Backend) })
	return list
}

// depart records the departure that an accepted announcement states, if any. It reports
// false if the departure is known already. A release adds nothing to a drain whose
// sequence tells outdated announcements apart: the later ones ask for no work.
func (t *Table) depart(now time.Time, a Announcement) bool {
	known, leaving := t.departures[a.Backend]
	leaving = leaving && known.Incarnation == a.Incarnation
	switch {
	case a.Released:
		t.departures[a.Backend] = Departure{a.Backend, a.Incarnation, releasedSequence, now}
		return !leaving
	case a.Draining && a.Sequence > 0 && !leaving:
		t.departures[a.Backend] = Departure{a.Backend, a.Incarnation, a.Sequence, now}
		return true
	case !a.Draining && leaving:
		delete(t.departures, a.Backend) // It remains in service after all.
	}
	return false
}

// expireDepartures removes the departures whose outdated announcements have arrived.
func (t *Table) expireDepartures(now time.Time) {
	for id, d := range t.departures {
		if l := t.leases[id]; l != nil && l.Draining && l.Incarnation == d.Incarnation {
			continue
		}
		if pause.Elapsed(now, d.At) >= t.opt.KeepDepartures {
			delete(t.departures, id)
		}
	}
}
