package floor

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Errors of ledger operations. Test with errors.Is.
var (
	// ErrAllowance means that the service has no permit left.
	ErrAllowance = errors.New("no permit left above the floor")
	// ErrFenced means that the node's incarnation is older than its fence.
	ErrFenced = errors.New("incarnation is fenced")
	// ErrUnknownPermit means that the ledger does not list the permit.
	ErrUnknownPermit = errors.New("unknown permit")
	// ErrPermitTaken means that the permit belongs to another node or server.
	ErrPermitTaken = errors.New("permit is in use")
	// ErrReclaimTooEarly means that the holder has not been dead for
	// ReclaimAfterDead.
	ErrReclaimTooEarly = errors.New("holder has not been dead long enough")
)

const (
	// ReclaimAfterDead is how long a node must be dead in the view of another owner
	// before that owner may reclaim its permits.
	ReclaimAfterDead = 10 * time.Minute
	// reclaimQuarantine is how long a reclaimed reservation still counts. The
	// earlier holder may have transferred the permit during a platform outage. The
	// receiver records it within this time or stops using it (see transferTTL).
	reclaimQuarantine = 10 * time.Minute
)

// EntryState is the state of a permit in the ledger.
type EntryState string

// States of a permit in the ledger.
const (
	Reserved  EntryState = "reserved"
	Used      EntryState = "used"
	Reclaimed EntryState = "reclaimed"
)

// NodeIncarnation identifies one incarnation of a node.
type NodeIncarnation struct {
	Node        registry.NodeID `json:"node"`
	Incarnation uint64          `json:"incarnation"`
}

// Entry is one permit in the ledger.
type Entry struct {
	// Permit is the unique id of the operation that created the entry.
	Permit  string             `json:"permit"`
	State   EntryState         `json:"state"`
	Holder  NodeIncarnation    `json:"holder"`
	Backend registry.BackendID `json:"backend,omitempty"`
	// ReclaimedUnixMillis is the time of the reclaim by the writer's clock.
	ReclaimedUnixMillis int64 `json:"reclaimed_unix_millis,omitempty"`
}

// Ledger lists the permits of one service in the order in which they were
// created. Operations return a changed copy.
type Ledger struct {
	Entries []Entry `json:"entries"`
	// Fences holds the lowest incarnation of each node that may change the ledger.
	Fences map[registry.NodeID]uint64 `json:"fences,omitempty"`
}

// Parse decodes the value of a ledger object. An empty value is an empty ledger.
func Parse(value []byte) (Ledger, error) {
	var l Ledger
	if len(value) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(value, &l); err != nil {
		return Ledger{}, fault.New("parse ledger", "", err)
	}
	return l, nil
}

// Encode returns the JSON value of the ledger object.
func (l Ledger) Encode() []byte {
	b, err := json.Marshal(l)
	if err != nil {
		// Unreachable: all types of the ledger can be marshalled.
		panic(err)
	}
	return b
}

func (l Ledger) clone() Ledger {
	return Ledger{Entries: slices.Clone(l.Entries), Fences: maps.Clone(l.Fences)}
}

// Position returns the position of a permit, starting at 1, or 0 if the ledger
// does not list it. It never increases while the permit is listed.
func (l Ledger) Position(permit string) int {
	return l.index(permit) + 1
}

func (l Ledger) index(permit string) int {
	return slices.IndexFunc(l.Entries, func(e Entry) bool { return e.Permit == permit })
}

// Find returns the entry of a permit.
func (l Ledger) Find(permit string) (Entry, bool) {
	if i := l.index(permit); i >= 0 {
		return l.Entries[i], true
	}
	return Entry{}, false
}

// unrecorded returns the number of ejected servers in the view that have no
// entry. Their permit was transferred in an outage and is not yet written, or
// its reservation has been reclaimed since.
func (l Ledger) unrecorded(v View) int {
	n := len(v.Ejected)
	for _, e := range l.Entries {
		if e.Backend != "" && v.Ejected[e.Backend] {
			n--
		}
	}
	return max(0, n)
}

// Outstanding returns the number of permits that may be in use.
func (l Ledger) Outstanding(v View) int { return len(l.Entries) + l.unrecorded(v) }

func (l Ledger) checkFence(node NodeIncarnation) error {
	if node.Incarnation < l.Fences[node.Node] {
		return ErrFenced
	}
	return nil
}

