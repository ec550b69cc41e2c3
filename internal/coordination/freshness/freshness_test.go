package freshness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	testBound = 5 * time.Second
	ms        = Instant(time.Millisecond)
	sec       = Instant(time.Second)
)

// testMembers are two failure domains with three nodes each in the region of the node "a3", and
// one domain in another region. With these names, a1 and a2 watch the platform.
func testMembers() []Member {
	var list []Member
	for _, d := range []struct{ domain, region string }{{"a", "r1"}, {"b", "r1"}, {"c", "r2"}} {
		for i := range 3 {
			list = append(list, Member{ID: registry.NodeID(fmt.Sprint(d.domain, i+1)), FailureDomain: d.domain, Region: d.region})
		}
	}
	return list
}

func newTestCore(seed uint64) *Core {
	c := New(Options{Bound: testBound, Rand: rand.New(rand.NewPCG(seed, 1)), FailureDomain: "a", Region: "r1"})
	// The node is the one of its failure domain that does not watch the platform.
	c.setMembers(testMembers())
	for _, m := range testMembers()[:3] {
		if !slices.Contains(c.tiers[0], m.ID) {
			c.opts.Self = m.ID
		}
	}
	return c
}

// network answers the calls of a core in a test.
type network struct {
	core    *Core
	now     Instant
	delay   func(to registry.NodeID) Instant
	answer  func(to registry.NodeID) Reply
	pending []pendingReply
	asked   []registry.NodeID
	reads   []Instant
	changes []Change
}

type pendingReply struct {
	at    Instant
	reply Reply
}

// run steps the core until the given time.
func (n *network) run(until Instant, watching bool) {
	in := Input{Members: testMembers()}
	for {
		in.Now, in.Active, in.Watching = n.now, true, watching
		out := n.core.Step(in)
		for _, c := range out.Calls {
			n.asked = append(n.asked, c.To)
			reply := n.answer(c.To)
			reply.ID = c.ID
			delay := ms
			if n.delay != nil {
				delay = n.delay(c.To)
			}
			n.pending = append(n.pending, pendingReply{n.now + delay, reply})
		}
		if out.ReadPlatform {
			n.reads = append(n.reads, n.now)
		}
		if out.Change != nil {
			n.changes = append(n.changes, *out.Change)
		}
		next := out.Wake
		for _, p := range n.pending {
			next = min(next, p.at)
		}
		if next > until {
			n.now = until
			return
		}
		n.now = max(next, n.now)
		in = Input{}
		n.pending = slices.DeleteFunc(n.pending, func(p pendingReply) bool {
			if p.at <= n.now {
				in.Replies = append(in.Replies, p.reply)
			}
			return p.at <= n.now
		})
	}
}

var errNoReply = errors.New("no reply")

func current(age time.Duration) func(registry.NodeID) Reply {
	return func(registry.NodeID) Reply { return Reply{Known: true, Age: age, SamePolicies: true} }
}

// Guards against keys that go on working at a node that cannot hear of their removal: one that is
// cut off, was suspended, or whose peers know no more than it does.
func TestKeysBecomeOutdated(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(registry.NodeID) Reply
		delay  Instant
	}{
		{"no reply", func(registry.NodeID) Reply { return Reply{Err: errNoReply} }, 300 * ms},
		{"silence", func(registry.NodeID) Reply { return Reply{Err: errNoReply} }, 2 * sec},
		{"peers without a confirmation", func(registry.NodeID) Reply { return Reply{SamePolicies: true} }, ms},
		{"peers with an outdated confirmation", current(testBound), ms},
		{"peers with other policies", func(registry.NodeID) Reply { return Reply{Known: true} }, ms},
		{"negative age", func(registry.NodeID) Reply { return Reply{Known: true, Age: -time.Hour, SamePolicies: true} }, ms},
		{"reply after the bound", current(0), 6 * sec},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := &network{core: newTestCore(1), now: 100 * sec, answer: c.answer, delay: func(registry.NodeID) Instant { return c.delay }}
			n.core.Confirmation().Confirm(100 * sec)
			confirmation := n.core.Confirmation()
			n.run(104*sec+800*ms, false)
			if !confirmation.Current(n.now) {
				t.Errorf("outdated after %v", n.now.Sub(100*sec))
			}
			n.run(105*sec, false)
			if confirmation.Current(n.now) {
				t.Errorf("current after %v", n.now.Sub(100*sec))
			}
			if len(n.changes) != 2 || !n.changes[0].Current || n.changes[1].Current {
				t.Errorf("changes %+v", n.changes)
			}
		})
	}
	t.Run("suspended", func(t *testing.T) {
		core := newTestCore(1)
		core.Step(Input{Now: 100 * sec, Members: testMembers(), Active: true})
		core.Confirmation().Confirm(100 * sec)
		// The clock has gone on, and no step has run since.
		if core.Confirmation().Current(160 * sec) {
			t.Error("current after the suspension")
		}
	})
	t.Run("before the first confirmation", func(t *testing.T) {
		if newTestCore(1).Confirmation().Current(0) {
			t.Error("current without a confirmation")
		}
	})
}

