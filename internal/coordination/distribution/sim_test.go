package distribution

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// sim runs cores in simulated time, with a network and a platform that have faults. The
// seed determines the whole run.
type sim struct {
	rand   *rand.Rand
	now    time.Time
	start  time.Time
	events eventQueue
	seq    int
	nodes  []*simNode
	all    []Member

	loss, duplicate    float64
	minDelay, maxDelay time.Duration
	// cut holds the pairs of nodes between which messages are lost in one direction.
	// platformCut holds the nodes that get no replies from the platform.
	cut           map[[2]int]bool
	platformFails bool
	platformLag   uint64
	platformCut   map[int]bool
	changes       []platform.Object
	epochs        map[string]uint64
	waiting       map[*simNode]*PlatformRequest
	disabled      DisabledMechanisms
	// historyDropped is set while the platform ends every watch because it has forgotten its
	// history.
	historyDropped bool
	// transferTime is the time between the beginning and the end of a reply with changes.
	transferTime time.Duration
	// platformUnresponsive drops every request to the platform.
	platformUnresponsive bool
	// options changes the options of the cores.
	options                                func(*Options)
	notifications, calls, platformRequests int
}

type simNode struct {
	index       int
	member      Member
	core        *Core
	incarnation int
	up, ready   bool
	wake        int
	epochs      map[string]uint64
	// syncReplies holds the policies in force on each peer when it replied to a sync.
	syncReplies map[int]syncRecord
}

type syncRecord struct {
	at   time.Time
	have []*policy.InForce
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSim(seed int64, domains, perDomain int, disabled DisabledMechanisms) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(uint64(seed), 1)), now: time.Unix(1_000_000, 0), disabled: disabled,
		minDelay: time.Millisecond, maxDelay: 10 * time.Millisecond,
		cut: map[[2]int]bool{}, platformCut: map[int]bool{}, epochs: map[string]uint64{}, waiting: map[*simNode]*PlatformRequest{},
	}
	s.start = s.now
	for d := range domains {
		for range perDomain {
			i := len(s.nodes)
			m := Member{ID: registry.NodeID(fmt.Sprintf("n%04d", i)), FailureDomain: fmt.Sprintf("fd%d", d)}
			s.nodes = append(s.nodes, &simNode{index: i, member: m})
			s.all = append(s.all, m)
		}
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, run})
}

func (s *sim) runUntil(d time.Duration) {
	end := s.start.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) delay() time.Duration {
	return s.minDelay + time.Duration(s.rand.Int64N(int64(s.maxDelay-s.minDelay)+1))
}

// datagram delivers a message zero, one or two times.
func (s *sim) datagram(from, to int, deliver func()) {
	s.send(from, to, deliver)
	if s.rand.Float64() < s.duplicate {
		s.send(from, to, deliver)
	}
}

// send delivers a message at most once. Calls between nodes are not duplicated, because
// each uses its own connection.
func (s *sim) send(from, to int, deliver func()) {
	if s.cut[[2]int{from, to}] || s.rand.Float64() < s.loss {
		return
	}
	s.after(s.delay(), func() {
		if s.nodes[to].up {
			deliver()
		}
	})
}

// boot starts a new incarnation, which learns of the other members after a short delay.
func (s *sim) boot(n *simNode) {
	n.incarnation++
	n.up, n.ready, n.epochs, n.syncReplies = true, false, map[string]uint64{}, map[int]syncRecord{}
	delete(s.waiting, n)
	o := Options{
		Self: n.member.ID, FailureDomain: n.member.FailureDomain, Start: s.now,
		Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 2)), Disabled: s.disabled,
	}
	if s.options != nil {
		s.options(&o)
	}
	n.core = New(o)
	incarnation := n.incarnation
	s.step(n, Input{Members: []Member{n.member}})
	s.after(50*time.Millisecond+s.delay(), func() {
		if n.up && n.incarnation == incarnation {
			s.step(n, Input{Members: s.all})
		}
	})
	s.after(time.Duration(s.rand.Int64N(int64(time.Second))), func() { s.probe(n, incarnation) })
}

