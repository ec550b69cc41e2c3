package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter/gen"

	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

var t0 = time.Unix(1_700_000_000, 0)

func announcement() Announcement {
	return Announcement{Backend: "b1", Service: "booking", Address: "127.0.0.1:9000", Slots: 5, Incarnation: 7}
}

const (
	step     = 50 * time.Millisecond
	maxDelay = 4 * step
)

// owner is a node of the simulation. A paused owner runs nothing, and messages that
// arrive during the pause wait in its receive buffer.
type owner struct {
	table  *Table
	inbox  []message
	paused time.Time // end of the pause
}

type message struct {
	arrival time.Time
	release int // number of the move that the release belongs to, or 0
}

// simulate moves one backend server between two owners and returns an error if
// both hold it at once. Each byte of the script is one step of 50 ms.
func simulate(script []uint8, disabled disabledMechanisms) error {
	owners := [2]*owner{{table: New(Options{})}, {table: New(Options{})}}
	for _, o := range owners {
		o.table.disabled = disabled
		o.table.Tick(t0)
	}
	current, moves, now, lastSent, nextSend := 0, 0, t0, t0, t0
	for i, op := range script {
		now = now.Add(step)
		switch {
		case op < 8: // Pause an owner for up to 8 s.
			owners[op%2].paused = now.Add(time.Duration(script[(i+1)%len(script)]) * 32 * time.Millisecond)
		case op < 16: // The backend server moves to the other owner, with or without a release.
			moves++
			if op < 12 {
				owners[current].inbox = append(owners[current].inbox, message{now.Add(time.Duration(op%4) * step), moves})
			}
			current = 1 - current
			nextSend = lastSent.Add(registry.LeaseDuration + maxDelay + 600*time.Millisecond)
		}
		if !now.Before(nextSend) {
			owners[current].inbox = append(owners[current].inbox, message{now.Add(time.Duration(op%4) * step), 0})
			lastSent, nextSend = now, now.Add(time.Second)
		}
		holders := 0
		for _, o := range owners {
			if now.Before(o.paused) {
				continue
			}
			if op%3 == 0 { // Tick may run before or after the receive buffer is read.
				o.table.Tick(now)
			}
			o.inbox = slices.DeleteFunc(o.inbox, func(m message) bool {
				if m.arrival.After(now) {
					return false
				}
				a := announcement()
				a.Released = m.release > 0
				if o.table.Announce(now, a).Accepted && m.release == moves && nextSend.After(now) {
					nextSend = now
				}
				return true
			})
			o.table.Tick(now)
			if o.table.Holds(now, "b1") {
				holders++
			}
		}
		if holders > 1 {
			return fmt.Errorf("step %d: two owners hold the backend server", i)
		}
	}
	return nil
}

// Guards against two owners of one backend server at the same time, under any
// combination of pauses, delays and moves.
func TestOneOwnerAtATime(t *testing.T) {
	proptest.Check(t, 300, "at most one owner holds the lease", func(script []uint8) string {
		return proptest.Result(simulate(script, disabledMechanisms{}))
	}, gen.SliceOfN(800, gen.UInt8()))
}

// Checks that disabling a mechanism violates an invariant or leads to two owners in the
// simulation.
func TestInvariantsDetectMissingMechanisms(t *testing.T) {
	proptest.ExpectViolation(t, "ownership_lease_current", func() {
		table := New(Options{})
		table.disabled.expiry = true
		table.Announce(t0, announcement())
		table.Holds(t0.Add(registry.LeaseDuration), "b1")
	})
	rng := proptest.Rand(t)
	script := make([]uint8, 1200)
	for _, disabled := range []disabledMechanisms{{pause: true}, {released: true}} {
		runs := 0
		for ; runs < 1000 && simulate(script, disabled) == nil; runs++ {
			for i := range script {
				script[i] = uint8(rng.UintN(256))
			}
		}
		if runs == 1000 {
			t.Errorf("without a mechanism (%+v), no run led to two owners", disabled)
		}
		clear(script)
	}
}

// Guards against a lease that is held for longer than its duration.
func TestLease(t *testing.T) {
	table := New(Options{})
	res := table.Announce(t0, announcement())
	if !res.Accepted || !res.New || !res.Changed || res.Expires.Sub(t0) != registry.LeaseDuration {
		t.Fatalf("first announcement: %+v", res)
	}
	for now := t0; now.Before(res.Expires); now = now.Add(200 * time.Millisecond) {
		if ended := table.Tick(now); len(ended) != 0 || !table.Holds(now, "b1") {
			t.Fatalf("after %s: ended %v", now.Sub(t0), ended)
		}
	}
	if table.Holds(res.Expires, "b1") {
		t.Error("held at the end of the lease")
	}
	if got := fmt.Sprint(table.Tick(res.Expires)); got != "[{b1 booking lease_lapsed}]" {
		t.Errorf("ended %s", got)
	}
}

