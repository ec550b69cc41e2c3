package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter/gen"

	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

var t0 = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return t0.Add(d) }

func newWarm(slots, queue int) *Controller {
	return NewController(Options{Slots: slots, QueueLimit: queue, SkipRamp: true}, t0)
}

// offer offers requests of one caller without deadlines.
func offer(ctrl *Controller, caller string, tickets ...uint64) *Controller {
	for _, ticket := range tickets {
		ctrl.Offer(t0, Request{Ticket: ticket, Caller: caller})
	}
	return ctrl
}

// runScript decodes operations and applies them to a Controller. After each one it checks
// that no ticket is decided twice and no slot is idle while a queued request could use it.
// At the end, all queued requests must be decided.
func runScript(ctrl *Controller, script []uint32) error {
	now, next := t0, uint64(0)
	decided, inFlight := map[uint64]string{}, map[uint64]Request{}
	queued := map[uint64]Request{}
	decide := func(r Request, how string, admitted bool) error {
		if was, ok := decided[r.Ticket]; ok {
			return fmt.Errorf("ticket %d: %s after %s", r.Ticket, how, was)
		}
		decided[r.Ticket] = how
		if !admitted {
			return nil
		}
		inFlight[r.Ticket] = r
		if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
			return fmt.Errorf("ticket %d started after its deadline", r.Ticket)
		}
		if n := ctrl.callers[r.Caller].inFlight; ctrl.opts.CallerInFlight > 0 && n > ctrl.opts.CallerInFlight {
			return fmt.Errorf("%d requests of one caller in flight", n)
		}
		return nil
	}
	for step, op := range script {
		arg := int(op >> 8)
		now = now.Add(time.Duration(arg%7) * 20 * time.Millisecond)
		switch op % 16 {
		default:
			next++
			r := Request{Ticket: next, Caller: fmt.Sprint("team-", arg%4), Remote: arg%5 == 0}
			if arg%11 != 0 {
				r.Deadline = now.Add(time.Duration(arg%13) * 40 * time.Millisecond)
			}
			v, reason := ctrl.Offer(now, r)
			if (v == Refused) != (reason != None) {
				return fmt.Errorf("step %d: verdict %s with reason %q", step, v, reason)
			}
			if v == Queued {
				queued[r.Ticket] = r
				break
			}
			if err := decide(r, v.String(), v == Admitted); err != nil {
				return err
			}
		case 8, 9, 10, 11:
			if tickets := slices.Sorted(maps.Keys(inFlight)); len(tickets) > 0 {
				ticket := tickets[arg%len(tickets)]
				ctrl.Release(now, ticket, time.Duration(1+arg%200)*time.Millisecond)
				delete(inFlight, ticket)
			}
		case 12:
			tickets := slices.Sorted(maps.Keys(queued))
			if len(tickets) > 0 && ctrl.Cancel(now, tickets[arg%len(tickets)]) {
				r := queued[tickets[arg%len(tickets)]]
				delete(queued, r.Ticket)
				if err := decide(r, "canceled", false); err != nil {
					return err
				}
			}
		case 13:
			ctrl.SetSlots(arg % 6)
			ctrl.SetLimits(arg%9, arg%3)
		case 14:
			ctrl.SetState(registry.BackendState(max(0, arg%12-8))) // Mostly active.
		case 15:
			ctrl.StartRamp(now)
		}
		for _, d := range ctrl.TakeDecisions(now) {
			r, ok := queued[d.Ticket]
			if !ok {
				return fmt.Errorf("step %d: decision for ticket %d, which is not queued", step, d.Ticket)
			}
			delete(queued, d.Ticket)
			if err := decide(r, fmt.Sprintf("decision: admitted %t %s", d.Admitted, d.Reason), d.Admitted); err != nil {
				return err
			}
		}
		load := ctrl.Load()
		if load.InUse != len(inFlight) || load.Queued != len(queued) {
			return fmt.Errorf("step %d: load %+v, want %d in use and %d queued", step, load, len(inFlight), len(queued))
		}
		if load.InUse < load.Slots && load.Queued > 0 && ctrl.opts.CallerInFlight == 0 {
			return fmt.Errorf("step %d: load %+v leaves a slot idle", step, load)
		}
	}
	ctrl.SetState(registry.Draining)
	if n := len(ctrl.TakeDecisions(now)); n != len(queued) {
		return fmt.Errorf("drain decided %d of %d queued requests", n, len(queued))
	}
	return nil
}

