package admission

import (
	"testing"
	"time"
)

// observe adds service times of a route to the median of a controller.
func observe(c *Controller, now time.Time, route string, times ...time.Duration) {
	for i, d := range times {
		ticket := uint64(1_000_000 + i)
		c.Offer(now, Request{Ticket: ticket, Route: route})
		c.Release(now, ticket, d)
		c.TakeDecisions(now)
	}
}

func repeated(d time.Duration, n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = d
	}
	return list
}

// Guards against work that a node accepts before a planned stop and that cannot end before
// the process exits, in the queue as well as on arrival.
func TestOnlyWorkThatEndsInTimeStartsBeforeStop(t *testing.T) {
	end := at(5 * time.Second)
	cases := []struct {
		name     string
		once     bool
		route    string
		deadline time.Duration
		offered  time.Duration
		want     Reason
	}{
		{"fits", false, "short", time.Minute, 4 * time.Second, None},
		{"no longer fits", false, "short", time.Minute, 4800 * time.Millisecond, NodeStopping},
		{"long work fits early", false, "long", time.Minute, 2400 * time.Millisecond, None},
		{"long work no longer fits", false, "long", time.Minute, 2600 * time.Millisecond, NodeStopping},
		{"must not be repeated and fits", true, "long", time.Minute, 1900 * time.Millisecond, None},
		{"must not be repeated and no longer fits", true, "long", time.Minute, 2100 * time.Millisecond, NodeStopping},
		{"must not be repeated, few service times", true, "short", time.Minute, 0, NodeStopping},
		{"without a deadline", false, "long", 0, 2600 * time.Millisecond, NodeStopping},
		{"unknown service time", false, "other", time.Minute, 3700 * time.Millisecond, None},
		{"unknown service time, too late", false, "other", time.Minute, 3800 * time.Millisecond, NodeStopping},
		{"must not be repeated, unknown service time", true, "other", time.Minute, 0, NodeStopping},
		{"unknown service time with a deadline before the end", false, "other", 4900 * time.Millisecond, 0, None},
		{"after the end", false, "short", time.Minute, 6 * time.Second, NodeStopping},
	}
	for _, c := range cases {
		ctrl := newWarm(2, 4)
		observe(ctrl, t0, "short", repeated(200*time.Millisecond, 5)...)
		observe(ctrl, t0, "long", repeated(2*time.Second, 15)...)
		ctrl.StopBy(t0, end)
		r := Request{Ticket: 1, Route: c.route, Repeatable: !c.once}
		if c.deadline > 0 {
			r.Deadline = at(c.deadline)
		}
		if _, reason := ctrl.Offer(at(c.offered), r); reason != c.want {
			t.Errorf("%s: reason %q, want %q", c.name, reason, c.want)
		}
	}

	ctrl := newWarm(1, 4)
	observe(ctrl, t0, "long", repeated(2*time.Second, 5)...)
	ctrl.Offer(t0, Request{Ticket: 1, Route: "long", Repeatable: true})
	ctrl.Offer(t0, Request{Ticket: 2, Route: "long", Repeatable: true, Deadline: at(time.Minute)})
	ctrl.Offer(t0, Request{Ticket: 3, Route: "long", Repeatable: true})
	ctrl.StopBy(t0, end)
	if got := ctrl.LatestStart(t0); got != at(3750*time.Millisecond) { // Of a route without service times.
		t.Fatalf("latest start %s after the announcement of the stop", got.Sub(t0))
	}
	next, ok := ctrl.NextTimer()
	if !ok || next != at(2500*time.Millisecond) {
		t.Fatalf("timer at %s (%v)", next.Sub(t0), ok)
	}
	decisions := ctrl.TakeDecisions(next)
	if len(decisions) != 2 || decisions[0].Reason != NodeStopping || decisions[1].Reason != NodeStopping {
		t.Fatalf("queued requests that can no longer end: %+v", decisions)
	}
}

// Replays planned stops beside four of a service's seven sound backend servers within 9 s, as
// on the day whose floor was broken. Each takes 6 s until the process exits, because its
// callers wait for requests that run elsewhere, and 2 s until its backend server is announced
// again. Guards against a node whose backend server gets no work during the whole stop, so
// that fewer than 70% of the sound backend servers do.
func TestPlannedStopsKeepBackendsInUse(t *testing.T) {
	// Without service times, as after a time in which the backend servers refused all work.
	for _, samples := range []int{20, 0} {
		replayPlannedStops(t, samples)
	}
}

func replayPlannedStops(t *testing.T, samples int) {
	t.Helper()
	recorded := time.Duration(0)
	const (
		nodes, stopped = 7, 4
		drain          = 5 * time.Second
		exit           = 6 * time.Second
		restart        = 2 * time.Second
		window         = 2 * time.Second
		step           = 20 * time.Millisecond
		service        = 900 * time.Millisecond
	)
	if samples > 0 {
		recorded = service
	}
	type node struct {
		ctrl       *Controller
		running    map[uint64]time.Time
		back       time.Time // when the next process serves
		lastServed time.Time
	}
	fleet := make([]*node, nodes)
	for i := range fleet {
		fleet[i] = &node{ctrl: newWarm(10, 0), running: map[uint64]time.Time{}, lastServed: t0}
		observe(fleet[i].ctrl, t0, "book", repeated(service, samples)...)
	}
	ticket, interrupted, worst := uint64(0), 0, nodes
	for now := t0; now.Before(at(20 * time.Second)); now = now.Add(step) {
		served := 0
		for i, n := range fleet {
			start := at(2*time.Second + time.Duration(i)*9*time.Second/stopped)
			since := now.Sub(start)
			switch {
			case i >= stopped || since < 0:
			case n.back.IsZero():
				if since < step {
					n.ctrl.StopBy(now, start.Add(drain))
				}
				if since >= exit {
					interrupted += len(n.running)
					n.back, n.running = now.Add(restart), map[uint64]time.Time{}
				}
			case !now.Before(n.back) && now.Sub(n.back) < step:
				n.ctrl = newWarm(10, 0)
			}
			for id, end := range n.running {
				if !now.Before(end) {
					n.ctrl.Release(now, id, recorded)
					delete(n.running, id)
				}
			}
			ticket++
			if n.back.IsZero() || !now.Before(n.back) {
				if v, _ := n.ctrl.Offer(now, Request{Ticket: ticket, Route: "book", Repeatable: true, Deadline: now.Add(25 * time.Second)}); v == Admitted {
					n.running[ticket], n.lastServed = now.Add(service), now
				}
			}
			for _, d := range n.ctrl.TakeDecisions(now) {
				if d.Admitted {
					n.running[d.Ticket], n.lastServed = now.Add(service), now
				}
			}
			if now.Sub(n.lastServed) < window {
				served++
			}
		}
		worst = min(worst, served)
	}
	if interrupted > 0 {
		t.Errorf("with %d service times %d requests were interrupted by the stops", samples, interrupted)
	}
	if share := float64(worst) / nodes; share < 0.7 {
		t.Errorf("with %d service times only %.2f of the backend servers got work in some window of %s", samples, share, window)
	}
}
