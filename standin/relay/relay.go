// Package relay is a stand-in for a network link on loopback. It forwards TCP
// connections and UDP datagrams to one target, adds a delay, and can cut each
// direction by itself.
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

// Link is the state of the emulated link.
type Link struct {
	// DelayMicros is the one-way delay in microseconds.
	DelayMicros int64 `json:"delay_us"`
	// CutIn drops everything on its way to the target.
	CutIn bool `json:"cut_in"`
	// CutOut drops everything on its way back from the target.
	CutOut bool `json:"cut_out"`
}

// Options configures a relay.
type Options struct {
	// Listen is the IP:port for TCP and UDP.
	Listen string
	// Target is the IP:port that traffic is forwarded to.
	Target string
	Link   Link
}

// Relay forwards traffic until its context ends.
type Relay struct {
	opts     Options
	link     atomic.Pointer[Link]
	listener net.Listener
	packets  net.PacketConn

	mu    sync.Mutex
	flows map[string]net.Conn
	conns map[*pair]struct{}
}

// pair is a forwarded connection.
type pair struct {
	in, out net.Conn
	// silent is set when nothing is forwarded any more.
	silent atomic.Bool
}

// queueLength bounds the chunks that wait in one direction of a connection.
const queueLength = 1024

const maxDatagram = 64 << 10

// New binds the addresses.
func New(opts Options) (*Relay, error) {
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, err
	}
	packets, err := net.ListenPacket("udp", listener.Addr().String())
	if err != nil {
		listener.Close()
		return nil, err
	}
	r := &Relay{opts: opts, listener: listener, packets: packets, flows: map[string]net.Conn{}, conns: map[*pair]struct{}{}}
	r.link.Store(&opts.Link)
	return r, nil
}

// Addr returns the bound address.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetLink changes the state of the link.
func (r *Relay) SetLink(l Link) { r.link.Store(&l) }

// ResetConnections resets all connections.
func (r *Relay) ResetConnections() {
	for _, p := range r.pairs() {
		for _, c := range []net.Conn{p.in, p.out} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// StallConnections stops forwarding on the present connections, for good and without closing
// them. New connections work.
func (r *Relay) StallConnections() {
	for _, p := range r.pairs() {
		p.silent.Store(true)
	}
}

func (r *Relay) pairs() []*pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.conns))
}

// ServeHTTP sets the state of the link from a JSON body.
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
	go r.forwardPackets()
	go func() {
		<-ctx.Done()
		r.listener.Close()
		r.packets.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, c := range r.flows {
			c.Close()
		}
	}()
	for {
		conn, err := r.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		go r.forwardConn(ctx, conn)
	}
}

func (r *Relay) forwardConn(ctx context.Context, in net.Conn) {
	out, err := net.DialTimeout("tcp", r.opts.Target, time.Second)
	if err != nil {
		in.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() {
		in.Close()
		out.Close()
	})
	defer stop()
	p := &pair{in: in, out: out}
	r.mu.Lock()
	r.conns[p] = struct{}{}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, p)
	}()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		r.pipe(in, out, func(l *Link) bool { return l.CutIn || p.silent.Load() && ctx.Err() == nil })
	}()
	go func() {
		defer wg.Done()
		r.pipe(out, in, func(l *Link) bool { return l.CutOut || p.silent.Load() && ctx.Err() == nil })
	}()
	wg.Wait()
}

type chunk struct {
	due  time.Time
	data []byte
}

// pipe copies from src to dst with the link's delay. While the direction is cut
// it holds the bytes back, as a sender would that retransmits without success.
func (r *Relay) pipe(src, dst net.Conn, cut func(*Link) bool) {
	queue := make(chan chunk, queueLength)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 16<<10)
			n, err := src.Read(buf)
			if n > 0 {
				queue <- chunk{due: time.Now().Add(r.delay()), data: buf[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	var failed bool
	for c := range queue {
		time.Sleep(time.Until(c.due))
		for cut(r.link.Load()) {
			time.Sleep(5 * time.Millisecond)
		}
		if failed {
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			failed = true
			src.Close()
		}
	}
	dst.Close()
}

func (r *Relay) delay() time.Duration {
	return time.Duration(r.link.Load().DelayMicros) * time.Microsecond
}

func (r *Relay) forwardPackets() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := r.packets.ReadFrom(buf)
		if err != nil {
			return
		}
		if r.link.Load().CutIn {
			continue
		}
		conn, err := r.flow(from)
		if err != nil {
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		time.AfterFunc(r.delay(), func() { _, _ = conn.Write(data) })
	}
}

// flow returns the socket towards the target for one sender.
func (r *Relay) flow(from net.Addr) (net.Conn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if conn, ok := r.flows[from.String()]; ok {
		return conn, nil
	}
	conn, err := net.Dial("udp", r.opts.Target)
	if err != nil {
		return nil, err
	}
	r.flows[from.String()] = conn
	go r.returnPackets(conn, from)
	return conn, nil
}

func (r *Relay) returnPackets(conn net.Conn, to net.Addr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			// A refused datagram of a stopped target ends the flow.
			r.mu.Lock()
			delete(r.flows, to.String())
			r.mu.Unlock()
			conn.Close()
			return
		}
		if r.link.Load().CutOut {
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		time.AfterFunc(r.delay(), func() { _, _ = r.packets.WriteTo(data, to) })
	}
}
