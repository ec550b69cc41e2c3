package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter/gen"

	"wigeonspring.example/wigeonspring/internal/proptest"
)

// simulateDepartures lets one backend server announce itself, drain and leave, while its
// announcements are delayed by up to 3 s and the process of its owner is restarted. It
// returns an error if the backend server may get work after its leaving was acknowledged.
// Each byte of the script is one step of 50 ms.
func simulateDepartures(script []uint8, forget bool) error {
	type delayed struct {
		Announcement
		arrival time.Time
	}
	options := Options{Lease: 10 * time.Second, MaxGap: time.Hour, KeepDepartures: time.Minute, AwaitRecall: true}
	now := t0
	table := New(options)
	table.Recall(now, nil, time.Time{})
	a := announcement()
	var inbox []delayed
	var recallAt time.Time
	var stored []Departure
	leaving, unacknowledged := false, false
	for i, op := range script {
		now = now.Add(step)
		a.Sequence++
		switch {
		case op < 100:
			if !a.Released {
				inbox = append(inbox, delayed{a, now.Add(time.Duration(op%60) * step)})
			}
		case op < 110 && i > len(script)/2 && !a.Released:
			a.Draining, unacknowledged = true, true
		case op < 115 && i > len(script)/2:
			a.Released, unacknowledged = true, true
		case op < 125:
			table, recallAt = New(options), now.Add(time.Duration(op%8)*step)
		}
		if !recallAt.IsZero() && !now.Before(recallAt) {
			table.Recall(now, stored, time.Time{})
			recallAt = time.Time{}
		}
		sent := append([]delayed{}, inbox...)
		inbox = nil
		if unacknowledged {
			sent = append(sent, delayed{a, now})
		}
		for _, m := range sent {
			if m.arrival.After(now) {
				inbox = append(inbox, m)
				continue
			}
			res := table.Announce(now, m.Announcement)
			if res.Accepted && (m.Draining || m.Released) {
				leaving, unacknowledged = true, false
			}
			if res.DepartureChanged && !forget {
				stored = table.Departures(now)
			}
		}
		for _, o := range table.Owned() {
			if leaving && !o.Draining {
				return fmt.Errorf("step %d: in service after its leaving was acknowledged", i)
			}
		}
	}
	return nil
}

// Guards against a backend server that is in service again after its leaving was
// acknowledged, under any combination of late announcements and restarts of its owner.
func TestDepartureBindsRestartedOwner(t *testing.T) {
	check := func(forget bool) func([]uint8) string {
		return func(script []uint8) string { return proptest.Result(simulateDepartures(script, forget)) }
	}
	proptest.Check(t, 300, "a backend server that leaves gets no work", check(false), gen.SliceOfN(300, gen.UInt8()))
	script := make([]uint8, 300)
	for i := range script {
		script[i] = 99 // A late announcement in each step.
	}
	script[200], script[210] = 112, 122 // It leaves, and its owner is restarted.
	if simulateDepartures(script, true) == nil {
		t.Error("the simulation does not notice that departures are forgotten")
	}
}

// Guards against a late announcement that is taken for a sign of life while the departures
// cannot be read, and against a backend server that stays out of service until then.
func TestAnnouncementIsConfirmedWithoutHistory(t *testing.T) {
	table := New(Options{MaxGap: time.Hour, AwaitRecall: true})
	a := announcement()
	for _, c := range []struct {
		sequence uint64
		after    time.Duration
		want     Reason
	}{
		{4, 0, HistoryUnknown},
		{4, time.Second, HistoryUnknown},
		{5, 1100 * time.Millisecond, HistoryUnknown}, // Delayed together with the one before.
		{5, 1500 * time.Millisecond, HistoryUnknown}, // The same one again.
		{6, 1749 * time.Millisecond, HistoryUnknown},
		{7, 2 * time.Second, None},
	} {
		a.Sequence = c.sequence
		if res := table.Announce(t0.Add(c.after), a); res.Reason != c.want || table.Holds(t0.Add(c.after), "b1") != (c.want == None) {
			t.Errorf("sequence %d after %s: %+v", c.sequence, c.after, res)
		}
	}
	left := Departure{Backend: "b1", Incarnation: a.Incarnation, Sequence: releasedSequence, At: t0}
	if ended := table.Recall(t0.Add(time.Second), []Departure{left}, time.Time{}); len(ended) != 1 || table.Holds(t0.Add(time.Second), "b1") {
		t.Errorf("leases ended by the recalled release: %v", ended)
	}
}

// Guards against late announcements that confirm each other because each of them waits for the
// departures, so that the next one arrives after the response to it.
func TestWaitingAnnouncementsDoNotConfirmEachOther(t *testing.T) {
	const wait = 600 * time.Millisecond
	table := New(Options{MaxGap: time.Hour, AwaitRecall: true})
	a := announcement()
	now := t0
	for range 5 {
		a.Sequence++
		a.LeaseFrom = now
		now = now.Add(wait)
		if res := table.Announce(now, a); res.Reason != HistoryUnknown {
			t.Fatalf("announcement %d: %+v", a.Sequence, res)
		}
	}
}

// Guards against a departure that is taken for a known one, and acknowledged, although it was not
// stored when it was announced before.
func TestRepeatedDepartureIsStillOne(t *testing.T) {
	for _, leave := range []func(*Announcement){
		func(a *Announcement) { a.Draining = true },
		func(a *Announcement) { a.Released = true },
	} {
		table := New(Options{MaxGap: time.Hour})
		a := announcement()
		a.Sequence = 4
		table.Announce(t0, a)
		leave(&a)
		for i, changed := range []bool{true, false, false} {
			a.Sequence++
			if res := table.Announce(t0.Add(time.Duration(i)*time.Second), a); !res.Departed || res.DepartureChanged != changed {
				t.Errorf("announcement %d of the departure: %+v", i, res)
			}
		}
		a.Released, a.Draining = false, true
		if res := table.Announce(t0.Add(3*time.Second), a); !res.Departed {
			t.Errorf("drain after the departure: %+v", res)
		}
	}
}
