package peer

import (
	"cmp"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/fault"
)

// Defaults of a Pool.
const (
	// DefaultDialTimeout bounds a dial, so that another owner can be tried soon.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultMaxPeers bounds the open connections.
	DefaultMaxPeers = 128
	// DefaultPingAfter is the silence after which a connection is checked. With
	// 128 idle peers, pings of 34 bytes take under 1 KB/s.
	DefaultPingAfter = 5 * time.Second
	// DefaultPingTimeout closes a connection whose ping was not answered.
	DefaultPingTimeout = 2 * time.Second
	// DefaultCheckAfter is the silence after which a connection on which requests wait is
	// checked. Work that takes longer costs a check of 150 B.
	DefaultCheckAfter = time.Second
	// DefaultCheckTimeout bounds the wait for the answer to a check.
	DefaultCheckTimeout = 500 * time.Millisecond
	// continueTimeout keeps the body of a request that expects an interim response
	// at the caller for as long as the owner has not asked for it.
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
	// NotProcessed is set if it is proved that the peer did not process the request.
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
	// CheckAfter is the silence after which a connection on which requests wait is
	// checked, and CheckTimeout bounds the wait for the answer.
	CheckAfter   time.Duration
	CheckTimeout time.Duration
}

// Pool holds one connection to each peer in use. It is safe for concurrent use.
type Pool struct {
	opt       Options
	transport *http.Transport

	mu     sync.Mutex
	peers  map[string]*link
	recent *list.List // of *link, most recently used first
	closed bool
}

