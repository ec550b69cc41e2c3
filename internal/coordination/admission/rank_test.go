package admission

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// Guards against calls that wait behind new work. The pattern: every slot of a
// service is held by a request that waits for its call to another service, and the
// queue there is full of new work of lower importance.
func TestRankOrdersTheQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewController(Options{Slots: 1, QueueLimit: 4, SkipRamp: true}, now)
	ticket := uint64(0)
	offer := func(rank int) (uint64, Verdict) {
		ticket++
		v, _ := g.Offer(now, Request{Ticket: ticket, Rank: rank, Deadline: now.Add(time.Minute)})
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
	grants := g.TakeDecisions(now)
	if len(grants) != 1 || grants[0].Ticket != browse2 && grants[0].Ticket != browse1 || grants[0].Admitted || grants[0].Reason != QueueFull {
		t.Fatalf("displaced: %+v, want a request of the highest rank", grants)
	}
	left := browse1 + browse2 - grants[0].Ticket
	for _, want := range []uint64{call, booking1, booking2, left} {
		g.Release(now, running, 0)
		grants := g.TakeDecisions(now)
		if len(grants) != 1 || grants[0].Ticket != want || !grants[0].Admitted {
			t.Fatalf("granted %+v, want ticket %d", grants, want)
		}
		running = want
	}
}

// Guards against work of a high rank that is put off for ever by a steady stream of
// lower ranks: the pattern of browsing behind bookings in the rush.
func TestHighRankIsNotStarved(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewController(Options{Slots: 1, QueueLimit: 8, SkipRamp: true}, now)
	g.Offer(now, Request{Ticket: 1, Deadline: now.Add(time.Minute)})
	const browse = 2
	g.Offer(now, Request{Ticket: browse, Rank: 2, Deadline: now.Add(time.Minute)})
	running := uint64(1)
	for ticket := uint64(3); ticket < 30; ticket++ {
		now = now.Add(100 * time.Millisecond)
		g.Offer(now, Request{Ticket: ticket, Rank: 1, Deadline: now.Add(time.Minute)})
		g.Release(now, running, 0)
		for _, grant := range g.TakeDecisions(now) {
			if grant.Ticket == browse {
				if !grant.Admitted {
					t.Fatalf("refused: %s", grant.Reason)
				}
				return
			}
			if grant.Admitted {
				running = grant.Ticket
			}
		}
	}
	t.Fatal("never admitted")
}

// Guards against uploads that wait until their deadline is near, behind a steady
// stream of calls of the same rank. The pattern: a service at 1.2 times its capacity
// serves calls of 310 ms with 4 s left, 1.2 s of these fully useful, and for nine calls
// one upload of 1.5 s with 10 s left, 6 s of these fully useful.
func TestUploadsDoNotWaitForTheirDeadline(t *testing.T) {
	const (
		slots          = 15
		callTime       = 310 * time.Millisecond
		uploadTime     = 1500 * time.Millisecond
		callLeft       = 4 * time.Second
		callUseful     = 1200 * time.Millisecond
		uploadLeft     = 10 * time.Second
		uploadUseful   = 6 * time.Second
		latestStart    = uploadUseful - uploadTime // after the arrival
		step           = time.Millisecond
		between        = 24 * time.Millisecond // of arrivals
		uploadEach     = 10
		played, judged = 30 * time.Second, 5 * time.Second
	)
	begin := time.Unix(1000, 0)
	g := NewController(Options{Slots: slots, SkipRamp: true}, begin)
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
			if now.Sub(begin) >= judged {
				started++
				if now.Sub(w.arrived) > latestStart {
					late++
				}
			}
		}
		running[id] = w
	}
	for now := begin; now.Sub(begin) < played; now = now.Add(step) {
		for _, id := range slices.Sorted(maps.Keys(running)) {
			if !now.Before(running[id].end) {
				g.Release(now, id, now.Sub(running[id].start))
				delete(running, id)
			}
		}
		if now.Sub(begin)%between == 0 {
			ticket++
			w := &work{upload: ticket%uploadEach == 0, arrived: now}
			works[ticket] = w
			r := Request{Ticket: ticket, Rank: 1, Route: "call", Deadline: now.Add(callLeft), Objective: now.Add(callUseful)}
			if w.upload {
				r.Route, r.Deadline, r.Objective = "upload", now.Add(uploadLeft), now.Add(uploadUseful)
			}
			if v, _ := g.Offer(now, r); v == Admitted {
				start(now, ticket)
			}
		}
		for _, grant := range g.TakeDecisions(now) {
			if grant.Admitted {
				start(now, grant.Ticket)
			}
		}
	}
	if started < 20 || late > 0 {
		t.Errorf("%d of %d uploads started later than %s after their arrival", late, started, latestStart)
	}
}
