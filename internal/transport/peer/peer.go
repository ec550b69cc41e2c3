package peer

import (
	"cmp"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wigeonspring.example/wigeonspring/internal/fault"
)

// Defaults of a Pool.
const (
	// DefaultDialTimeout bounds a dial. It is short so that another owner can be tried
	// soon.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultMaxPeers bounds the open connections.
	DefaultMaxPeers = 128
	// DefaultPingAfter is the time without received data after which a connection is
	// checked by a ping. With 128 idle peers, pings of 34 bytes take under 1 KB/s.
	DefaultPingAfter = 5 * time.Second
	// DefaultPingTimeout is the time without a response to a ping after which the
	// connection is closed.
	DefaultPingTimeout = 2 * time.Second
	// DefaultCheckAfter is the time without a response after which a connection on which
	// requests wait is checked. A request that takes longer than this costs a check of
	// 150 B.
	DefaultCheckAfter = time.Second
	// DefaultAckTimeout is the time within which a peer acknowledges a recoverable request,
	// many times a round trip of 16 ms between regions.
	DefaultAckTimeout = 100 * time.Millisecond
	// DefaultCheckTimeout is the time without a response to a check after which another
	// connection is tried. It is above the first retransmission time of TCP, 200 ms.
	DefaultCheckTimeout = 250 * time.Millisecond
	// DefaultSilentGrace is how long a connection is kept after another one has taken its
	// place.
	DefaultSilentGrace = time.Second
	// responseTimeout bounds the wait for the response to the check of a new connection.
	responseTimeout = 500 * time.Millisecond
	// checkAllInterval is the shortest time between two checks of all connections.
	checkAllInterval = time.Second
	// continueTimeout is longer than any request. The body of a request that expects
	// an interim response is therefore sent only when the owner asks for it.
	continueTimeout = 24 * time.Hour
)

// Reasons of a failed request.
const (
	ReasonDial    = "peer_dial_failed"
	ReasonBusy    = "peer_busy"
	ReasonRefused = "peer_refused_stream"
	ReasonLimit   = "peer_limit"
	ReasonLost    = "peer_connection_lost"
	ReasonStopped = "node_stopping"
)

// Error is a failed request.
type Error struct {
	// NotProcessed is set if it is certain that the peer did not process the request.
	NotProcessed bool
	// Reason is a short machine-readable cause.
	Reason string
	Err    error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Options configures a Pool. Zero values select the defaults.
type Options struct {
	DialTimeout time.Duration
	MaxPeers    int
	PingAfter   time.Duration
	PingTimeout time.Duration
	// CheckAfter is the time without a response after which a connection on which
	// requests wait is checked, AckTimeout that without an acknowledgment of a recoverable
	// request. CheckTimeout is the wait for the response to the check, after which another
	// connection is tried. SilentGrace is how long the first one is kept if the other one
	// works.
	CheckAfter   time.Duration
	AckTimeout   time.Duration
	CheckTimeout time.Duration
	SilentGrace  time.Duration
}

// Pool holds one connection to each peer in use. It is safe for concurrent use.
type Pool struct {
	opt       Options
	transport *http.Transport
	// ctx is done once the pool is closed, which ends the checks of connections.
	ctx  context.Context
	stop context.CancelFunc

	mu     sync.Mutex
	peers  map[string]*peerConn
	recent *list.List // of *peerConn, most recently used first
	closed bool
	// replaced holds the connections whose place another one has taken. Each is closed after
	// its last request.
	replaced map[*peerConn]struct{}
	// allChecked is when all connections were last checked.
	allChecked time.Time
}

// peerConn is the connection to one peer.
type peerConn struct {
	addr       string
	recentElem *list.Element
	// ready is closed when the dial has ended.
	ready  chan struct{}
	client *http.ClientConn
	err    error
	// users counts the requests that wait for the dial or are in flight.
	users int
	// waiting counts the requests that wait for their response. lastActivity is when the
	// last response began, the first waiting request was sent, or the last check ended
	// without replacing the connection. checkTimer starts the check of the connection.
	waiting      int
	lastActivity time.Time
	checkTimer   *time.Timer
	checking     bool
	// acknowledges is set once the peer has acknowledged a request.
	acknowledges atomic.Bool
	// silent is closed when another connection has taken the place of this one because the
	// peer no longer responds on it.
	silent chan struct{}
}

func newPeerConn(addr string) *peerConn {
	return &peerConn{addr: addr, ready: make(chan struct{}), silent: make(chan struct{})}
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.MaxPeers = cmp.Or(o.MaxPeers, DefaultMaxPeers)
	o.PingAfter = cmp.Or(o.PingAfter, DefaultPingAfter)
	o.PingTimeout = cmp.Or(o.PingTimeout, DefaultPingTimeout)
	o.CheckAfter = cmp.Or(o.CheckAfter, DefaultCheckAfter)
	o.AckTimeout = cmp.Or(o.AckTimeout, DefaultAckTimeout)
	o.CheckTimeout = cmp.Or(o.CheckTimeout, DefaultCheckTimeout)
	o.SilentGrace = cmp.Or(o.SilentGrace, DefaultSilentGrace)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	ctx, stop := context.WithCancel(context.Background())
	return &Pool{
		ctx:      ctx,
		stop:     stop,
		opt:      o,
		peers:    make(map[string]*peerConn),
		replaced: make(map[*peerConn]struct{}),
		recent:   list.New(),
		transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
			Protocols:             protocols,
			DisableCompression:    true,
			ExpectContinueTimeout: continueTimeout,
			HTTP2: &http.HTTP2Config{
				MaxReceiveBufferPerStream:     StreamWindow,
				MaxReceiveBufferPerConnection: connWindow,
				SendPingTimeout:               o.PingAfter,
				PingTimeout:                   o.PingTimeout,
				WriteByteTimeout:              writeTimeout,
			},
		},
	}
}

