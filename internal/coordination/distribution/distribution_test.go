package distribution

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// inForceBound is the time within which an accepted policy must be in force on all nodes.
const inForceBound = 4 * time.Second

// runFaults injects faults for 20 s, repairs the platform and waits for the longest
// backoff. It then writes new epochs, which must reach all nodes although the network
// still loses messages and has one-way cuts.
func runFaults(seed int64, disabled DisabledMechanisms) {
	setup := rand.New(rand.NewPCG(uint64(seed), 3))
	s := newSim(seed, 2+setup.IntN(3), 3+setup.IntN(5), disabled)
	s.loss, s.duplicate = 0.2*setup.Float64(), 0.1*setup.Float64()
	s.maxDelay = time.Duration(5+setup.IntN(200)) * time.Millisecond
	services := make([]string, 3+setup.IntN(6))
	for i := range services {
		services[i] = fmt.Sprintf("s%d", i)
		s.write(services[i])
	}
	for _, n := range s.nodes {
		s.after(time.Duration(setup.Int64N(int64(time.Second))), func() { s.boot(n) })
	}
	cuts := func(share float64) {
		clear(s.cut)
		for a := range s.nodes {
			for b := range s.nodes {
				if setup.Float64() < share {
					s.cut[[2]int{a, b}] = true
				}
			}
		}
	}
	for range 40 {
		s.after(time.Duration(setup.Int64N(int64(20*time.Second))), func() {
			switch setup.IntN(8) {
			case 0, 1, 2:
				// Several epochs at once make a stale listing out of date.
				for range 1 + setup.IntN(3) {
					s.write(services[setup.IntN(len(services))])
				}
			case 3, 4:
				n := s.nodes[setup.IntN(len(s.nodes))]
				n.up = false
				s.after(time.Duration(setup.Int64N(int64(3*time.Second))), func() { s.boot(n) })
			case 5:
				cuts(0.3 * setup.Float64())
			case 6:
				s.platformFails = !s.platformFails
				s.wakeWatches()
			case 7:
				s.platformLag = uint64(setup.IntN(6))
			}
		})
	}
	s.runUntil(24 * time.Second)
	s.platformFails, s.platformLag = false, 0
	cuts(0.1)
	s.loss = min(s.loss, 0.1)
	s.wakeWatches()
	s.runUntil(60 * time.Second)
	for _, service := range services[:2] {
		s.write(service)
	}
	s.runUntil(60*time.Second + inForceBound)
	for _, n := range s.nodes {
		for service, epoch := range s.epochs {
			p := n.core.Table().Get(service)
			if p == nil {
				p = &policy.InForce{}
			}
			invariant.Check(p.Epoch == epoch, "converges", "node %s has %s at epoch %d, accepted is %d", n.member.ID, service, p.Epoch, epoch)
		}
		invariant.Check(n.ready, "becomes_ready", "node %s is not ready", n.member.ID)
	}
}

// violations calls runFaults and returns the names of the violated invariants.
func violations(seed int64, disabled DisabledMechanisms) map[string]string {
	found := map[string]string{}
	invariant.SetHandler(func(name, detail string) { found[name] = detail })
	// All other tests fail with a panic at the first violation.
	defer invariant.SetHandler(func(name, detail string) { panic("invariant " + name + " violated: " + detail) })
	runFaults(seed, disabled)
	return found
}

// Guards against an epoch that decreases, a starting node that serves an old epoch, and a
// policy that is not in force on all nodes within the bound.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(proptest.Seed(t))
	parameters.MinSuccessfulTests = 100
	if testing.Short() {
		parameters.MinSuccessfulTests = 30
	}
	properties := gopter.NewProperties(parameters)
	properties.Property("no invariant is violated", prop.ForAllNoShrink(func(seed int64) (bool, error) {
		if found := violations(seed, DisabledMechanisms{}); len(found) > 0 {
			return false, fmt.Errorf("seed %d: %v", seed, found)
		}
		return true, nil
	}, gen.Int64()))
	properties.TestingRun(t)
}

