// Package relay simulates a network link on loopback. It forwards TCP connections
// and UDP datagrams to one target, adds a delay, and can cut each direction
// separately.
package relay

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Link is the state of the simulated link. A cut direction drops datagrams and
// holds back the bytes of TCP connections until it is restored.
type Link struct {
	// DelayMicros is the one-way delay in microseconds.
	DelayMicros int64 `json:"delay_us"`
	// CutIn cuts the direction to the target.
	CutIn bool `json:"cut_in"`
	// CutOut cuts the direction from the target.
	CutOut bool `json:"cut_out"`
}

// Options configures a relay.
type Options struct {
	// Listen is the IP:port for TCP and UDP.
	Listen string
	// Target is the IP:port that traffic is forwarded to.
	Target string
	// Link is the initial state of the link.
	Link Link
}

// Relay forwards traffic until its context ends.
type Relay struct {
	opts Options
	// noPower is set while the target has no power.
	noPower     atomic.Bool
	link        atomic.Pointer[Link]
	tcpListener net.Listener
	udpListener net.PacketConn

	mu sync.Mutex
	// udpConns maps the address of a sender to its socket towards the target.
	udpConns map[string]net.Conn
	tcpConns map[*tcpConnection]struct{}
}

// tcpConnection is a forwarded connection: one connection from the client and one to
// the target.
type tcpConnection struct {
	client, target net.Conn
	// stalled is set when nothing is to be forwarded any more.
	stalled atomic.Bool
	// orphaned is set when one end has lost power. Nothing is forwarded any more, and the other
	// end is not closed. If resetAt is set, the other end is reset by the first bytes that it
	// sends after that time.
	orphaned atomic.Bool
	resetAt  atomic.Pointer[time.Time]
}

// reset resets both ends.
func (c *tcpConnection) reset() {
	resetConn(c.client)
	resetConn(c.target)
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// discard handles bytes that the end with power has sent.
func (c *tcpConnection) discard() {
	if at := c.resetAt.Load(); at != nil && time.Now().After(*at) {
		c.reset()
	}
}

// maxQueuedChunks limits the chunks that wait in one direction of a connection.
const maxQueuedChunks = 1024

const maxDatagramBytes = 64 << 10

// New binds the addresses.
func New(opts Options) (*Relay, error) {
	tcpListener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, err
	}
	udpListener, err := net.ListenPacket("udp", tcpListener.Addr().String())
	if err != nil {
		tcpListener.Close()
		return nil, err
	}
	r := &Relay{opts: opts, tcpListener: tcpListener, udpListener: udpListener, udpConns: map[string]net.Conn{}, tcpConns: map[*tcpConnection]struct{}{}}
	r.link.Store(&opts.Link)
	return r, nil
}

// Addr returns the bound address.
func (r *Relay) Addr() string { return r.tcpListener.Addr().String() }

// SetLink changes the state of the link.
func (r *Relay) SetLink(l Link) { r.link.Store(&l) }

// ResetConnections resets all TCP connections.
func (r *Relay) ResetConnections() {
	for _, conn := range r.connections() {
		conn.reset()
	}
}

// StallConnections permanently stops forwarding on the current TCP connections without
// closing them. New connections work.
func (r *Relay) StallConnections() {
	for _, conn := range r.connections() {
		conn.stalled.Store(true)
	}
}

// LosePower cuts the power of the target. Until RestorePower is called, datagrams are lost, and
// new connections wait: they reach the target with the first retransmission after the outage.
// The ends of the current connections that have power are not closed: some stay silent for good,
// the others are reset by the first bytes that they send after the outage.
func (r *Relay) LosePower(outage time.Duration) {
	r.noPower.Store(true)
	orphan(r.connections(), outage)
}

// RestorePower ends an outage of the target. Its programs have to start again.
func (r *Relay) RestorePower() { r.noPower.Store(false) }

// LoseClients cuts the power of the clients with the given TCP ports, as LosePower does for the
// target.
func (r *Relay) LoseClients(ports map[int]bool, outage time.Duration) {
	orphan(slices.DeleteFunc(r.connections(), func(c *tcpConnection) bool {
		addr, ok := c.client.RemoteAddr().(*net.TCPAddr)
		return !ok || !ports[addr.Port]
	}), outage)
}

func orphan(connections []*tcpConnection, outage time.Duration) {
	resetAt := time.Now().Add(outage)
	for i, c := range connections {
		if i%2 == 0 {
			c.resetAt.Store(&resetAt)
		}
		c.orphaned.Store(true)
	}
}