// Guards against lost or duplicate decisions, overcommitted slots and idle slots under any
// order of calls. A violated invariant of the Controller panics during the run.
func TestControllerDecidesEveryTicketOnce(t *testing.T) {
	proptest.Check(t, 300, "each ticket is decided once", func(script []uint32) string {
		return proptest.Result(runScript(NewController(Options{Slots: 4, RampDuration: time.Second}, t0), script))
	}, gen.SliceOfN(200, gen.UInt32()))
}

// Checks that each invariant reports a violation when its mechanism is disabled.
func TestInvariantsDetectMissingMechanisms(t *testing.T) {
	proptest.ExpectViolation(t, "admission_slots", func() {
		ctrl := offer(newWarm(1, 4), "a", 0, 1)
		ctrl.disabled.slots = true
		ctrl.TakeDecisions(t0)
	})
	proptest.ExpectViolation(t, "admission_queue_limit", func() {
		ctrl := newWarm(1, 2)
		ctrl.disabled.queueLimit = true
		offer(ctrl, "a", 0, 1, 2, 3)
	})
	proptest.ExpectViolation(t, "admission_decided_once", func() {
		ctrl := offer(newWarm(2, 4), "a", 0, 1, 2)
		ctrl.disabled.removal = true
		ctrl.Release(t0, 0, 0)
		ctrl.Release(t0, 1, 0)
		ctrl.TakeDecisions(t0)
	})
	proptest.ExpectViolation(t, "admission_release_once", func() {
		ctrl := offer(newWarm(1, 2), "a", 0)
		ctrl.Release(t0, 0, 0)
		ctrl.Release(t0, 0, 0)
	})
}

// order returns the tickets in the order in which a single slot admits them.
func order(ctrl *Controller, inUse uint64) (tickets []uint64) {
	for {
		ctrl.Release(t0, inUse, 0)
		decisions := ctrl.TakeDecisions(t0)
		if len(decisions) == 0 {
			return tickets
		}
		inUse = decisions[0].Ticket
		tickets = append(tickets, inUse)
	}
}