// Guards against wrong results of announcements.
func TestAnnounce(t *testing.T) {
	with := func(change func(*Announcement)) Announcement {
		a := announcement()
		change(&a)
		return a
	}
	cases := []struct {
		name string
		a    Announcement
		want Result
	}{
		{"renewal", announcement(), Result{Accepted: true}},
		{"drain", with(func(a *Announcement) { a.Draining = true }), Result{Accepted: true, Changed: true, Departed: true}},
		{"restart", with(func(a *Announcement) { a.Incarnation = 8 }), Result{Accepted: true, New: true, Changed: true}},
		{"release", with(func(a *Announcement) { a.Released = true }), Result{Accepted: true, Changed: true, Departed: true, DepartureChanged: true}},
		{"earlier start", with(func(a *Announcement) { a.Released, a.Incarnation = true, 6 }), Result{Reason: StaleIncarnation}},
		{"no service", with(func(a *Announcement) { a.Service = "" }), Result{Reason: InvalidAnnouncement}},
		{"sent a lease duration ago", with(func(a *Announcement) {
			a.Backend, a.LeaseFrom = "b2", t0.Add(-registry.LeaseDuration)
		}), Result{Reason: StaleAnnouncement}},
	}
	for _, c := range cases {
		table := New(Options{})
		table.Announce(t0, announcement())
		got := table.Announce(t0, c.a)
		got.Expires = time.Time{}
		if got != c.want || table.Holds(t0, "b1") == (c.name == "release") {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	table := New(Options{})
	table.Announce(t0, with(func(a *Announcement) { a.Released = true }))
	if res := table.Announce(t0.Add(registry.LeaseDuration-1), announcement()); res.Reason != Released {
		t.Errorf("announcement from before the release: %+v", res)
	}
	table = New(Options{})
	first := table.Announce(t0, announcement())
	delayed := with(func(a *Announcement) { a.LeaseFrom = t0.Add(-time.Second) })
	if res := table.Announce(t0, delayed); res.Expires != first.Expires {
		t.Errorf("a delayed announcement moved the end of the lease to %s", res.Expires.Sub(t0))
	}
	table.Stop()
	if res := table.Announce(t0, announcement()); res.Reason != NodeStopping || !table.Holds(t0, "b1") {
		t.Errorf("announcement to a stopping node: %+v", res)
	}
	if ended := table.ReleaseAll(); len(ended) != 1 || len(table.Owned()) != 0 {
		t.Errorf("released %v", ended)
	}
}

// Guards against three faults: a release without an incarnation is refused, a delayed
// announcement overrides a newer one, or two backend servers hold leases at one address.
func TestOneLeasePerAddress(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	table := New(Options{Lease: 10 * time.Second, MaxGap: time.Hour})
	announce := func(a Announcement) Result {
		now = now.Add(100 * time.Millisecond)
		return table.Announce(now, a)
	}
	old := Announcement{Backend: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 5, Incarnation: 100, Sequence: 7}
	if res := announce(old); !res.New {
		t.Fatalf("first announcement: %+v", res)
	}
	late := old
	late.Sequence = 6
	if res := announce(late); res.Reason != StaleSequence {
		t.Fatalf("late announcement: %+v", res)
	}
	earlier := Announcement{Backend: "i-0", Service: "other", Address: old.Address, Slots: 5, Incarnation: 50}
	if res := announce(earlier); res.Reason != AddressSuperseded {
		t.Fatalf("announcement of a backend server that started earlier: %+v", res)
	}
	next := Announcement{Backend: "i-2", Service: "other", Address: old.Address, Slots: 5, Incarnation: 200}
	if res := announce(next); !res.New || res.Replaced == nil || res.Replaced.Backend != "i-1" {
		t.Fatalf("announcement of the next backend server: %+v", res)
	}
	if table.Holds(now, "i-1") || !table.Holds(now, "i-2") {
		t.Fatal("the address belongs to the backend server that started last")
	}
	if service, ok := table.Service("i-2"); !ok || service != "other" {
		t.Fatalf("service %q, %v", service, ok)
	}
	if res := announce(Announcement{Backend: "i-2", Released: true}); !res.Accepted || table.Holds(now, "i-2") {
		t.Fatalf("release without an incarnation: %+v", res)
	}
	if res := announce(next); res.Reason != Released {
		t.Fatalf("announcement after the release: %+v", res)
	}
	restarted := next
	restarted.Incarnation = uint64(now.UnixMilli()) + 1
	if res := announce(restarted); !res.New {
		t.Fatalf("announcement of the next start: %+v", res)
	}
	if _, ok := table.Drop("i-2"); !ok || table.Holds(now, "i-2") {
		t.Fatal("a dropped lease is held")
	}
	if res := announce(restarted); !res.New {
		t.Fatalf("announcement after a dropped lease: %+v", res)
	}
}
