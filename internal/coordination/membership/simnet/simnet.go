package simnet

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Options configures a Network.
type Options struct {
	Seed uint64
	// MinDelay and MaxDelay are the limits of the one-way delay of a message.
	MinDelay, MaxDelay time.Duration
	// Delay returns the delay for a pair of nodes. It overrides MinDelay and MaxDelay.
	Delay func(from, to *Node) time.Duration
	// Loss and Duplicate are the probabilities that a datagram is lost or
	// delivered twice.
	Loss, Duplicate float64
	// Codec encodes and decodes a message and returns its size in bytes, without
	// headers. By default the message is delivered unchanged with its estimated size.
	Codec func(to *Node, m *membership.Message) (*membership.Message, int)
	// SyncCodec does the same for the messages of a directory sync.
	SyncCodec func(to *Node, req *membership.SyncRequest, resp *membership.SyncResponse) (
		*membership.SyncRequest, *membership.SyncResponse, int)
	// OnChange and OnEvent are called for the changes and events of every node.
	OnChange func(n *Node, c membership.Change)
	OnEvent  func(n *Node, e membership.Event)
	// OnPolicyNotice is called for the policy notices that every node receives.
	OnPolicyNotice func(n *Node, p membership.PeerPolicyNotice)
}

// HeaderBytes is added to the size of each datagram for IP and UDP headers.
const HeaderBytes = 28

// RPCOverhead approximates the headers of one message of a directory sync.
const RPCOverhead = 400

// syncTimeout is how long a sync with an unreachable peer takes to fail.
const syncTimeout = time.Second

var errUnreachable = errors.New("peer is unreachable")

// Node is one simulated process.
type Node struct {
	ID   registry.NodeID
	Addr string
	Core *membership.Core
	// Index is the position in Network.Nodes.
	Index int
	Down  bool

	// BytesSent and BytesReceived count datagrams and syncs, headers included.
	// Fills of starting nodes are counted in FillBytes only.
	BytesSent, BytesReceived, FillBytes int64
	Datagrams                           int64
	// CPU is the wall time spent in the core and in Codec.
	CPU time.Duration
	// BytesBySecond counts bytes sent in each second of virtual time, without fills.
	BytesBySecond map[int64]int64

	pausedUntil time.Time
	generation  int
}

type action struct {
	at    time.Time
	order uint64
	run   func()
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].order < a[j].order
}
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actions) Push(x any)   { *a = append(*a, x.(action)) }
func (a *actions) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = action{}
	*a = old[:len(old)-1]
	return x
}

// Network is a set of nodes on one virtual clock.
type Network struct {
	Nodes []*Node
	// Blocked reports whether datagrams and syncs from one node to another are
	// dropped.
	Blocked func(from, to *Node) bool
	Rand    *rand.Rand
	// Syncs counts the rounds of directory syncs, and CrossDomainSyncs those between
	// failure domains.
	Syncs, CrossDomainSyncs int
	// Loss and Duplicate start with the values of Options and may be changed.
	Loss, Duplicate float64

	opts    Options
	now     time.Time
	start   time.Time
	queue   actions
	counter uint64
	byAddr  map[string]*Node
}

// New returns an empty network.
func New(opts Options) *Network {
	if opts.MaxDelay < opts.MinDelay {
		opts.MaxDelay = opts.MinDelay
	}
	start := time.UnixMilli(1_700_000_000_000)
	return &Network{
		opts: opts, now: start, start: start, byAddr: make(map[string]*Node),
		Loss: opts.Loss, Duplicate: opts.Duplicate,
		Rand:    rand.New(rand.NewPCG(opts.Seed, 1)),
		Blocked: func(*Node, *Node) bool { return false },
	}
}

// Now returns the virtual time.
func (n *Network) Now() time.Time { return n.now }

// Elapsed returns the virtual time since the start.
func (n *Network) Elapsed() time.Duration { return n.now.Sub(n.start) }

// After schedules f to run after d of virtual time.
func (n *Network) After(d time.Duration, f func()) {
	n.counter++
	heap.Push(&n.queue, action{at: n.now.Add(d), order: n.counter, run: f})
}

// Run advances virtual time by d and runs what is scheduled until then.
func (n *Network) Run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		a := heap.Pop(&n.queue).(action)
		n.now = a.at
		a.run()
	}
	n.now = end
}

// Add starts a node. It sets Rand, and the incarnation if that is unset.
func (n *Network) Add(opts membership.Options) *Node {
	node := &Node{ID: opts.Self.ID, Addr: opts.Self.PeerAddr, Index: len(n.Nodes), BytesBySecond: make(map[int64]int64)}
	n.Nodes = append(n.Nodes, node)
	n.startProcess(node, opts)
	return node
}

// Restart replaces the process of a node with a new one.
func (n *Network) Restart(node *Node, opts membership.Options) { n.startProcess(node, opts) }

func (n *Network) startProcess(node *Node, opts membership.Options) {
	if opts.Self.Incarnation == 0 {
		opts.Self.Incarnation = membership.NewIncarnation(n.now, n.Rand.Uint64())
	}
	opts.Rand = rand.New(rand.NewPCG(n.Rand.Uint64(), n.Rand.Uint64()))
	node.Down = false
	node.generation++
	node.Addr = opts.Self.PeerAddr
	n.byAddr[node.Addr] = node
	node.Core = membership.New(n.now, opts)
	n.scheduleTick(node, node.generation, time.Duration(n.Rand.Int64N(int64(membership.TickInterval))))
}

// Kill stops a node without an announcement.
func (n *Network) Kill(node *Node) {
	node.Down = true
	node.generation++
}