// Guards against an admission order other than by fairness first and then by deadline. In
// pure deadline order, the caller "short" would starve "long".
func TestQueueOrder(t *testing.T) {
	cases := []struct {
		name    string
		callers []string
		seconds []int
		want    string
	}{
		{"deadline order", []string{"a", "a", "a"}, []int{9, 3, 6}, "[3 4 2]"},
		{"no deadline goes last", []string{"a", "a", "a"}, []int{0, 8, 7}, "[4 3 2]"},
		{"arrival order at equal deadlines", []string{"a", "a", "a"}, []int{5, 5, 5}, "[2 3 4]"},
		{"fewest in flight first", []string{"busy", "idle"}, []int{1, 9}, "[3 2]"},
		{"fair between callers", []string{"short", "short", "short", "long"}, []int{1, 2, 3, 9}, "[2 5 3 4]"},
	}
	for _, c := range cases {
		ctrl := newWarm(2, 10)
		ctrl.Offer(t0, Request{Ticket: 100, Caller: "busy"})
		ctrl.Offer(t0, Request{Ticket: 1, Caller: "running"})
		for i, caller := range c.callers {
			r := Request{Ticket: uint64(i + 2), Caller: caller}
			if c.seconds[i] > 0 {
				r.Deadline = at(time.Duration(c.seconds[i]) * time.Second)
			}
			ctrl.Offer(t0, r)
		}
		if got := fmt.Sprint(order(ctrl, 1)); got != c.want {
			t.Errorf("%s: admitted %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against an advantage for a caller that joins a long queue late, and against a slot
// that stays in use if an admission is canceled before it is returned.
func TestCallerThatJoinsLate(t *testing.T) {
	ctrl := offer(newWarm(1, 20), "early", 0, 1, 2, 3, 4, 5, 6, 7)
	for i := range uint64(4) {
		ctrl.Release(t0, i, 0)
		ctrl.TakeDecisions(t0)
	}
	offer(ctrl, "late", 10, 11, 12)
	ctrl.Release(t0, 4, 0)
	canceled, next := ctrl.Cancel(t0, 10), ctrl.TakeDecisions(t0)
	if !canceled || len(next) != 1 || next[0].Ticket != 5 || order(ctrl, 5)[0] != 11 {
		t.Errorf("late caller canceled %t, then %v", canceled, next)
	}
}

// Guards against one caller that fills the queue for all others, a queue beyond its limit,
// and remote requests in more than half of the queue.
func TestFullQueue(t *testing.T) {
	ctrl := newWarm(MaxQueueLength, 0)
	for i := range uint64(4 * MaxQueueLength) {
		remote := i >= MaxQueueLength && i < 2*MaxQueueLength
		v, _ := ctrl.Offer(t0, Request{Ticket: i, Remote: remote})
		if remote && (v == Queued) != (i < MaxQueueLength*3/2) {
			t.Errorf("remote request %d: %s", i-MaxQueueLength, v)
		}
	}
	if load := ctrl.Load(); load.Queued != MaxQueueLength {
		t.Errorf("queue of %d", load.Queued)
	}
	ctrl = offer(newWarm(1, 4), "greedy", 1, 2, 3, 4, 5)
	if v, reason := ctrl.Offer(t0, Request{Ticket: 6, Caller: "greedy"}); v != Refused || reason != QueueFull {
		t.Errorf("newest entry of the largest caller: %s %s", v, reason)
	}
	if v, reason := ctrl.Offer(t0, Request{Ticket: 7, Caller: "modest", Remote: true}); v != Refused || reason != RemoteShareFull {
		t.Errorf("remote request in a full queue: %s %s", v, reason)
	}
	if v, _ := ctrl.Offer(t0, Request{Ticket: 8, Caller: "modest"}); v != Queued {
		t.Errorf("first request of another caller: %s", v)
	}
	if got := fmt.Sprint(ctrl.TakeDecisions(t0)); got != "[{5 false queue_full}]" {
		t.Errorf("evicted %s, want ticket 5", got)
	}
}

// Guards against short requests that are refused, on arrival or in the queue, because
// requests of other routes take longer than the deadline of the short ones allows.
func TestMedianIsKeptPerRoute(t *testing.T) {
	ctrl := newWarm(1, 4)
	now := t0
	for ticket := range uint64(minMedianSamples) {
		ctrl.Offer(now, Request{Ticket: ticket, Route: "long"})
		now = now.Add(time.Second)
		ctrl.Release(now, ticket, time.Second)
	}
	request := func(ticket uint64, route string) Request {
		return Request{Ticket: ticket, Route: route, Deadline: now.Add(300 * time.Millisecond)}
	}
	if v, reason := ctrl.Offer(now, request(100, "long")); reason != DeadlineTooShort {
		t.Fatalf("long request: %s %s", v, reason)
	}
	if v, reason := ctrl.Offer(now, request(101, "short")); v != Admitted {
		t.Fatalf("short request: %s %s", v, reason)
	}
	// In the queue, the long request expires first although its deadline is later.
	ctrl.Offer(now, request(102, "short"))
	long := request(103, "long")
	long.Deadline = now.Add(1100 * time.Millisecond)
	ctrl.Offer(now, long)
	want := now.Add(100*time.Millisecond + 1)
	if next, ok := ctrl.NextTimer(); !ok || !next.Equal(want) {
		t.Fatalf("next timer %v after the start, want %v", next.Sub(now), want.Sub(now))
	}
	decisions := ctrl.TakeDecisions(want)
	if len(decisions) != 1 || decisions[0].Ticket != 103 || decisions[0].Reason != DeadlineTooShort {
		t.Fatalf("decisions %+v", decisions)
	}
	ctrl.Release(now.Add(200*time.Millisecond), 101, 0)
	if decisions := ctrl.TakeDecisions(now.Add(200 * time.Millisecond)); len(decisions) != 1 || decisions[0].Ticket != 102 || !decisions[0].Admitted {
		t.Fatalf("decisions %+v", decisions)
	}
}

// Guards against a number of medians that grows with every route that was ever used.
func TestMediansAreBounded(t *testing.T) {
	m := medians{}
	for i := range 2 * maxMedians {
		m.add(t0, fmt.Sprint("r", i), time.Second)
	}
	if len(m) != maxMedians {
		t.Fatalf("%d medians", len(m))
	}
	m.add(at(2*medianWindow), "new", time.Second)
	if len(m) != 1 {
		t.Fatalf("%d medians after the window", len(m))
	}
}

// Guards against starting work that cannot finish in time, and against a high median that
// causes all work to be refused permanently, because nothing runs that could lower it.
func TestDeadlineBelowMedian(t *testing.T) {
	ctrl := newWarm(1, 4)
	for i := range uint64(minMedianSamples) {
		ctrl.Offer(t0, Request{Ticket: i + 1})
		ctrl.Release(t0, i+1, 300*time.Millisecond)
	}
	short := func(ticket uint64, now time.Time) (Verdict, Reason) {
		return ctrl.Offer(now, Request{Ticket: ticket, Deadline: now.Add(200 * time.Millisecond)})
	}
	if v, reason := short(10, t0); v != Refused || reason != DeadlineTooShort {
		t.Errorf("remaining time below the median: %s %s", v, reason)
	}
	offer(ctrl, "", 11)
	ctrl.Offer(t0, Request{Ticket: 12, Deadline: at(time.Second)})
	timer, ok := ctrl.NextTimer()
	if !ok || timer.Sub(t0) != 700*time.Millisecond+1 {
		t.Errorf("timer after %s, want just after 700ms", timer.Sub(t0))
	}
	if got := fmt.Sprint(ctrl.TakeDecisions(timer)); got != "[{12 false deadline_too_short}]" {
		t.Errorf("at the timer: %s", got)
	}
	ctrl.Release(at(time.Second), 11, 0)
	if v, reason := short(13, at(medianWindow+time.Second)); v != Admitted {
		t.Errorf("after the window of the median: %s %s", v, reason)
	}
}

// Guards against full load on a cold or recovering backend server.
func TestSlotsInForce(t *testing.T) {
	ctrl := NewController(Options{Slots: 5}, t0)
	for _, c := range [][2]int{{0, 1}, {2499, 1}, {2500, 2}, {5000, 3}, {9999, 4}, {10000, 5}} {
		ctrl.TakeDecisions(at(time.Duration(c[0]) * time.Millisecond))
		if got := ctrl.Load().Slots; got != c[1] {
			t.Errorf("slots after %d ms: %d, want %d", c[0], got, c[1])
		}
	}
	ctrl.StartRamp(at(10 * time.Second))
	ctrl.Offer(at(10*time.Second), Request{Ticket: 8})
	ctrl.Offer(at(10*time.Second), Request{Ticket: 9, Deadline: at(time.Hour)})
	if timer, ok := ctrl.NextTimer(); !ok || timer != at(12500*time.Millisecond) {
		t.Errorf("timer of the ramp: %s", timer.Sub(t0))
	}
	ctrl.SetState(registry.Probation)
	if got := ctrl.Load().Slots; got != ProbationSlots {
		t.Errorf("slots in probation: %d", got)
	}
	for state, want := range map[registry.BackendState]Reason{registry.Draining: BackendDraining, registry.Ejected: BackendEjected} {
		ctrl.SetState(state)
		if v, reason := ctrl.Offer(at(11*time.Second), Request{Ticket: 1}); v != Refused || reason != want {
			t.Errorf("state %d: %s %s", state, v, reason)
		}
	}
}

func BenchmarkOfferRelease(b *testing.B) {
	for _, backends := range []int{36, 2500, 25000} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			controllers := make([]*Controller, backends)
			for i := range controllers {
				controllers[i] = newWarm(5, 10)
			}
			rng, now := rand.New(rand.NewPCG(1, 1)), t0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				ctrl, ticket := controllers[rng.IntN(backends)], uint64(i)
				if v, _ := ctrl.Offer(now, Request{Ticket: ticket, Caller: "team", Deadline: now.Add(time.Second)}); v == Admitted {
					ctrl.TakeDecisions(now)
					ctrl.Release(now, ticket, time.Millisecond)
					ctrl.TakeDecisions(now)
				}
			}
		})
	}
}