func (r *Relay) connections() []*tcpConnection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.tcpConns))
}

// ServeHTTP sets the state of the link from a JSON body. Fields that are missing from
// the body keep their values.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	l := *r.link.Load()
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 4096)).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.SetLink(l)
	w.WriteHeader(http.StatusNoContent)
}

// Run forwards traffic until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	go r.forwardDatagrams()
	go func() {
		<-ctx.Done()
		r.tcpListener.Close()
		r.udpListener.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, c := range r.udpConns {
			c.Close()
		}
	}()
	for {
		conn, err := r.tcpListener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		go r.forwardConnection(ctx, conn)
	}
}

func (r *Relay) forwardConnection(ctx context.Context, client net.Conn) {
	if r.noPower.Load() {
		r.awaitPower(ctx)
	}
	target, err := net.DialTimeout("tcp", r.opts.Target, time.Second)
	if err != nil {
		client.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() {
		client.Close()
		target.Close()
	})
	defer stop()
	conn := &tcpConnection{client: client, target: target}
	r.mu.Lock()
	r.tcpConns[conn] = struct{}{}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.tcpConns, conn)
	}()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		r.copyDelayed(client, target, conn, func(l *Link) bool { return l.CutIn || conn.stalled.Load() && ctx.Err() == nil })
	}()
	go func() {
		defer wg.Done()
		r.copyDelayed(target, client, conn, func(l *Link) bool { return l.CutOut || conn.stalled.Load() && ctx.Err() == nil })
	}()
	wg.Wait()
	client.Close()
	target.Close()
}

// synInterval is the time between two transmissions of the packet that opens a connection.
const synInterval = time.Second

// awaitPower waits until a connection that is opened now reaches the target.
func (r *Relay) awaitPower(ctx context.Context) {
	for r.noPower.Load() && ctx.Err() == nil {
		time.Sleep(synInterval)
	}
}

// holdInterval is the time between two looks whether held data may be forwarded.
const holdInterval = 5 * time.Millisecond

// delayedChunk is data that is to be forwarded at the time due.
type delayedChunk struct {
	due  time.Time
	data []byte
}

// copyDelayed copies from src to dst with the delay of the link. While blocked reports
// true it holds the bytes back: to dst this looks like a sender whose retransmissions
// are lost.
func (r *Relay) copyDelayed(src, dst net.Conn, conn *tcpConnection, blocked func(*Link) bool) {
	queue := make(chan delayedChunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 16<<10)
			n, err := src.Read(buf)
			if n > 0 {
				queue <- delayedChunk{due: time.Now().Add(r.delay()), data: buf[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	var failed bool
	for c := range queue {
		time.Sleep(time.Until(c.due))
		for blocked(r.link.Load()) && !conn.orphaned.Load() {
			time.Sleep(holdInterval)
		}
		if conn.orphaned.Load() {
			conn.discard()
			continue
		}
		if failed {
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			failed = true
			if !conn.orphaned.Load() {
				src.Close()
			}
		}
	}
	if !conn.orphaned.Load() {
		dst.Close()
	}
}

func (r *Relay) delay() time.Duration {
	return time.Duration(r.link.Load().DelayMicros) * time.Microsecond
}

func (r *Relay) forwardDatagrams() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := r.udpListener.ReadFrom(buf)
		if err != nil {
			return
		}
		if r.link.Load().CutIn || r.noPower.Load() {
			continue
		}
		conn, err := r.udpConnFor(from)
		if err != nil {
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		time.AfterFunc(r.delay(), func() { _, _ = conn.Write(data) })
	}
}

// udpConnFor returns the socket towards the target for the datagrams of one sender.
func (r *Relay) udpConnFor(from net.Addr) (net.Conn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if conn, ok := r.udpConns[from.String()]; ok {
		return conn, nil
	}
	conn, err := net.Dial("udp", r.opts.Target)
	if err != nil {
		return nil, err
	}
	r.udpConns[from.String()] = conn
	go r.returnDatagrams(conn, from)
	return conn, nil
}

func (r *Relay) returnDatagrams(conn net.Conn, to net.Addr) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			// A stopped target refuses datagrams, which fails the next read of the socket.
			// A new one is opened for the next datagram of the sender.
			r.mu.Lock()
			delete(r.udpConns, to.String())
			r.mu.Unlock()
			conn.Close()
			return
		}
		if r.link.Load().CutOut || r.noPower.Load() {
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		time.AfterFunc(r.delay(), func() { _, _ = r.udpListener.WriteTo(data, to) })
	}
}