// bootConfirmed starts all nodes as confirmed and ready, like those of a running fleet.
func (s *sim) bootConfirmed() {
	for _, n := range s.nodes {
		s.boot(n)
		n.core.confirmed.Store(true)
		n.core.ready, n.ready = true, true
	}
}

// behind returns the running nodes on which the latest epoch of a service is not in force.
func (s *sim) behind(service string) (ids []registry.NodeID) {
	for _, n := range s.nodes {
		if p := n.core.Table().Get(service); n.up && (p == nil || p.Epoch < s.epochs[service]) {
			ids = append(ids, n.member.ID)
		}
	}
	return ids
}

// probe exchanges digests with a random member once per second.
func (s *sim) probe(n *simNode, incarnation int) {
	if !n.up || n.incarnation != incarnation {
		return
	}
	s.after(time.Second, func() { s.probe(n, incarnation) })
	to := s.nodes[s.rand.IntN(len(s.nodes))]
	if to == n {
		return
	}
	digest := n.core.Table().Digest()
	acked := false
	s.datagram(n.index, to.index, func() {
		s.step(to, Input{Digests: []PeerDigest{{n.member.ID, digest}}})
		ack := to.core.Table().Digest()
		s.datagram(to.index, n.index, func() {
			acked = true
			s.step(n, Input{Digests: []PeerDigest{{to.member.ID, ack}}})
		})
	})
	s.after(ackTimeout, func() {
		if !acked && n.up && n.incarnation == incarnation {
			s.step(n, Input{FailedProbes: 1})
		}
	})
}

// ackTimeout is the timeout of the probes between members.
const ackTimeout = 300 * time.Millisecond

func (s *sim) index(id registry.NodeID) int {
	var i int
	fmt.Sscanf(string(id), "n%d", &i)
	return i
}

func (s *sim) step(n *simNode, in Input) {
	in.Now = s.now
	out := n.core.Step(in)
	for _, p := range out.InForce {
		invariant.Check(p.Epoch > n.epochs[p.Service], "node_epoch_rises", "node %s service %s: epoch %d after %d", n.member.ID, p.Service, p.Epoch, n.epochs[p.Service])
		n.epochs[p.Service] = p.Epoch
	}
	if out.Status.Ready && !n.ready {
		n.ready = true
		s.checkStart(n)
	}
	incarnation := n.incarnation
	for _, d := range out.Notifications {
		s.notifications++
		s.datagram(n.index, s.index(d.To), func() {
			s.step(s.nodes[s.index(d.To)], Input{Notifications: []ReceivedNotification{{n.member.ID, d.Version, d.Text}}})
		})
	}
	for _, c := range out.Calls {
		s.calls++
		s.call(n, incarnation, c)
	}
	if out.CancelPlatformRequests {
		delete(s.waiting, n)
	}
	if out.PlatformRequest != nil {
		s.sendPlatformRequest(n, incarnation, out.PlatformRequest)
	}
	n.wake++
	wake := n.wake
	s.after(out.Wake.Sub(s.now), func() {
		if n.up && n.wake == wake && n.incarnation == incarnation {
			s.step(n, Input{})
		}
	})
}

func (s *sim) call(n *simNode, incarnation int, c Call) {
	to := s.nodes[s.index(c.To)]
	s.send(n.index, to.index, func() {
		r := Reply{ID: c.ID}
		have := to.core.Table().All()
		if c.TakeOver != nil {
			s.step(to, Input{TakeOvers: []TakeOver{*c.TakeOver}})
		} else if c.Pull != nil {
			p := to.core.ServePull(*c.Pull)
			r.Pull = &p
		} else {
			p := to.core.ServeSync(*c.Sync)
			r.Sync = &p
		}
		s.send(to.index, n.index, func() {
			if n.incarnation != incarnation {
				return
			}
			if r.Sync != nil {
				n.syncReplies[to.index] = syncRecord{s.now, have}
			}
			s.step(n, Input{Replies: []Reply{r}})
		})
	})
}