// Do sends a request to the peer at addr and never repeats it. The connection
// counts as in use until the body of the response is closed. Errors are of type
// *Error.
func (p *Pool) Do(ctx context.Context, addr string, req *http.Request) (*http.Response, error) {
	c, err := p.reserve(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.startWaiting(c)
	resp, err := c.client.RoundTrip(req.WithContext(ctx))
	p.stopWaiting(c, err == nil)
	if err != nil {
		p.release(c)
		return nil, classify(addr, err)
	}
	resp.Body = &body{ReadCloser: resp.Body, release: func() { p.release(c) }}
	return resp, nil
}

// reserve returns the connection to a peer with a stream reserved on it.
func (p *Pool) reserve(ctx context.Context, addr string) (*peerConn, error) {
	for replaced := false; ; replaced = true {
		c, err := p.acquire(ctx, addr)
		if err != nil {
			return nil, err
		}
		if err = c.client.Reserve(); err == nil {
			return c, nil
		}
		// A connection that has few streams in flight and still opens no further one is
		// going away: the peer shuts down gracefully, or a new process has taken its
		// address. Such a connection ends with its last request.
		if goingAway := c.client.InFlight() < initialStreams; goingAway && !replaced {
			p.retire(c)
			continue
		}
		p.release(c)
		return nil, &Error{NotProcessed: true, Reason: ReasonBusy, Err: fault.New("open stream to owner", addr, err)}
	}
}

// initialStreams is the number of streams that the HTTP/2 client of net/http opens
// before the peer has announced its limit, which is MaxStreams.
const initialStreams = 100

// retire releases a connection that accepts no more requests and removes it from the pool.
func (p *Pool) retire(c *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.users--
	if p.peers[c.addr] == c {
		p.remove(c)
	}
}

// streamError has the same fields as the HTTP/2 stream error of net/http, which is not
// exported but can be converted to such a type by errors.As.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

func (e streamError) Error() string { return fmt.Sprintf("stream %d: code %d", e.StreamID, e.Code) }

// refusedStream is the HTTP/2 error code for a stream that was closed before any
// processing (RFC 9113, section 8.7).
const refusedStream = 7

// goAwayError is the text of the error with which net/http, which does not export it, ends a
// stream that the peer did not process because it shuts down (RFC 9113, section 6.8).
const goAwayError = "http2: Transport received Server's graceful shutdown GOAWAY"

// classify converts an error of a round trip. The peer may have processed the request
// unless it refused the stream or closed the connection to further streams before.
func classify(addr string, err error) *Error {
	e := &Error{Reason: ReasonLost, Err: fault.New("request to owner", addr, err)}
	var se streamError
	if errors.As(err, &se) && se.Code == refusedStream || err.Error() == goAwayError {
		e.NotProcessed, e.Reason = true, ReasonRefused
	}
	return e
}

// acquire returns the connection to a peer. If there is none, it dials one.
func (p *Pool) acquire(ctx context.Context, addr string) (*peerConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &Error{NotProcessed: true, Reason: ReasonStopped, Err: errors.New("peer pool is closed")}
	}
	c := p.peers[addr]
	if c != nil && c.client != nil && c.client.Err() != nil {
		p.remove(c)
		c = nil
	}
	if c != nil {
		c.users++
		p.recent.MoveToFront(c.recentElem)
		p.mu.Unlock()
	} else {
		if len(p.peers) >= p.opt.MaxPeers && !p.evict() {
			p.mu.Unlock()
			return nil, &Error{NotProcessed: true, Reason: ReasonLimit,
				Err: fault.Newf("connect to owner", addr, "all %d peer connections are in use", p.opt.MaxPeers)}
		}
		c = newPeerConn(addr)
		c.users = 1
		p.add(c)
		p.mu.Unlock()
		go p.dial(c)
	}
	var err error
	select {
	case <-c.ready:
		err = c.err
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if err != nil {
		p.release(c)
		return nil, &Error{NotProcessed: true, Reason: ReasonDial, Err: fault.New("connect to owner", addr, err)}
	}
	return c, nil
}

// dial opens the connection of c. It does not use the context of the request that caused
// the dial, because other requests may wait for the same connection.
func (p *Pool) dial(c *peerConn) {
	ctx, cancel := context.WithTimeout(context.Background(), p.opt.DialTimeout)
	defer cancel()
	client, err := p.transport.NewClientConn(ctx, "http", c.addr)
	p.mu.Lock()
	c.client, c.err = client, err
	removed := p.peers[c.addr] != c
	if err != nil && !removed {
		p.remove(c)
	}
	p.mu.Unlock()
	if err == nil && removed {
		_ = client.Close()
	}
	close(c.ready)
}

// evict closes the least recently used connection without requests in flight. It reports
// false if there is none.
func (p *Pool) evict() bool {
	for e := p.recent.Back(); e != nil; e = e.Prev() {
		if c := e.Value.(*peerConn); c.users == 0 {
			p.remove(c)
			if c.client != nil {
				go func() { _ = c.client.Close() }()
			}
			return true
		}
	}
	return false
}

func (p *Pool) add(c *peerConn) {
	c.recentElem = p.recent.PushFront(c)
	p.peers[c.addr] = c
}

func (p *Pool) remove(c *peerConn) {
	delete(p.peers, c.addr)
	p.recent.Remove(c.recentElem)
}

func (p *Pool) release(c *peerConn) {
	p.mu.Lock()
	c.users--
	_, replaced := p.replaced[c]
	last := replaced && c.users == 0
	p.mu.Unlock()
	if last {
		p.closeReplaced(c)
	}
}

// closeReplaced closes a connection whose place another one has taken.
func (p *Pool) closeReplaced(c *peerConn) {
	p.mu.Lock()
	delete(p.replaced, c)
	p.mu.Unlock()
	_ = c.client.Close()
}

// Len returns the number of connections, including those being dialed.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}

// Drop closes the connection to a peer, which ends the requests in flight on it. It is
// called when the peer is dead or its responses cannot be trusted.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	c := p.peers[addr]
	if c != nil {
		p.remove(c)
	}
	p.mu.Unlock()
	if c != nil {
		p.close(c)
	}
}

func (p *Pool) close(c *peerConn) {
	p.mu.Lock()
	client := c.client
	p.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// Close closes all connections and refuses further requests.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	p.closed = true
	conns := slices.Collect(maps.Values(p.peers))
	conns = slices.AppendSeq(conns, maps.Keys(p.replaced))
	clear(p.peers)
	clear(p.replaced)
	p.recent.Init()
	p.mu.Unlock()
	for _, c := range conns {
		p.close(c)
	}
}

// body is a response body that releases its connection when it is closed.
type body struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}