// Pause stops the process of a node for d. Messages wait in its socket meanwhile.
func (n *Network) Pause(node *Node, d time.Duration) { node.pausedUntil = n.now.Add(d) }

func (n *Network) scheduleTick(node *Node, generation int, d time.Duration) {
	n.After(d, func() {
		if node.generation != generation {
			return
		}
		if wait := node.pausedUntil.Sub(n.now); wait > 0 {
			n.scheduleTick(node, generation, wait)
			return
		}
		n.Do(node, func(c *membership.Core) { c.Tick(n.now) })
		n.scheduleTick(node, generation, membership.TickInterval)
	})
}

// Do calls f with the core of a node and then processes the output of the core: it
// sends datagrams, runs syncs and calls the functions of Options.
func (n *Network) Do(node *Node, f func(*membership.Core)) {
	if node.Down {
		return
	}
	started := time.Now()
	f(node.Core)
	r := node.Core.Ready()
	node.CPU += time.Since(started)
	for _, ch := range r.Changes {
		if n.opts.OnChange != nil {
			n.opts.OnChange(node, ch)
		}
	}
	for _, e := range r.Events {
		if n.opts.OnEvent != nil {
			n.opts.OnEvent(node, e)
		}
	}
	for _, p := range r.PolicyNotices {
		if n.opts.OnPolicyNotice != nil {
			n.opts.OnPolicyNotice(node, p)
		}
	}
	for i := range r.Datagrams {
		n.deliver(node, &r.Datagrams[i])
	}
	for _, s := range r.Syncs {
		n.sync(node, s)
	}
}

func (n *Network) delay(from, to *Node) time.Duration {
	if n.opts.Delay != nil {
		return n.opts.Delay(from, to)
	}
	d := n.opts.MinDelay
	if span := n.opts.MaxDelay - n.opts.MinDelay; span > 0 {
		d += time.Duration(n.Rand.Int64N(int64(span)))
	}
	return d
}

func (n *Network) count(from *Node, size int, fill bool) {
	if fill {
		from.FillBytes += int64(size)
		return
	}
	from.BytesSent += int64(size)
	from.BytesBySecond[int64(n.Elapsed()/time.Second)] += int64(size)
}

func (n *Network) deliver(from *Node, d *membership.Datagram) {
	to := n.byAddr[d.To.Addr]
	msg, size := d.Message, d.Message.Size()
	if n.opts.Codec != nil {
		// The time for decoding is charged to the sender too. The average over all
		// nodes is the same.
		started := time.Now()
		msg, size = n.opts.Codec(to, d.Message)
		from.CPU += time.Since(started)
	}
	size += HeaderBytes
	n.count(from, size, false)
	from.Datagrams++
	if to == nil || n.Rand.Float64() < n.Loss || n.Blocked(from, to) {
		return
	}
	copies := 1
	if n.Rand.Float64() < n.Duplicate {
		copies = 2
	}
	for range copies {
		n.After(n.delay(from, to), func() { n.arrive(from, to, msg, size) })
	}
}

func (n *Network) arrive(from, to *Node, msg *membership.Message, size int) {
	if to.Down {
		return
	}
	if wait := to.pausedUntil.Sub(n.now); wait > 0 {
		n.After(wait, func() { n.arrive(from, to, msg, size) })
		return
	}
	to.BytesReceived += int64(size)
	n.Do(to, func(c *membership.Core) { c.Receive(n.now, from.Addr, msg) })
}

// sync runs a directory sync of up to two rounds.
func (n *Network) sync(from *Node, s membership.Sync) {
	var req *membership.SyncRequest
	n.Do(from, func(c *membership.Core) { req = c.SyncStart(s.Fill) })
	n.syncRound(from, s, req, 2)
}

func (n *Network) syncRound(from *Node, s membership.Sync, req *membership.SyncRequest, rounds int) {
	n.Syncs++
	generation := from.generation
	done := func(err error) {
		if from.generation == generation {
			n.Do(from, func(c *membership.Core) { c.SyncDone(n.now, s, err) })
		}
	}
	to := n.byAddr[s.Peer.Addr]
	if to == nil || to.Down || n.Blocked(from, to) || n.Blocked(to, from) || to.pausedUntil.After(n.now) {
		n.After(syncTimeout, func() { done(errUnreachable) })
		return
	}
	if from.Core.Self().FailureDomain != to.Core.Self().FailureDomain {
		n.CrossDomainSyncs++
	}
	size := RPCOverhead
	if n.opts.SyncCodec != nil {
		var wire int
		req, _, wire = n.opts.SyncCodec(to, req, nil)
		size += wire
	}
	n.count(from, size, s.Fill)
	from.Core.Debit(size)
	n.After(2*n.delay(from, to), func() {
		if to.Down {
			done(errUnreachable)
			return
		}
		var resp *membership.SyncResponse
		n.Do(to, func(c *membership.Core) { resp = c.SyncServe(n.now, from.Addr, req) })
		size := RPCOverhead
		if n.opts.SyncCodec != nil {
			var wire int
			_, resp, wire = n.opts.SyncCodec(from, nil, resp)
			size += wire
		}
		n.count(to, size, s.Fill)
		if !s.Fill {
			to.Core.Debit(size)
		}
		n.After(n.delay(to, from), func() {
			if from.Down || from.generation != generation {
				return
			}
			if !s.Fill {
				from.BytesReceived += int64(size)
			}
			var next *membership.SyncRequest
			n.Do(from, func(c *membership.Core) { next = c.SyncContinue(n.now, s, resp) })
			if next == nil || rounds == 1 {
				done(nil)
				return
			}
			n.syncRound(from, s, next, rounds-1)
		})
	})
}
