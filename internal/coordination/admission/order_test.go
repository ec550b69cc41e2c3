package admission

import (
	"fmt"
	"testing"
	"time"
)

// every returns a function that reports whether one of perSecond arrivals falls on a step.
func every(perSecond float64) func() bool {
	var due float64
	return func() bool {
		if due += perSecond / 100; due < 1 {
			return false
		}
		due--
		return true
	}
}

// Guards against an overload in which every request waits until its objective cannot be met,
// because those that are late already go first. The load is 1.3 times the capacity.
func TestLateRequestsYield(t *testing.T) {
	const service, objective = time.Second, 2500 * time.Millisecond
	r := newReplay(Options{Slots: 4}, map[string]time.Duration{"pay": service})
	arrives := every(4 * 1.3)
	r.run(40*time.Second, func(now time.Duration) []Request {
		if !arrives() {
			return nil
		}
		return []Request{{Route: "pay", Deadline: at(now + 8*time.Second), Objective: at(now + objective)}}
	})
	var all, inTime, started int
	for _, e := range r.requests {
		if !e.wasStarted {
			continue
		}
		if all++; e.arrived < 10*time.Second {
			continue
		}
		if started++; e.started+service <= e.arrived+objective {
			inTime++
		}
	}
	if inTime < started*2/3 {
		t.Errorf("%d of %d requests were served by their objective, want two thirds", inTime, started)
	}
	if want := 4 * 39; all < want {
		t.Errorf("%d requests started in 40 s, want %d: all slots in use", all, want)
	}
}

// Guards against a team that sends far more than its usual and takes the slots of others, and
// against a large team within its quota that is put behind small ones. Of 32 requests a second,
// the large team sends 20, nine small ones one each, and another small one 10.
func TestTeamsShareByQuota(t *testing.T) {
	r := newReplay(Options{Slots: 16}, map[string]time.Duration{"pay": 500 * time.Millisecond})
	type sender struct {
		name    string
		weight  float64
		arrives func() bool
	}
	senders := []sender{{"over", 1, every(10)}, {"large", 20, every(20)}}
	for i := range 9 {
		senders = append(senders, sender{fmt.Sprint("small", i), 1, every(1)})
	}
	r.run(30*time.Second, func(now time.Duration) []Request {
		var arrivals []Request
		for _, s := range senders {
			if s.arrives() {
				arrivals = append(arrivals, Request{Route: "pay", Caller: s.name, CallerWeight: s.weight, Deadline: at(now + 3*time.Second)})
			}
		}
		return arrivals
	})
	sent, served := map[string]float64{}, map[string]float64{}
	for _, e := range r.requests {
		name := e.Caller
		if len(name) > len("small") {
			name = "small"
		}
		sent[name]++
		if e.wasStarted {
			served[name]++
		}
	}
	for _, name := range []string{"large", "small"} {
		if share := served[name] / sent[name]; share < 0.95 {
			t.Errorf("%.2f of the requests of %s are served, want 0.95", share, name)
		}
	}
	if share := served["over"] / sent["over"]; share < 0.1 {
		t.Errorf("%.2f of the requests of the team beyond its quota are served, want 0.1: its part", share)
	}
}

// Guards against a large team that takes the only place of each small one in a full queue.
func TestSmallTeamKeepsItsEntry(t *testing.T) {
	c := newWarm(1, 4)
	for ticket, team := range []string{"small1", "small1", "small2", "over", "over"} {
		c.Offer(t0, Request{Ticket: uint64(ticket), Caller: team, CallerWeight: 1})
	}
	for ticket := uint64(10); ticket < 13; ticket++ {
		c.Offer(t0, Request{Ticket: ticket, Caller: "large", CallerWeight: 20})
	}
	if got := fmt.Sprint(c.TakeDecisions(t0)); got != "[{4 false queue_full}]" {
		t.Errorf("decisions %s, want the second entry of the team with two refused", got)
	}
}

