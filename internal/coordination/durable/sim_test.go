package durable

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/proptest"
)

const (
	simStep     = 50 * time.Millisecond
	simLength   = 40 * time.Second
	simCalm     = 12 * time.Second // without faults at the end
	heartbeat   = 1500 * time.Millisecond
	ackWait     = 600 * time.Millisecond
	callTimeout = 2 * time.Second
)

// disabled switches a half of the rule off.
type disabled struct{ storeFirst, proveAfterLoss bool }

type storedObject struct {
	version, complete uint64
	departures        []ownership.Departure
}

// simCall is a call to the platform that takes effect and returns at given times.
type simCall struct {
	action       Action
	pending      Pending
	object       storedObject // to be written if the version still matches
	effect, end  time.Time
	lost, done   bool
	conflict     bool
	result       storedObject
	inGeneration uint64
}

type simMessage struct {
	ownership.Announcement
	arrival time.Time
}

// simBackend sends heartbeats. Those that it sends during an episode are held up and arrive
// together, also after it has left.
type simBackend struct {
	ownership.Announcement
	next            time.Time
	leave           time.Time // zero: it stays
	drains          bool
	acknowledged    bool
	held, delivered time.Time
}

// sim is one node, whose process is killed and started again, its platform and two backend servers.
type sim struct {
	rng      *rand.Rand
	off      disabled
	now      time.Time
	first    bool
	object   storedObject
	history  []storedObject // by step
	platform uint64         // generation
	calls    []*simCall     // that may still take effect
	backends []*simBackend
	inbox    []simMessage

	table   *ownership.Table
	core    *Core
	call    *simCall
	retryAt time.Time
	version uint64
	restart time.Time // of the process; zero while it runs
	waiting []simMessage
}

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

func (s *sim) start() {
	s.table = ownership.New(ownership.Options{Lease: 10 * time.Second, MaxGap: time.Hour, KeepDepartures: time.Minute, AwaitRecall: !s.first})
	s.core = New(Options{
		Start: s.now, FirstStart: s.first, Lateness: time.Minute, CheckInterval: time.Second,
		RewriteSpread: 2 * time.Second, IdleSpread: 5 * time.Second, Rand: s.rng,
	})
	s.first, s.call, s.version, s.waiting, s.restart = false, nil, 0, nil, time.Time{}
}

// simulate returns an error if a backend server is in service after its departure was
// acknowledged, or if one that stays is out of service at the end.
func simulate(seed uint64, off disabled) error {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 0)), off: off, first: true, platform: 1, now: time.Unix(1_700_000_000, 0)}
	begin := s.now
	at := func(low, high time.Duration) time.Time { return begin.Add(s.between(low, high)) }
	for i := range 2 {
		b := &simBackend{next: at(0, heartbeat)}
		b.Announcement = ownership.Announcement{Backend: "left", Service: "s", Address: fmt.Sprint("10.0.0.1:", i), Slots: 1, Incarnation: 7}
		b.held = at(8*time.Second, 13*time.Second)
		if i == 0 {
			b.leave, b.drains = at(10*time.Second, 16*time.Second), s.rng.IntN(2) == 0
			b.delivered = b.leave.Add(s.between(0, 12*time.Second))
		} else {
			b.Backend, b.delivered = "stays", b.held.Add(s.between(0, 8*time.Second))
		}
		s.backends = append(s.backends, b)
	}
	times := func(n int, low, high time.Duration) (list []time.Time) {
		for range s.rng.IntN(n + 1) {
			list = append(list, at(low, high))
		}
		return list
	}
	kills, drills := times(3, 10*time.Second, 24*time.Second), times(3, 9*time.Second, 24*time.Second)
	outage, outageEnd, mode := at(8*time.Second, 16*time.Second), at(12*time.Second, 26*time.Second), s.rng.IntN(4)
	s.start()
	for ; s.now.Before(begin.Add(simLength)); s.now = s.now.Add(simStep) {
		due := func(t time.Time) bool { return !t.After(s.now) && t.After(s.now.Add(-simStep)) }
		s.history = append(s.history, s.object)
		if slices.ContainsFunc(drills, due) {
			age := int(s.between(0, 8*time.Second) / simStep)
			s.object = s.history[max(0, len(s.history)-1-age)]
			s.platform++
		}
		if slices.ContainsFunc(kills, due) {
			s.restart = s.now.Add(s.between(simStep, 6*time.Second))
		}
		if !s.restart.IsZero() && !s.restart.After(s.now) {
			s.start()
		}
		fault := -1
		if s.now.After(outage) && s.now.Before(outageEnd) {
			fault = mode
		}
		for _, b := range s.backends {
			s.beat(b)
		}
		s.takeEffect()
		if s.restart.IsZero() {
			if fault < 0 && s.rng.IntN(50) == 0 { // Another component calls the platform.
				s.core.Observe(s.now, s.platform)
			}
			s.callPlatform(fault)
			s.serve()
		}
		for _, o := range s.table.Owned() {
			if s.restart.IsZero() && o.Backend == "left" && !o.Draining && s.backends[0].acknowledged {
				return fmt.Errorf("seed %d, %s: in service after its departure was acknowledged", seed, s.now.Sub(begin))
			}
		}
	}
	if !s.table.Holds(s.now, "stays") {
		return fmt.Errorf("seed %d: a backend server that stays is out of service", seed)
	}
	return nil
}