// Guards against a confirmation that counts from the arrival of a reply: the policies may have
// changed since the request was sent.
func TestConfirmationCountsFromRequest(t *testing.T) {
	n := &network{core: newTestCore(1), now: 100 * sec, answer: current(time.Second)}
	first := true
	n.delay = func(registry.NodeID) Instant {
		if first {
			first = false
			return 3 * sec
		}
		return sec * 1000
	}
	n.run(102*sec+900*ms, false)
	if n.core.Confirmation().Current(n.now) {
		t.Fatal("current before the reply")
	}
	n.run(103*sec+100*ms, false)
	if age, known := n.core.Confirmation().Age(103 * sec); !known || age != 4*time.Second {
		t.Errorf("age %v, %v after a reply with an age of 1 s to a request that was sent 3 s ago", age, known)
	}
	n.core.Confirmation().Confirm(90 * sec)
	if age, _ := n.core.Confirmation().Age(103 * sec); age != 4*time.Second {
		t.Errorf("age %v after an earlier confirmation", age)
	}
}

// Guards against a healthy fleet that reads the platform for each node, and against traffic
// between failure domains while the watchers of the own one reply.
func TestHealthyNodeAsksItsWatchers(t *testing.T) {
	n := &network{core: newTestCore(2), now: 100 * sec, answer: current(2 * time.Second)}
	n.run(160*sec, false)
	if len(n.reads) > 0 {
		t.Errorf("%d reads of the platform", len(n.reads))
	}
	if len(n.asked) < 60 || len(n.asked) > 60*10/7+2 {
		t.Errorf("%d requests in 60 s", len(n.asked))
	}
	for _, id := range n.asked {
		if !slices.Contains(n.core.tiers[0], id) {
			t.Errorf("asked %s", id)
		}
	}
	if len(n.changes) != 1 {
		t.Errorf("changes %+v", n.changes)
	}
	asked := len(n.asked)
	for n.now < 200*sec {
		n.core.Confirmation().Confirm(n.now - sec)
		n.run(n.now+sec, true)
	}
	if len(n.asked) > asked+1 {
		t.Errorf("a watcher that reads the platform asked %d times", len(n.asked)-asked)
	}
}

// Guards against keys that become outdated in a healthy fleet whose bound is short.
func TestShortBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Minute} {
		core := newTestCore(6)
		core.opts.Bound, core.confirmation = bound, NewConfirmation(bound)
		n := &network{core: core, now: 100 * sec, answer: current(2 * WatchWait(bound)), delay: func(registry.NodeID) Instant { return 10 * ms }}
		n.run(130*sec, false)
		if len(n.changes) != 1 || len(n.reads) > 0 {
			t.Errorf("bound %v: changes %+v, %d reads of the platform", bound, n.changes, len(n.reads))
		}
	}
}

// Guards against a node that loses its keys although some node that it reaches, or the platform,
// can confirm them.
func TestNodeFindsAnotherSource(t *testing.T) {
	for name, lost := range map[string][]int{
		"one watcher":            {},
		"the watchers":           {0},
		"the region":             {0, 1},
		"all nodes that it asks": {0, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			n := &network{core: newTestCore(3), now: 100 * sec}
			fails := func(id registry.NodeID) bool {
				if len(lost) == 0 {
					return id == n.core.tiers[0][0]
				}
				return slices.ContainsFunc(lost, func(tier int) bool { return slices.Contains(n.core.tiers[tier], id) })
			}
			n.delay = func(id registry.NodeID) Instant {
				if fails(id) {
					return 2 * sec
				}
				return 10 * ms
			}
			n.answer = func(id registry.NodeID) Reply {
				if fails(id) {
					return Reply{Err: errNoReply}
				}
				return current(2 * time.Second)(id)
			}
			n.core.Confirmation().Confirm(98 * sec)
			platform := len(lost) == 3
			for n.now < 120*sec {
				reads := len(n.reads)
				n.run(n.now+50*ms, false)
				if platform && len(n.reads) > reads {
					n.core.Confirmation().Confirm(n.now)
				}
			}
			if len(n.changes) != 1 {
				t.Errorf("changes %+v", n.changes)
			}
			if platform != (len(n.reads) > 0) || len(n.reads) > 8 {
				t.Errorf("%d reads of the platform in 20 s", len(n.reads))
			}
		})
	}
}

// Guards against nodes that together read a platform that is down as often as they can.
func TestReadsOfPlatformThatIsDownBecomeRare(t *testing.T) {
	n := &network{core: newTestCore(4), now: 100 * sec, answer: func(registry.NodeID) Reply { return Reply{Err: errNoReply} }}
	n.run(160*sec, false)
	if len(n.reads) < 5 || len(n.reads) > 16 {
		t.Errorf("%d reads in 60 s", len(n.reads))
	}
	if len(n.asked) > 60*10/7+20 {
		t.Errorf("%d requests to peers in 60 s", len(n.asked))
	}
}

// Guards against messages in a fleet whose policies have no keys.
func TestNothingIsAskedWithoutKeys(t *testing.T) {
	core := newTestCore(5)
	for now := 100 * sec; now < 130*sec; now += 100 * ms {
		out := core.Step(Input{Now: now, Members: testMembers()})
		if len(out.Calls) > 0 || out.ReadPlatform || out.Change != nil {
			t.Fatalf("output %+v", out)
		}
	}
}