// add appends an entry if the allowance permits it.
func (l Ledger) add(v View, e Entry, skipAllowance bool) (Ledger, error) {
	if err := l.checkFence(e.Holder); err != nil {
		return l, err
	}
	if old, ok := l.Find(e.Permit); ok {
		if old.Holder != e.Holder {
			return l, ErrPermitTaken
		}
		return l, nil
	}
	if !skipAllowance && l.Outstanding(v)+1 > v.Allowance() {
		return l, ErrAllowance
	}
	l = l.clone()
	l.Entries = append(l.Entries, e)
	invariant.Check(l.Outstanding(v) <= v.Allowance(), "ledger_allowance",
		"%d permits outstanding, allowance %d", l.Outstanding(v), v.Allowance())
	return l, nil
}

// Eject adds a permit for the ejection of a backend server. Repeating the
// operation with the same permit changes nothing.
func (l Ledger) Eject(v View, holder NodeIncarnation, permit string, backend registry.BackendID) (Ledger, error) {
	return l.add(v, Entry{Permit: permit, State: Used, Holder: holder, Backend: backend}, false)
}

// Reserve adds a permit that is held for later use.
func (l Ledger) Reserve(v View, holder NodeIncarnation, permit string) (Ledger, error) {
	return l.add(v, Entry{Permit: permit, State: Reserved, Holder: holder}, false)
}

// Release removes a permit. Releasing an unlisted permit changes nothing.
func (l Ledger) Release(permit string) Ledger {
	i := l.index(permit)
	if i < 0 {
		return l
	}
	l = l.clone()
	l.Entries = slices.Delete(l.Entries, i, i+1)
	return l
}

// Transfer records that a reserved permit is now used for a backend server,
// either by the holder itself or by the node that the holder transferred it to.
func (l Ledger) Transfer(holder NodeIncarnation, permit string, backend registry.BackendID) (Ledger, error) {
	if err := l.checkFence(holder); err != nil {
		return l, err
	}
	i := l.index(permit)
	if i < 0 {
		return l, ErrUnknownPermit
	}
	e := l.Entries[i]
	if e.State == Used {
		if e.Holder == holder && e.Backend == backend {
			return l, nil
		}
		return l, ErrPermitTaken
	}
	l = l.clone()
	l.Entries[i] = Entry{Permit: permit, State: Used, Holder: holder, Backend: backend}
	return l, nil
}

// Reclaim revokes the permits of an earlier incarnation of node and fences that
// incarnation. A used permit is removed. A reservation still counts for
// reclaimQuarantine, because it may have been transferred without a record. The
// caller is the node itself at a higher incarnation, or an owner in whose view
// the node has been dead for ReclaimAfterDead.
func (l Ledger) Reclaim(now time.Time, v View, by NodeIncarnation, node registry.NodeID) (Ledger, error) {
	if err := l.checkFence(by); err != nil {
		return l, err
	}
	fence := by.Incarnation
	if by.Node != node {
		n := v.Nodes[node]
		if n.Alive || n.DeadSince.IsZero() || now.Sub(n.DeadSince) < ReclaimAfterDead {
			return l, ErrReclaimTooEarly
		}
		fence = n.Incarnation + 1
		for _, e := range l.Entries {
			if e.Holder.Node == node {
				fence = max(fence, e.Holder.Incarnation+1)
			}
		}
	}
	l = l.clone()
	l.Entries = slices.DeleteFunc(l.Entries, func(e Entry) bool {
		return e.State == Used && e.Holder.Node == node && e.Holder.Incarnation < fence
	})
	for i, e := range l.Entries {
		if e.State == Reserved && e.Holder.Node == node && e.Holder.Incarnation < fence {
			l.Entries[i].State = Reclaimed
			l.Entries[i].ReclaimedUnixMillis = now.UnixMilli()
		}
	}
	if l.Fences == nil {
		l.Fences = make(map[registry.NodeID]uint64)
	}
	l.Fences[node] = max(l.Fences[node], fence)
	return l, nil
}

// ReclaimBackend removes the permit that an earlier owner used for a backend
// server. The new owner calls it. Its lease on the server proves that the
// earlier owner no longer decides about it.
func (l Ledger) ReclaimBackend(owner NodeIncarnation, backend registry.BackendID) Ledger {
	for _, e := range l.Entries {
		if e.State == Used && e.Backend == backend && e.Holder.Node != owner.Node {
			return l.Release(e.Permit)
		}
	}
	return l
}

// removeExpired removes reclaimed reservations whose quarantine has ended.
func (l Ledger) removeExpired(now time.Time) Ledger {
	expired := func(e Entry) bool {
		return e.State == Reclaimed && now.Sub(time.UnixMilli(e.ReclaimedUnixMillis)) >= reclaimQuarantine
	}
	if !slices.ContainsFunc(l.Entries, expired) {
		return l
	}
	l = l.clone()
	l.Entries = slices.DeleteFunc(l.Entries, expired)
	return l
}