// beat sends what a backend server says of itself.
func (s *sim) beat(b *simBackend) {
	if s.now.Before(b.next) || b.acknowledged && b.Released {
		return
	}
	b.Sequence++
	b.next = s.now.Add(heartbeat)
	if !b.leave.IsZero() && !s.now.Before(b.leave) {
		b.Draining = b.drains && !b.acknowledged
		b.Released = !b.Draining
		if b.Released {
			b.acknowledged = false // The release is acknowledged on its own.
		}
		s.inbox = append(s.inbox, simMessage{b.Announcement, s.now})
		return
	}
	arrival := s.now
	if !s.now.Before(b.held) && s.now.Before(b.delivered) {
		arrival = b.delivered
	}
	s.inbox = append(s.inbox, simMessage{b.Announcement, arrival})
}

// serve lets the process take announcements that have arrived and give acknowledgments.
func (s *sim) serve() {
	var later []simMessage
	for _, m := range s.inbox {
		if m.arrival.After(s.now) {
			later = append(later, m)
			continue
		}
		if !s.core.Known() && s.now.Sub(m.arrival) < ackWait {
			later = append(later, m)
			continue
		}
		m.LeaseFrom = m.arrival
		res := s.table.Announce(s.now, m.Announcement)
		if res.DepartureChanged {
			s.core.Promise(s.now)
		}
		if res.Departed {
			s.core.Expedite(s.now)
			m.arrival = s.now
			s.waiting = append(s.waiting, m)
		}
	}
	s.inbox = later
	s.waiting = slices.DeleteFunc(s.waiting, func(m simMessage) bool {
		if s.core.Stored() || s.off.storeFirst {
			s.backends[0].acknowledged = true
			return true
		}
		return s.now.Sub(m.arrival) >= ackWait
	})
}

// callPlatform ends the call of the process and begins the next one.
func (s *sim) callPlatform(fault int) {
	if c := s.call; c != nil {
		if s.now.Before(c.end) {
			return
		}
		s.call = nil
		s.retryAt = s.now
		if c.lost || !c.done {
			s.retryAt = s.now.Add(s.between(100*time.Millisecond, time.Second))
		} else {
			s.returned(c)
		}
	}
	step := s.core.Next(s.now)
	if step.Action == Wait || step.At.After(s.now) || s.retryAt.After(s.now) {
		return
	}
	c := &simCall{action: step.Action, effect: s.now.Add(s.between(0, 20*time.Millisecond))}
	c.end = c.effect.Add(s.between(0, 60*time.Millisecond))
	if c.action == Write {
		c.pending = s.core.Begin(s.now)
		c.object = storedObject{s.version, c.pending.Complete, s.table.Departures(s.now)}
	}
	switch fault {
	case 0: // The connection is refused or reset.
		c.effect, c.end, c.lost = s.now.Add(time.Hour), s.now, true
	case 1: // No response; the call may take effect seconds later.
		c.effect, c.end, c.lost = s.now.Add(s.between(0, 5*time.Second)), s.now.Add(callTimeout), true
	case 2: // Slow.
		c.effect = s.now.Add(s.between(0, 2*callTimeout))
		c.end = s.now.Add(callTimeout)
		if c.lost = c.effect.After(c.end); !c.lost {
			c.end = c.effect
		}
	}
	s.call = c
	s.calls = append(s.calls, c)
}

