package freshness

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/distribution"
)

// fleet runs the cores of some nodes in simulated time. Messages are late or lost, nodes are
// paused or cut off, and the platform is down at times. Nodes learn of a version of the policies
// by reading the platform, or from a random peer.
type fleet struct {
	rng     *rand.Rand
	now     Instant
	nodes   []*fleetNode
	written []Instant // when each version was acknowledged
	down    Instant   // the platform is down until then
	queue   []fleetEvent
}

type fleetNode struct {
	core         *Core
	member       Member
	watching     bool
	reading      bool
	version      int
	in           Input
	paused, gone Instant // paused and cut off until then
}

type fleetEvent struct {
	at  Instant
	run func()
}

func (f *fleet) after(d time.Duration, run func()) {
	f.queue = append(f.queue, fleetEvent{f.now.Add(d), run})
}

// delay returns the time that a message takes, a few of them very long.
func (f *fleet) delay() time.Duration {
	if f.rng.IntN(20) == 0 {
		return time.Duration(f.rng.Int64N(int64(8 * time.Second)))
	}
	return time.Duration(f.rng.Int64N(int64(20 * time.Millisecond)))
}

// read reads the platform for a node, as its watch does.
func (f *fleet) read(n *fleetNode) {
	n.reading = true
	sentAt := f.now
	f.after(f.delay(), func() {
		ok, version := f.now >= f.down && f.now >= n.gone, len(f.written)
		f.after(f.delay(), func() {
			f.whenRunning(n, func() {
				n.reading = false
				if ok && f.now >= n.gone {
					n.version = max(n.version, version)
					n.core.Confirmation().Confirm(sentAt)
				}
			})
		})
	})
}

// whenRunning runs what a node does once it is not paused.
func (f *fleet) whenRunning(n *fleetNode, run func()) {
	if f.now < n.paused {
		f.after(n.paused.Sub(f.now), func() { f.whenRunning(n, run) })
		return
	}
	run()
}

func (f *fleet) ask(n *fleetNode, c Call) {
	peer := f.nodes[slices.IndexFunc(f.nodes, func(o *fleetNode) bool { return o.member.ID == c.To })]
	reply := Reply{ID: c.ID, Err: errNoReply}
	f.after(f.delay(), func() {
		f.whenRunning(peer, func() {
			if f.now >= n.gone && f.now >= peer.gone {
				reply.Err = nil
				reply.Age, reply.Known = peer.core.Confirmation().Age(f.now)
			}
			version := peer.version
			f.after(f.delay(), func() {
				f.whenRunning(n, func() {
					reply.SamePolicies = version == n.version
					n.in.Replies = append(n.in.Replies, reply)
				})
			})
		})
	})
}

func (f *fleet) faults() {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	length := Instant(f.rng.Int64N(int64(12 * sec)))
	switch f.rng.IntN(8) {
	case 0:
		n.paused = f.now + length
	case 1:
		n.gone = f.now + length
	case 2:
		f.down = f.now + length
	case 3, 4, 5:
		f.written = append(f.written, f.now)
	case 6, 7:
		// A peer tells of its policies, perhaps of old ones.
		version := f.nodes[f.rng.IntN(len(f.nodes))].version
		f.after(f.delay(), func() { n.version = max(n.version, version) })
	}
}

func (f *fleet) tick() {
	due := slices.DeleteFunc(slices.Clone(f.queue), func(e fleetEvent) bool { return e.at > f.now })
	f.queue = slices.DeleteFunc(f.queue, func(e fleetEvent) bool { return e.at <= f.now })
	for _, e := range due {
		e.run()
	}
	for _, n := range f.nodes {
		if f.now < n.paused {
			continue
		}
		in := n.in
		n.in = Input{}
		in.Now, in.Active, in.Watching = f.now, true, n.watching
		out := n.core.Step(in)
		for _, c := range out.Calls {
			f.ask(n, c)
		}
		if !n.reading && (out.ReadPlatform || n.watching) {
			f.read(n)
		}
	}
}

// Guards against a key that works at some node for longer than the bound after its removal, in
// random sequences of faults, and against a rule so strict that keys are hardly ever current.
func TestRemovedKeysNeverOutliveBound(t *testing.T) {
	seed := uint64(1)
	if s := os.Getenv("WIGEONSPRING_SEED"); s != "" {
		var err error
		if seed, err = strconv.ParseUint(s, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("WIGEONSPRING_SEED=%d", seed)
	for run := range uint64(20) {
		f := &fleet{rng: rand.New(rand.NewPCG(seed, run)), now: 100 * sec, written: []Instant{100 * sec}}
		members := testMembers()
		var list []distribution.Member
		for _, m := range members {
			list = append(list, distribution.Member{ID: m.ID, FailureDomain: m.FailureDomain})
		}
		for _, m := range members {
			n := &fleetNode{member: m, version: 1, in: Input{Members: members}}
			n.core = New(Options{Self: m.ID, FailureDomain: m.FailureDomain, Region: m.Region, Bound: testBound, Rand: f.rng})
			n.watching = slices.Contains(distribution.Watchers(list, m.FailureDomain), m.ID)
			f.nodes = append(f.nodes, n)
		}
		checks, current := 0, 0
		for ; f.now < 220*sec; f.now += 10 * ms {
			if f.rng.IntN(150) == 0 {
				f.faults()
			}
			f.tick()
			for _, n := range f.nodes {
				checks++
				if !n.core.Confirmation().Current(f.now) {
					continue
				}
				current++
				if n.version < len(f.written) && f.now > f.written[n.version].Add(testBound) {
					t.Fatalf("run %d: %s accepts keys of version %d at %v; version %d was acknowledged at %v",
						run, n.member.ID, n.version, time.Duration(f.now), n.version+1, time.Duration(f.written[n.version]))
				}
			}
		}
		if share := float64(current) / float64(checks); share < 0.3 {
			t.Errorf("run %d: keys are current in %.0f%% of the time", run, 100*share)
		}
	}
}
