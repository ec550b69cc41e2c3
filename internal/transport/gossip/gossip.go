package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/protocol/cluster"
	"wigeonspring.example/wigeonspring/internal/ring"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// ErrStopped is returned by calls to a transport that is stopped.
var ErrStopped = errors.New("gossip transport is stopped")

// AppMarker is the first byte of datagrams that other protocols of a node exchange through the
// socket. No message of the membership protocol begins with it.
const AppMarker = 0

// inbound is a received datagram.
type inbound struct {
	from    string
	message *membership.Message
}

// Transport runs the membership of one node.
type Transport struct {
	opts Options
	conn net.PacketConn
	core *membership.Core

	received *ring.Ring[inbound]
	calls    *ring.Ring[func()]
	syncs    *ring.Ring[membership.Sync]
	joined   atomic.Bool

	// serveMu guards serveDecoder, which decodes the sync requests of other nodes.
	serveMu      sync.Mutex
	serveDecoder *cluster.Decoder

	cancel context.CancelFunc
	done   chan struct{}
	group  sync.WaitGroup
}

// New opens the socket and returns a transport. Start starts it.
func New(opts Options) (*Transport, error) {
	opts.setDefaults()
	if opts.Directory == nil || opts.Self.ID == "" {
		return nil, fault.Newf("open gossip transport", "", "a directory and a node id are required")
	}
	conn := opts.Conn
	if conn == nil {
		var err error
		if conn, err = net.ListenPacket("udp", opts.Listen); err != nil {
			return nil, fault.New("listen for gossip", opts.Listen, err)
		}
	}
	if opts.Self.PeerAddr == "" {
		opts.Self.PeerAddr = conn.LocalAddr().String()
	}
	m := opts.Membership
	m.Self, m.Seeds = opts.Self, opts.Seeds
	if m.Rand == nil {
		m.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	t := &Transport{
		opts:     opts,
		conn:     conn,
		core:     membership.New(time.Now(), m),
		received: ring.New[inbound](opts.RingSize),
		calls:    ring.New[func()](opts.RingSize),
		syncs:    ring.New[membership.Sync](1),
		done:     make(chan struct{}),

		serveDecoder: cluster.NewDecoder(),
	}
	return t, nil
}

// Addr returns the address that other nodes use.
func (t *Transport) Addr() string { return t.opts.Self.PeerAddr }

// Start starts the goroutines. They end when ctx is done or Stop is called.
func (t *Transport) Start(ctx context.Context) {
	ctx, t.cancel = context.WithCancel(ctx)
	t.group.Add(3)
	go t.receive(ctx)
	go t.loop(ctx)
	go t.syncLoop(ctx)
	go func() {
		<-ctx.Done()
		_ = t.conn.Close()
		t.group.Wait()
		close(t.done)
	}()
}

// Stop ends the goroutines and waits for them. It does not announce the stop; see
// Leave.
func (t *Transport) Stop() {
	t.cancel()
	<-t.done
}

// Leave announces that the node is leaving and waits for LeaveDelay, so that the
// announcement reaches other nodes.
func (t *Transport) Leave(ctx context.Context) error {
	if err := t.do(ctx, func() { t.core.Leave(time.Now()) }); err != nil {
		return err
	}
	select {
	case <-time.After(t.opts.LeaveDelay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// UpdateSelf publishes a new record of the local node. It does not block. It returns
// false if the ring is full, in which case the update is dropped.
func (t *Transport) UpdateSelf(n registry.Node) bool {
	return t.calls.Offer(func() { t.core.UpdateSelf(time.Now(), n) })
}

// AddSeeds adds seed addresses that became known after the start. It does not block.
// It returns false if the ring is full.
func (t *Transport) AddSeeds(seeds []string) bool {
	return t.calls.Offer(func() { t.core.AddSeeds(time.Now(), seeds) })
}

// SendPolicyNotice sends a policy notice to some members. It does not block. It returns
// false if the ring is full.
func (t *Transport) SendPolicyNotice(notice membership.PolicyNotice, to []registry.NodeID) bool {
	return t.calls.Offer(func() { t.core.SendPolicyNotice(time.Now(), notice, to) })
}

// OwnsIncarnation reports whether only this process has used an incarnation; see
// membership.Core.
func (t *Transport) OwnsIncarnation(incarnation uint64) bool {
	return t.core.OwnsIncarnation(incarnation)
}

// Incarnation returns the current incarnation of the local node.
func (t *Transport) Incarnation() uint64 { return t.core.Incarnation() }

// Self returns the published record of the local node.
func (t *Transport) Self(ctx context.Context) (registry.Node, error) {
	var n registry.Node
	err := t.do(ctx, func() { n = t.core.Self() })
	return n, err
}

// Joined reports whether the node has filled its directory; see membership.Core.Joined.
func (t *Transport) Joined(ctx context.Context) (bool, error) {
	var joined bool
	err := t.do(ctx, func() { joined = t.core.Joined() })
	return joined, err
}

// HasJoined returns what Joined does, as of the latest input of the core.
func (t *Transport) HasJoined() bool { return t.joined.Load() }

// do runs f on the loop goroutine and waits for it.
func (t *Transport) do(ctx context.Context, f func()) error {
	finished := make(chan struct{})
	if !t.calls.Offer(func() { f(); close(finished) }) {
		counters.Add("drops_call", 1)
		return fault.Newf("queue call", "", "ring is full")
	}
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-t.done:
		return ErrStopped
	}
}

// Delays after consecutive errors of the socket.
const (
	firstErrorDelay = time.Millisecond
	maxErrorDelay   = 200 * time.Millisecond
)

// waitAfterError waits longer after each of several errors in a row.
func (t *Transport) waitAfterError(ctx context.Context, failures int) {
	delay := min(firstErrorDelay<<min(failures-1, 10), maxErrorDelay)
	if failures == 1 || delay == maxErrorDelay && failures%50 == 0 {
		t.opts.Logger.Warn("cannot receive datagrams", zap.Int("consecutive_errors", failures))
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// receive reads datagrams until the socket is closed.
func (t *Transport) receive(ctx context.Context) {
	defer t.group.Done()
	decoder := cluster.NewDecoder()
	buf := make([]byte, 64<<10)
	failures := 0
	for {
		n, from, err := t.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			counters.Add("receive_errors", 1)
			// Most errors concern one datagram. One that lasts must not use a whole core.
			failures++
			t.waitAfterError(ctx, failures)
			continue
		}
		failures = 0
		counters.Add("bytes_received", int64(n+headerBytes))
		if n > 0 && buf[0] == AppMarker {
			t.opts.OnDatagram(from.String(), buf[:n])
			continue
		}
		msg, err := decoder.Decode(buf[:n])
		if err != nil {
			counters.Add("drops_malformed", 1)
			t.opts.Logger.Debug("malformed datagram", zap.Stringer("peer", from), zap.Error(err))
			continue
		}
		counters.Add("datagrams_received_"+kindName(msg.Kind), 1)
		if !t.received.Offer(inbound{from: from.String(), message: msg}) {
			counters.Add("drops_receive_ring", 1)
		}
	}
}

// loop runs the core.
func (t *Transport) loop(ctx context.Context) {
	defer t.group.Done()
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-t.received.Items():
			t.core.Receive(time.Now(), in.from, in.message)
		case f := <-t.calls.Items():
			f()
		case <-ticker.C:
			t.core.SetPolicyDigest(t.opts.PolicyDigest())
			t.core.Tick(time.Now())
		}
		t.joined.Store(t.core.Joined())
		t.handle(t.core.Ready())
	}
}

// handle applies the changes, sends the datagrams and reports the events of the core.
func (t *Transport) handle(r membership.Ready) {
	for _, ch := range r.Changes {
		switch ch.Kind {
		case membership.Stored:
			t.opts.Directory.Apply(ch.Node)
		case membership.StatusChanged:
			t.opts.Directory.SetStatus(ch.Node.ID, ch.Node.Incarnation, ch.Node.Status)
		case membership.Removed:
			t.opts.Directory.Remove(ch.Node.ID)
		}
	}
	for i := range r.Datagrams {
		t.sendDatagram(&r.Datagrams[i])
	}
	for _, e := range r.Events {
		t.publish(e)
	}
	for _, s := range r.Syncs {
		if !t.syncs.Offer(s) {
			counters.Add("drops_sync", 1)
			t.core.SyncDone(time.Now(), s, fault.Newf("queue sync", s.Peer.Addr, "ring is full"))
		}
	}
	for _, n := range r.PolicyNotices {
		t.opts.OnPolicyNotice(n.Peer, n.Notice)
	}
	if r.UnansweredProbes > 0 {
		t.opts.OnUnansweredProbes(r.UnansweredProbes)
	}
	for _, p := range r.PolicyDigests {
		t.opts.OnPolicyDigest(p.Peer, p.Digest)
	}
}

// Send sends a datagram that begins with AppMarker to the socket of another node.
func (t *Transport) Send(addr string, data []byte) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		counters.Add("drops_bad_address", 1)
		return
	}
	if _, err := t.conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
		counters.Add("drops_send", 1)
		return
	}
	counters.Add("bytes_sent", int64(len(data)+headerBytes))
	counters.Add("datagrams_sent_app", 1)
}

func (t *Transport) sendDatagram(d *membership.Datagram) {
	addr, err := netip.ParseAddrPort(d.To.Addr)
	if err != nil {
		counters.Add("drops_bad_address", 1)
		return
	}
	data, err := cluster.Encode(d.Message)
	if err != nil {
		counters.Add("drops_encode", 1)
		t.opts.Logger.Error("datagram not encoded", zap.Error(err))
		return
	}
	if _, err := t.conn.WriteTo(data, net.UDPAddrFromAddrPort(addr)); err != nil {
		counters.Add("drops_send", 1)
		return
	}
	counters.Add("bytes_sent", int64(len(data)+headerBytes))
	counters.Add("datagrams_sent_"+kindName(d.Message.Kind), 1)
}