// takeEffect lets the calls take effect at the platform, also those of processes that are gone.
func (s *sim) takeEffect() {
	s.calls = slices.DeleteFunc(s.calls, func(c *simCall) bool {
		if c.effect.After(s.now) {
			return false
		}
		c.done, c.inGeneration = true, s.platform
		if c.action == Write && c.object.version == s.object.version {
			s.object = c.object
			s.object.version++
		} else {
			c.conflict = c.action == Write
		}
		c.result = s.object
		return true
	})
}

func (s *sim) returned(c *simCall) {
	switch {
	case c.action == Check:
		s.core.Checked(s.now)
		s.core.Observe(s.now, c.inGeneration)
	case c.action == Write && !c.conflict:
		s.version = c.result.version
		s.core.Written(s.now, c.pending, c.inGeneration)
	default:
		s.version = c.result.version
		s.core.Recalled(s.now, Object{c.result.complete, c.inGeneration, len(c.result.departures) > 0})
		from := s.core.CompleteFrom()
		if s.off.proveAfterLoss {
			from = time.Time{}
		}
		s.table.Recall(s.now, c.result.departures, from)
	}
}

// Guards against a backend server that is in service after its departure was acknowledged, in
// random orders of kills, outages and restores of the platform, late heartbeats and departures.
func TestAcknowledgedDepartureBinds(t *testing.T) {
	seed := uint64(proptest.Seed(t))
	const plays = 1500
	for i := range uint64(plays) {
		if err := simulate(seed<<32+i, disabled{}); err != nil {
			t.Fatal(err)
		}
	}
	for _, off := range []disabled{{storeFirst: true}, {proveAfterLoss: true}} {
		broken := 0
		for i := range uint64(plays) {
			if simulate(seed<<32+i, off) != nil {
				broken++
			}
		}
		t.Logf("%+v: %d of %d plays break the promise", off, broken, plays)
		if broken == 0 {
			t.Errorf("without a half of the rule (%+v), no play breaks the promise", off)
		}
	}
}

// Guards against more calls than the platform takes when all nodes of a fleet of the design size have
// recent departures and the platform returns to an older copy.
func TestRestoreCostAtDesignSize(t *testing.T) {
	const (
		nodes            = 2100
		writesPerSecond  = 1200
		readsPerSecond   = 6000
		checkInterval    = time.Second
		step             = 10 * time.Millisecond
		rewriteWithin    = 5 * time.Second
		generationBefore = 1
	)
	rng := proptest.Rand(t)
	begin := time.Unix(1_700_000_000, 0)
	cores := make([]*Core, nodes)
	for i := range cores {
		cores[i] = New(Options{
			Start: begin, FirstStart: true, Lateness: time.Minute, CheckInterval: checkInterval,
			RewriteSpread: 2 * time.Second, IdleSpread: 5 * time.Second, Rand: rng,
		})
		at := begin.Add(time.Duration(rng.Int64N(int64(checkInterval))))
		cores[i].Observe(at, generationBefore)
		cores[i].Promise(at)
		cores[i].Written(at, cores[i].Begin(at), generationBefore)
	}
	var calls [Check + 1][]time.Time
	for now := begin.Add(checkInterval); now.Before(begin.Add(checkInterval + rewriteWithin)); now = now.Add(step) {
		for _, c := range cores {
			next := c.Next(now)
			if next.Action == Wait || next.At.After(now) {
				continue
			}
			calls[next.Action] = append(calls[next.Action], now)
			switch next.Action {
			case Read:
				c.Recalled(now, Object{generationBefore, generationBefore + 1, true})
			case Write:
				c.Written(now, c.Begin(now), generationBefore+1)
			case Check:
				c.Checked(now)
				c.Observe(now, generationBefore+1)
			}
		}
	}
	for action, limit := range map[Action]int{Read: readsPerSecond, Write: writesPerSecond} {
		most := 0
		for i, at := range calls[action] {
			n, _ := slices.BinarySearchFunc(calls[action], at.Add(time.Second), time.Time.Compare)
			most = max(most, n-i)
		}
		t.Logf("action %d: %d calls, at most %d in a second", action, len(calls[action]), most)
		if most > limit {
			t.Errorf("action %d: %d calls in a second, limit %d", action, most, limit)
		}
	}
	for i, c := range cores {
		if !c.Stored() || c.Next(begin.Add(checkInterval+rewriteWithin)).Action != Check {
			t.Fatalf("node %d has not stored its departures again", i)
		}
	}
}