// Guards against invariants that hold even if their mechanism does not work, so that they
// do not test it.
func TestInvariantsDetectMissingMechanisms(t *testing.T) {
	for name, d := range map[string]DisabledMechanisms{
		"node_epoch_rises":   {EpochCheck: true},
		"policy_epoch_rises": {EpochCheck: true},
		"start_not_behind":   {StartCheck: true},
		"converges":          {AntiEntropy: true, TakeOver: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(40) {
				if detail := violations(seed, d)[name]; detail != "" {
					t.Logf("seed %d: %s", seed, detail)
					return
				}
			}
			t.Fatal("no violation with the mechanism switched off")
		})
	}
}

// Guards against a distribution that meets the bound only in small fleets. This fleet has
// the design size: 12 failure domains of 175 nodes.
func TestDesignScaleMeetsBound(t *testing.T) {
	if testing.Short() {
		t.Skip("runs 2,100 cores")
	}
	s := newSim(1, 12, 175, DisabledMechanisms{})
	s.loss = 0.01
	s.bootConfirmed()
	s.runUntil(3 * time.Second)
	s.write("booking")
	accepted := s.now
	pushes, calls, reads := s.notifications, s.calls, s.platformRequests
	missing := len(s.nodes)
	for missing > 0 && s.now.Sub(accepted) < inForceBound {
		s.runUntil(s.now.Sub(s.start) + 10*time.Millisecond)
		missing = len(s.behind("booking"))
	}
	t.Logf("in force on %d of %d nodes after %s; %d datagrams, %d calls between nodes, %d platform requests",
		len(s.nodes)-missing, len(s.nodes), s.now.Sub(accepted), s.notifications-pushes, s.calls-calls, s.platformRequests-reads)
	if missing > 0 {
		t.Fatalf("%d nodes lack the policy after %s", missing, inForceBound)
	}
}

// Guards against a node that no push is sent to, so that it keeps the old policy until a
// digest or the second push arrives.
func TestPushesReachEveryNodeOfFailureDomain(t *testing.T) {
	const within = 200 * time.Millisecond
	for seed := range int64(100) {
		s := newSim(seed, 2, 10, DisabledMechanisms{})
		s.bootConfirmed()
		s.runUntil(3 * time.Second)
		s.write("booking")
		s.runUntil(3*time.Second + within)
		if nodes := s.behind("booking"); len(nodes) > 0 {
			t.Errorf("seed %d: nodes %v lack the policy after %s", seed, nodes, within)
		}
	}
}

// testCore returns the core of node n0 in failure domain a, with peers p0, p1 and so on in
// failure domain b.
func testCore(peers int) (*Core, time.Time) {
	start := time.Unix(0, 0)
	c := New(Options{Self: "n0", FailureDomain: "a", Start: start, Rand: rand.New(rand.NewPCG(1, 1))})
	members := []Member{{"n0", "a"}}
	for i := range peers {
		members = append(members, Member{registry.NodeID(fmt.Sprintf("p%d", i)), "b"})
	}
	c.Step(Input{Now: start, Members: members})
	return c, start
}

// Guards against a refused lower epoch that is not reported, or that is reported again with
// every reply of a stale platform.
func TestStalePlatformIsReportedOnce(t *testing.T) {
	c, now := testCore(0)
	object := func(epoch uint64) platform.Object {
		return platform.Object{Key: policy.Key("s"), Value: fmt.Appendf(nil, `{"epoch":%d,"text":%q}`, epoch, document("s", epoch))}
	}
	var refused []event.Event
	for i, epoch := range []uint64{5, 4, 4} {
		now = now.Add(2 * time.Second)
		out := c.Step(Input{Now: now})
		if out.PlatformRequest == nil {
			t.Fatalf("request %d is missing", i)
		}
		out = c.Step(Input{Now: now, PlatformReply: &PlatformReply{ID: out.PlatformRequest.ID, Objects: []platform.Object{object(epoch)}}})
		if out.PlatformRequest == nil {
			t.Fatal("no request follows the reply")
		}
		c.watch.request = nil
		for _, e := range out.Events {
			if e.Kind == event.PolicyRefused {
				refused = append(refused, e)
			}
		}
	}
	if len(refused) != 1 || !strings.Contains(refused[0].Reason, "epoch 4 refused, epoch 5 is known") {
		t.Fatalf("refusals: %+v", refused)
	}
	if p := c.Table().Get("s"); p.Epoch != 5 {
		t.Fatalf("epoch %d is in force", p.Epoch)
	}
}

