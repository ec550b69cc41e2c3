package admission

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// Guards against calls that wait behind new work. This happens if every slot of a service is
// held by a request that waits for a call to another service, whose queue is full of new
// work of lower importance.
func TestRankOrdersTheQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	ctrl := NewController(Options{Slots: 1, QueueLimit: 4, SkipRamp: true}, now)
	ticket := uint64(0)
	offer := func(rank int) (uint64, Verdict) {
		ticket++
		v, _ := ctrl.Offer(now, Request{Ticket: ticket, Rank: rank, Deadline: now.Add(time.Minute)})
		return ticket, v
	}
	running, v := offer(2)
	if v != Admitted {
		t.Fatalf("first request %s", v)
	}
	browse1, _ := offer(2)
	browse2, _ := offer(2)
	booking1, _ := offer(1)
	booking2, _ := offer(1)
	if _, v := offer(2); v != Refused {
		t.Fatalf("request of the highest rank at a full queue: %s", v)
	}
	call, v := offer(0)
	if v != Queued {
		t.Fatalf("call at a full queue: %s", v)
	}
	decisions := ctrl.TakeDecisions(now)
	if len(decisions) != 1 || decisions[0].Ticket != browse2 && decisions[0].Ticket != browse1 || decisions[0].Admitted || decisions[0].Reason != QueueFull {
		t.Fatalf("evicted: %+v, want a request of the highest rank", decisions)
	}
	left := browse1 + browse2 - decisions[0].Ticket
	for _, want := range []uint64{call, booking1, booking2, left} {
		ctrl.Release(now, running, 0)
		decisions := ctrl.TakeDecisions(now)
		if len(decisions) != 1 || decisions[0].Ticket != want || !decisions[0].Admitted {
			t.Fatalf("decisions %+v, want ticket %d admitted", decisions, want)
		}
		running = want
	}
}

// Guards against work of a high rank that is starved by a steady stream of lower ranks, such
// as browsing behind bookings during peak load.
func TestHighRankIsNotStarved(t *testing.T) {
	now := time.Unix(1000, 0)
	ctrl := NewController(Options{Slots: 1, QueueLimit: 8, SkipRamp: true}, now)
	ctrl.Offer(now, Request{Ticket: 1, Deadline: now.Add(time.Minute)})
	const browse = 2
	ctrl.Offer(now, Request{Ticket: browse, Rank: 2, Deadline: now.Add(time.Minute)})
	running := uint64(1)
	for ticket := uint64(3); ticket < 30; ticket++ {
		now = now.Add(100 * time.Millisecond)
		ctrl.Offer(now, Request{Ticket: ticket, Rank: 1, Deadline: now.Add(time.Minute)})
		ctrl.Release(now, running, 0)
		for _, d := range ctrl.TakeDecisions(now) {
			if d.Ticket == browse {
				if !d.Admitted {
					t.Fatalf("refused: %s", d.Reason)
				}
				return
			}
			if d.Admitted {
				running = d.Ticket
			}
		}
	}
	t.Fatal("never admitted")
}

// Guards against uploads that wait behind a steady stream of calls of the same rank until
// their deadline is near. The service runs at 1.2 times its capacity, with one upload for
// nine calls. Calls take 310 ms, with a deadline of 4 s and an objective of 1.2 s. Uploads
// take 1.5 s, with a deadline of 10 s and an objective of 6 s.
func TestUploadsDoNotWaitForTheirDeadline(t *testing.T) {
	const (
		slots           = 15
		callTime        = 310 * time.Millisecond
		uploadTime      = 1500 * time.Millisecond
		callDeadline    = 4 * time.Second
		callObjective   = 1200 * time.Millisecond
		uploadDeadline  = 10 * time.Second
		uploadObjective = 6 * time.Second
		maxStartDelay   = uploadObjective - uploadTime
		step            = time.Millisecond
		arrivalInterval = 24 * time.Millisecond
		uploadEvery     = 10
		runTime, warmUp = 30 * time.Second, 5 * time.Second
	)
	begin := time.Unix(1000, 0)
	ctrl := NewController(Options{Slots: slots, SkipRamp: true}, begin)
	type work struct {
		upload  bool
		arrived time.Time
		start   time.Time
		end     time.Time
	}
	works, running := map[uint64]*work{}, map[uint64]*work{}
	ticket, started, late := uint64(0), 0, 0
	start := func(now time.Time, id uint64) {
		w := works[id]
		w.start, w.end = now, now.Add(callTime)
		if w.upload {
			w.end = now.Add(uploadTime)
			if now.Sub(begin) >= warmUp {
				started++
				if now.Sub(w.arrived) > maxStartDelay {
					late++
				}
			}
		}
		running[id] = w
	}
	for now := begin; now.Sub(begin) < runTime; now = now.Add(step) {
		for _, id := range slices.Sorted(maps.Keys(running)) {
			if !now.Before(running[id].end) {
				ctrl.Release(now, id, now.Sub(running[id].start))
				delete(running, id)
			}
		}
		if now.Sub(begin)%arrivalInterval == 0 {
			ticket++
			w := &work{upload: ticket%uploadEvery == 0, arrived: now}
			works[ticket] = w
			r := Request{Ticket: ticket, Rank: 1, Route: "call", Deadline: now.Add(callDeadline), Objective: now.Add(callObjective)}
			if w.upload {
				r.Route, r.Deadline, r.Objective = "upload", now.Add(uploadDeadline), now.Add(uploadObjective)
			}
			if v, _ := ctrl.Offer(now, r); v == Admitted {
				start(now, ticket)
			}
		}
		for _, d := range ctrl.TakeDecisions(now) {
			if d.Admitted {
				start(now, d.Ticket)
			}
		}
	}
	if started < 20 || late > 0 {
		t.Errorf("%d of %d uploads started later than %s after their arrival", late, started, maxStartDelay)
	}
}