// link is the connection to one peer.
type link struct {
	addr string
	elem *list.Element
	// ready is closed when the dial has ended.
	ready  chan struct{}
	client *http.ClientConn
	err    error
	// users counts requests that wait for the dial or are in flight.
	users int
	// waiting counts requests that wait for their response, heard is when the last one
	// came or the first of them was sent, and doubt checks the connection.
	waiting int
	heard   time.Time
	doubt   *time.Timer
	// replaced is set if another connection has taken the place of this one, which ends
	// with its last request.
	replaced bool
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.MaxPeers = cmp.Or(o.MaxPeers, DefaultMaxPeers)
	o.PingAfter = cmp.Or(o.PingAfter, DefaultPingAfter)
	o.PingTimeout = cmp.Or(o.PingTimeout, DefaultPingTimeout)
	o.CheckAfter = cmp.Or(o.CheckAfter, DefaultCheckAfter)
	o.CheckTimeout = cmp.Or(o.CheckTimeout, DefaultCheckTimeout)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &Pool{
		opt:    o,
		peers:  make(map[string]*link),
		recent: list.New(),
		transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
			Protocols:             protocols,
			DisableCompression:    true,
			ExpectContinueTimeout: continueTimeout,
			HTTP2: &http.HTTP2Config{
				MaxReceiveBufferPerStream:     streamWindow,
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
	l, err := p.reserve(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.await(l)
	resp, err := l.client.RoundTrip(req.WithContext(ctx))
	p.awaited(l, err == nil)
	if err != nil {
		p.release(l)
		return nil, classify(addr, err)
	}
	resp.Body = &body{ReadCloser: resp.Body, release: func() { p.release(l) }}
	return resp, nil
}

// reserve returns the connection to a peer with a stream reserved on it.
func (p *Pool) reserve(ctx context.Context, addr string) (*link, error) {
	for replaced := false; ; replaced = true {
		l, err := p.acquire(ctx, addr)
		if err != nil {
			return nil, err
		}
		if err = l.client.Reserve(); err == nil {
			return l, nil
		}
		// A connection without a stream to spare and few in flight is going away: the
		// peer shuts down gracefully, or a new process has taken its address. It ends
		// with its last request.
		if goingAway := l.client.InFlight() < initialStreams; goingAway && !replaced {
			p.retire(l)
			continue
		}
		p.release(l)
		return nil, &Error{NotProcessed: true, Reason: ReasonBusy, Err: fault.New("open stream to owner", addr, err)}
	}
}

// initialStreams is the number of streams that the HTTP/2 client of net/http opens
// before the peer has stated its limit, which is MaxStreams.
const initialStreams = 100

// retire releases a connection that takes no more requests and forgets it.
func (p *Pool) retire(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.users--
	if p.peers[l.addr] == l {
		p.remove(l)
	}
}

// streamError has the fields of the HTTP/2 stream error of net/http, which
// converts itself to it in errors.As.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

func (e streamError) Error() string { return fmt.Sprintf("stream %d: code %d", e.StreamID, e.Code) }

// refusedStream is the HTTP/2 error code for a stream that was closed before any
// processing (RFC 9113, section 8.7).
const refusedStream = 7

func classify(addr string, err error) *Error {
	e := &Error{Reason: ReasonLost, Err: fault.New("request to owner", addr, err)}
	var se streamError
	if errors.As(err, &se) && se.Code == refusedStream {
		e.NotProcessed, e.Reason = true, ReasonRefused
	}
	return e
}

// acquire returns the connection to a peer and dials it if there is none.
func (p *Pool) acquire(ctx context.Context, addr string) (*link, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &Error{NotProcessed: true, Reason: ReasonStopped, Err: errors.New("peer pool is closed")}
	}
	l := p.peers[addr]
	if l != nil && l.client != nil && l.client.Err() != nil {
		p.remove(l)
		l = nil
	}
	if l != nil {
		l.users++
		p.recent.MoveToFront(l.elem)
		p.mu.Unlock()
	} else {
		if len(p.peers) >= p.opt.MaxPeers && !p.evict() {
			p.mu.Unlock()
			return nil, &Error{NotProcessed: true, Reason: ReasonLimit,
				Err: fault.Newf("connect to owner", addr, "all %d peer connections are in use", p.opt.MaxPeers)}
		}
		l = &link{addr: addr, ready: make(chan struct{}), users: 1}
		p.add(l)
		p.mu.Unlock()
		go p.dial(l)
	}
	var err error
	select {
	case <-l.ready:
		err = l.err
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if err != nil {
		p.release(l)
		return nil, &Error{NotProcessed: true, Reason: ReasonDial, Err: fault.New("connect to owner", addr, err)}
	}
	return l, nil
}

// dial opens the connection of l. It does not depend on the request that caused
// it, because others may wait for the same connection.
func (p *Pool) dial(l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), p.opt.DialTimeout)
	defer cancel()
	client, err := p.transport.NewClientConn(ctx, "http", l.addr)
	p.mu.Lock()
	l.client, l.err = client, err
	gone := p.peers[l.addr] != l
	if err != nil && !gone {
		p.remove(l)
	}
	p.mu.Unlock()
	if err == nil && gone {
		_ = client.Close()
	}
	close(l.ready)
}

// evict closes the connection that was used least recently among those without
// requests in flight. It reports false if there is none.
func (p *Pool) evict() bool {
	for e := p.recent.Back(); e != nil; e = e.Prev() {
		if l := e.Value.(*link); l.users == 0 {
			p.remove(l)
			if l.client != nil {
				go func() { _ = l.client.Close() }()
			}
			return true
		}
	}
	return false
}

func (p *Pool) add(l *link) {
	l.elem = p.recent.PushFront(l)
	p.peers[l.addr] = l
}

func (p *Pool) remove(l *link) {
	delete(p.peers, l.addr)
	p.recent.Remove(l.elem)
}

func (p *Pool) release(l *link) {
	p.mu.Lock()
	l.users--
	last := l.replaced && l.users == 0
	p.mu.Unlock()
	if last {
		_ = l.client.Close()
	}
}

// Len returns the number of connections, including those being dialed.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}

// Drop closes the connection to a peer, with the requests in flight on it. It is
// used when the peer is dead or its answers cannot be trusted.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	l := p.peers[addr]
	if l != nil {
		p.remove(l)
	}
	p.mu.Unlock()
	if l != nil {
		p.close(l)
	}
}

func (p *Pool) close(l *link) {
	p.mu.Lock()
	client := l.client
	p.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// Close closes all connections and refuses further requests.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	links := make([]*link, 0, len(p.peers))
	for _, l := range p.peers {
		links = append(links, l)
	}
	clear(p.peers)
	p.recent.Init()
	p.mu.Unlock()
	for _, l := range links {
		p.close(l)
	}
}

// body releases the connection when it is closed.
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