// Guards against calls, which state no team, that are put behind the requests of a large team
// of the same rank.
func TestCallsAreNotOneTeam(t *testing.T) {
	r := newReplay(Options{Slots: 8}, map[string]time.Duration{"pay": time.Second, "call": 200 * time.Millisecond})
	pays, calls := every(9), every(10)
	r.run(20*time.Second, func(now time.Duration) []Request {
		var arrivals []Request
		if pays() {
			arrivals = append(arrivals, Request{Route: "pay", Caller: "large", CallerWeight: 20, Deadline: at(now + 6*time.Second)})
		}
		if calls() {
			arrivals = append(arrivals, Request{Route: "call", Deadline: at(now + 2*time.Second)})
		}
		return arrivals
	})
	sent, served := map[string]float64{}, map[string]float64{}
	for _, e := range r.requests {
		sent[e.Route]++
		if e.wasStarted {
			served[e.Route]++
		}
	}
	if call, pay := served["call"]/sent["call"], served["pay"]/sent["pay"]; call < pay-0.1 {
		t.Errorf("%.2f of the calls are served and %.2f of the requests of the team, want a tenth less at most", call, pay)
	}
}

// Guards against calls that wait in the order of arrival behind requests of teams of the same
// rank that have more time, and against a forecast that refuses them for it.
func TestShortCallsOvertakeRequestsOfTeams(t *testing.T) {
	r := newReplay(Options{Slots: 8}, map[string]time.Duration{"pay": time.Second, "call": 200 * time.Millisecond})
	pays, calls := every(8), every(5)
	r.run(30*time.Second, func(now time.Duration) []Request {
		var arrivals []Request
		if pays() {
			arrivals = append(arrivals, Request{Route: "pay", Caller: "a", Deadline: at(now + 6*time.Second), Objective: at(now + 6*time.Second)})
		}
		if calls() {
			arrivals = append(arrivals, Request{Route: "call", Deadline: at(now + 2500*time.Millisecond), Objective: at(now + 800*time.Millisecond)})
		}
		return arrivals
	})
	var calling, inTime float64
	for _, e := range r.requests {
		if e.Route != "call" {
			continue
		}
		if calling++; e.wasStarted && e.started-e.arrived <= 600*time.Millisecond {
			inTime++
		}
	}
	if inTime/calling < 0.95 {
		t.Errorf("%.2f of the calls meet their objective, want 0.95", inTime/calling)
	}
}

// Guards against an urgent request from another region that is refused while less urgent ones
// wait.
func TestUrgentRemoteRequestIsQueued(t *testing.T) {
	c := newWarm(1, 4)
	for ticket := range uint64(4) {
		c.Offer(t0, Request{Ticket: ticket, Rank: 2})
	}
	if v, reason := c.Offer(t0, Request{Ticket: 10, Rank: 2, Remote: true}); v != Refused || reason != RemoteShareFull {
		t.Errorf("request of the same rank: %s %s", v, reason)
	}
	if v, reason := c.Offer(t0, Request{Ticket: 11, Rank: 1, Remote: true}); v != Queued {
		t.Errorf("more urgent request: %s %s", v, reason)
	}
	if d := c.TakeDecisions(t0); len(d) != 1 || d[0].Admitted || d[0].Reason != QueueFull {
		t.Errorf("decisions %+v, want one less urgent request refused", d)
	}
}

// Guards against an overload in which the many short or the few long requests of one route pay
// for the others. One request in ten takes 2 s, the others 100 ms; the load is 1.2 times the
// capacity.
func TestShortAndLongWorkShareOverload(t *testing.T) {
	const short, long = 100 * time.Millisecond, 2 * time.Second
	r := newReplay(Options{Slots: 8}, nil)
	arrives, n := every(8*1.2/0.29), 0
	r.run(30*time.Second, func(now time.Duration) []Request {
		if !arrives() {
			return nil
		}
		q := Request{Route: "pay", ExpectedWork: short, Deadline: at(now + 8*time.Second), Objective: at(now + 3*time.Second)}
		if n++; n%10 == 0 {
			q.ExpectedWork = long
		}
		return []Request{q}
	})
	sent, inTime := map[time.Duration]float64{}, map[time.Duration]float64{}
	for _, e := range r.requests {
		sent[e.ExpectedWork]++
		if e.wasStarted && e.started+e.ExpectedWork <= e.arrived+3*time.Second {
			inTime[e.ExpectedWork]++
		}
	}
	for work := range sent {
		if share := inTime[work] / sent[work]; share < 0.8 {
			t.Errorf("%.2f of the requests of %s meet their objective, want 0.8", share, work)
		}
	}
}