// checkStart compares a node that begins to serve with the peers that replied to its syncs.
func (s *sim) checkStart(n *simNode) {
	for peer, r := range n.syncReplies {
		if s.now.Sub(r.at) > undeliveredVersionTimeout {
			continue
		}
		for _, p := range r.have {
			var epoch uint64
			if mine := n.core.Table().Get(p.Service); mine != nil {
				epoch = mine.Epoch
			}
			invariant.Check(epoch >= p.Epoch, "start_not_behind", "node %s serves %s at epoch %d, peer %d had %d %s ago", n.member.ID, p.Service, epoch, peer, p.Epoch, s.now.Sub(r.at))
		}
	}
}

func document(service string, epoch uint64) []byte {
	return fmt.Appendf(nil, "[service]\nname = %q\nhosts = [\"%s.example\"]\nfloor = %d\n[[service.route]]\nname = \"all\"\npath = \"/*\"\n", service, service, epoch)
}

// write accepts the next epoch of a service.
func (s *sim) write(service string) {
	s.epochs[service]++
	value, _ := json.Marshal(policy.Envelope{Epoch: s.epochs[service], Text: string(document(service, s.epochs[service]))})
	s.changes = append(s.changes, platform.Object{Key: policy.Key(service), Value: value, Revision: uint64(len(s.changes) + 1)})
	s.wakeWatches()
}

// dropWaitingRequests drops the requests that wait for the platform, as when their
// connections stop delivering.
func (s *sim) dropWaitingRequests() { clear(s.waiting) }

// dropHistory makes the platform forget its history, so that the watchers must list.
func (s *sim) dropHistory() {
	s.historyDropped = true
	s.wakeWatches()
	s.historyDropped = false
}

func (s *sim) wakeWatches() {
	for _, n := range s.nodes {
		if r := s.waiting[n]; r != nil {
			s.sendPlatformReply(n, n.incarnation, r, false)
		}
	}
}

func (s *sim) sendPlatformRequest(n *simNode, incarnation int, r *PlatformRequest) {
	s.platformRequests++
	s.after(s.delay(), func() {
		if n.incarnation != incarnation || s.platformUnresponsive {
			return
		}
		s.waiting[n] = r
		s.sendPlatformReply(n, incarnation, r, false)
		s.after(r.Wait, func() { s.sendPlatformReply(n, incarnation, r, true) })
	})
}

// sendPlatformReply replies to a request. A watch without changes gets a reply only when its
// waiting time has expired.
func (s *sim) sendPlatformReply(n *simNode, incarnation int, r *PlatformRequest, expired bool) {
	if s.waiting[n] != r || n.incarnation != incarnation || !n.up {
		return
	}
	reply := PlatformReply{ID: r.ID}
	visible := uint64(len(s.changes))
	visible -= min(visible, s.platformLag)
	reply.Revision = max(visible, r.Since)
	latest := map[string]platform.Object{}
	for _, c := range s.changes[:visible] {
		if c.Revision > r.Since {
			latest[c.Key] = c
		}
	}
	for _, c := range latest {
		reply.Objects = append(reply.Objects, c)
	}
	slices.SortFunc(reply.Objects, func(a, b platform.Object) int { return int(a.Revision) - int(b.Revision) })
	if r.Watch && s.historyDropped {
		reply = PlatformReply{ID: r.ID, Err: platform.ErrCompacted}
	} else if s.platformFails {
		reply = PlatformReply{ID: r.ID, Err: platform.ErrUnavailable}
	} else if r.Watch && len(reply.Objects) == 0 && !expired {
		return
	}
	delete(s.waiting, n)
	if s.platformCut[n.index] {
		return
	}
	deliver := func(in Input) func() {
		return func() {
			if n.up && n.incarnation == incarnation {
				s.step(n, in)
			}
		}
	}
	delay := s.delay()
	if s.transferTime > 0 && len(reply.Objects) > 0 {
		s.after(delay, deliver(Input{PlatformProgress: r.ID}))
		delay += s.transferTime
	}
	s.after(delay, deliver(Input{PlatformReply: &reply}))
}