// Guards against waits outside 0.5 s to 30 s, waits without jitter, and a watcher that does
// not list again after a compaction.
func TestPlatformBackoff(t *testing.T) {
	c, now := testCore(0)
	waits := map[time.Duration]bool{}
	next := func(err error) *PlatformRequest {
		sent := now
		for {
			now = now.Add(5 * time.Millisecond)
			if out := c.Step(Input{Now: now}); out.PlatformRequest != nil {
				waits[now.Sub(sent)] = true
				r := out.PlatformRequest
				c.Step(Input{Now: now, PlatformReply: &PlatformReply{ID: r.ID, Err: err}})
				return r
			}
		}
	}
	next(platform.ErrUnavailable)
	clear(waits)
	for range 60 {
		next(platform.ErrUnavailable)
	}
	list := make([]time.Duration, 0, len(waits))
	for w := range waits {
		list = append(list, w)
	}
	if low, high := slices.Min(list), slices.Max(list); low < minBackoff || high > defaultMaxBackoff+5*time.Millisecond || high < 20*time.Second || len(list) < 50 {
		t.Fatalf("%d different waits from %s to %s", len(list), low, high)
	}
	if r := next(nil); r.Watch {
		t.Fatal("watch before the first listing")
	}
	c.watch.request = nil
	if r := next(platform.ErrCompacted); !r.Watch {
		t.Fatal("no watch after a listing")
	}
	if r := next(nil); r.Watch {
		t.Fatal("no listing after a compaction")
	}
}

// Guards against a fleet that starts at once and in which every node watches the platform
// until it knows the other members, and against a watcher that never watches.
func TestStartingNodeListsBeforeItWatches(t *testing.T) {
	start := time.Unix(0, 0)
	c := New(Options{Self: "n0", FailureDomain: "a", Start: start, Rand: rand.New(rand.NewPCG(1, 1)), Linearizable: true})
	c.Step(Input{Now: start, Members: []Member{{"n0", "a"}}})
	var listed, watched time.Duration
	for now := start; now.Sub(start) < 5*time.Second && watched == 0; now = now.Add(5 * time.Millisecond) {
		r := c.Step(Input{Now: now}).PlatformRequest
		switch {
		case r == nil:
		case r.Watch:
			watched = now.Sub(start)
		default:
			listed = now.Sub(start)
			c.Step(Input{Now: now, PlatformReply: &PlatformReply{ID: r.ID, Revision: 7}})
		}
	}
	if listed > maxFirstListingDelay || watched < minWatchDelay || watched > minWatchDelay+time.Second {
		t.Fatalf("listed after %s, watched after %s", listed, watched)
	}
}

// Guards against a platform request by each watcher for each of many rapid changes, and
// against a change that is read later than the pause allows.
func TestRapidChangesAreReadTogether(t *testing.T) {
	c, now := testCore(0)
	const step, changes = 5 * time.Millisecond, 200
	// next steps the core until it makes a request, and returns the request and the time
	// until then.
	next := func(in Input) (r *PlatformRequest, after time.Duration) {
		for begin := now; ; now = now.Add(step) {
			in.Now = now
			if r := c.Step(in).PlatformRequest; r != nil {
				return r, now.Sub(begin)
			}
			in = Input{}
		}
	}
	reply := func(r *PlatformRequest, objects ...platform.Object) Input {
		return Input{PlatformReply: &PlatformReply{ID: r.ID, Revision: r.Since + 1, Objects: objects}}
	}
	r, _ := next(Input{})
	r, _ = next(reply(r)) // The listing.
	var sum, longest time.Duration
	for epoch := range uint64(changes) {
		var after time.Duration
		r, after = next(reply(r, platform.Object{Key: policy.Key("s"), Value: fmt.Appendf(nil, `{"epoch":%d,"text":%q}`, epoch+1, document("s", epoch+1))}))
		sum, longest = sum+after, max(longest, after)
		if epoch == 0 && after > 0 {
			t.Errorf("the watch after a first change started only after %s", after)
		}
	}
	if mean := sum / changes; mean < maxWatchPause/4 || longest > maxWatchPause+step {
		t.Errorf("watches follow changes after %s on average and %s at most", mean, longest)
	}
	if _, after := next(reply(r)); after > 0 {
		t.Errorf("the watch after one without a change started only after %s", after)
	}
}

// Guards against a failure domain without watchers or with more than two, and against
// watchers that change although they are still alive.
func TestWatchers(t *testing.T) {
	var members []Member
	for i := range 20 {
		members = append(members, Member{registry.NodeID(fmt.Sprint(i)), fmt.Sprint("fd", i%3)})
	}
	first := Watchers(members, "fd1")
	if len(first) != 2 {
		t.Fatalf("watchers: %v", first)
	}
	rest := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == first[0] })
	if second := Watchers(rest, "fd1"); len(second) != 2 || second[0] != first[1] {
		t.Fatalf("watchers after the loss of %s: %v, before %v", first[0], second, first)
	}
}

// Guards against starting nodes with empty tables that confirm each other, and against a
// startup that never ends in a fleet without a confirmed node.
func TestStartWithoutConfirmedPeers(t *testing.T) {
	c, now := testCore(3)
	var status Status
	for end := now.Add(40 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		out := c.Step(Input{Now: now})
		var replies []Reply
		for _, cl := range out.Calls {
			if cl.Sync != nil {
				replies = append(replies, Reply{ID: cl.ID, Sync: &SyncReply{Versions: []Version{{"s", 3, policy.Hash(document("s", 3))}}}})
			} else {
				replies = append(replies, Reply{ID: cl.ID, Pull: &PullReply{Policies: []policy.VersionedDocument{{Service: "s", Epoch: 3, Text: document("s", 3)}}}})
			}
		}
		status = c.Step(Input{Now: now, Replies: replies}).Status
		if early := now.Sub(time.Unix(0, 0)) < unconfirmedStartDelay; early && status.Ready {
			t.Fatalf("ready after %s without a confirmed source", now.Sub(time.Unix(0, 0)))
		}
	}
	if !status.Ready || status.Confirmed || c.Table().Get("s").Epoch != 3 {
		t.Fatalf("status after the longest start: %+v", status)
	}
}

// Guards against a fleet that starts at once and overloads the peers or the platform, or
// does not become ready. The fleet of one node has no peer to wait for.
func TestFleetStartIsBounded(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {1, 3}, {6, 20}} {
		s := newSim(7, size[0], size[1], DisabledMechanisms{})
		s.write("booking")
		for _, n := range s.nodes {
			s.after(time.Duration(s.rand.Int64N(int64(time.Second))), func() { s.boot(n) })
		}
		s.runUntil(8 * time.Second)
		for _, n := range s.nodes {
			if !n.ready {
				t.Errorf("%v: node %s is not ready after 8 s", size, n.member.ID)
			}
		}
		t.Logf("%d nodes: %d calls between nodes, %d platform requests", len(s.nodes), s.calls, s.platformRequests)
		if s.calls > 60*len(s.nodes) || s.platformRequests > 6*2*size[0] {
			t.Errorf("%v: %d calls between nodes, %d platform requests", size, s.calls, s.platformRequests)
		}
	}
}
