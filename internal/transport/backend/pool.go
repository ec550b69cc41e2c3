package backend

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
)

// Defaults of a Pool.
const (
	// DefaultDialTimeout bounds a dial. Opening a connection takes about 1 ms, so
	// a dial that takes this long will not succeed.
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout closes an idle connection. It is below the 5 s after
	// which common servers close one, because a request that is written while the
	// server closes has an unknown outcome.
	DefaultIdleTimeout = 4 * time.Second
	// maxResponseHeaderBytes bounds the header of an answer.
	maxResponseHeaderBytes = 256 << 10
)

// Options configures a Pool.
type Options struct {
	// Addr is the address (IP:port) of the backend server.
	Addr string
	// MaxConns bounds the open connections; it is the number of slots plus one.
	MaxConns    int
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// IDHeader is the header in which an answer repeats the request identifier; the
	// default is the project's own.
	IDHeader string
	// CloseDelimited accepts answers that end with their connection.
	CloseDelimited bool
	// NotRun reports whether an answer states that its request was not run; nil means
	// that none does.
	NotRun func(*http.Response) bool
}

// distrust is how long after an answer that belongs to no request a connection is
// not reused for a request that must not be repeated: a late second answer would
// take the place of its own.
const distrust = 10 * time.Second

// Pool holds the connections to one backend server. It is safe for concurrent
// use.
type Pool struct {
	opt       Options
	transport *http.Transport
	sweeper   *time.Timer

	mu sync.Mutex
	// open counts connections that are open or being dialed.
	open    int
	max     int
	idle    []idleConn
	waiters []chan struct{}
	closed  bool
	// straySince is when an answer that belongs to no request was seen last.
	straySince time.Time

	off mechanismsOff
}

// mechanismsOff disables mechanisms in tests, to show that the tests detect
// their absence.
type mechanismsOff struct{ requestID, unsolicited bool }

type idleConn struct {
	*conn
	since time.Time
}

type holderKey struct{}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	o.MaxConns = max(o.MaxConns, 1)
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.IDHeader = cmp.Or(o.IDHeader, header.RequestID)
	p := &Pool{opt: o, max: o.MaxConns}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	p.transport = &http.Transport{
		DialContext:            p.dial,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	p.sweeper = time.AfterFunc(o.IdleTimeout, p.sweep)
	return p
}

// SetMaxConns changes the bound of open connections.
func (p *Pool) SetMaxConns(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = max(n, 1)
	p.wake()
}

// Stats returns the number of open and of idle connections.
func (p *Pool) Stats() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// Close closes the idle connections now and the others when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	p.sweeper.Stop()
	for _, c := range idle {
		_ = c.client.Close()
	}
}

// stray notes an answer that belongs to no request.
func (p *Pool) stray() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.straySince = time.Now()
}

// distrusted reports whether connections must not be reused for a request that
// must not be repeated. The caller holds the lock.
func (p *Pool) distrusted() bool {
	return !p.straySince.IsZero() && time.Since(p.straySince) < distrust
}

// get returns a connection for one exchange: the idle one that was used last, or
// a new one. repeatable is false if the loss of an answer cannot be made good.
func (p *Pool) get(ctx context.Context, repeatable bool) (*conn, error) {
	for {
		p.mu.Lock()
		if len(p.idle) > 0 && !repeatable && p.distrusted() {
			old := p.idle[0].conn
			p.idle = p.idle[1:]
			p.mu.Unlock()
			_ = old.client.Close()
			continue
		}
		if n := len(p.idle); n > 0 {
			c := p.idle[n-1].conn
			p.idle = p.idle[:n-1]
			p.mu.Unlock()
			if c.handOut() && c.client.Err() == nil {
				return c, nil
			}
			_ = c.client.Close()
			continue
		}
		if p.open < p.max {
			p.open++
			p.mu.Unlock()
			return p.open1(ctx)
		}
		ready := make(chan struct{})
		p.waiters = append(p.waiters, ready)
		p.mu.Unlock()
		select {
		case <-ready:
		case <-ctx.Done():
			p.leave(ready)
			return nil, fault.New("wait for a connection", p.opt.Addr, context.Cause(ctx))
		}
	}
}

// open1 opens the connection that get has counted.
func (p *Pool) open1(ctx context.Context) (*conn, error) {
	holder := new(*conn)
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, holderKey{}, holder), p.opt.DialTimeout)
	defer cancel()
	client, err := p.transport.NewClientConn(ctx, "http", p.opt.Addr)
	if err != nil {
		if *holder == nil {
			p.drop(nil, false)
		}
		return nil, fault.New("dial backend server", p.opt.Addr, err)
	}
	c := *holder
	c.client = client
	return c, nil
}

func (p *Pool) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	holder, ok := ctx.Value(holderKey{}).(**conn)
	if !ok {
		return nil, errors.New("backend connections are opened by the pool only")
	}
	nc, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, pool: p}
	*holder = c
	return c, nil
}

// put adds a connection whose exchange is over.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	if p.closed || p.open > p.max {
		p.mu.Unlock()
		// Closed by another goroutine because put may run inside Read.
		go func() { _ = c.client.Close() }()
		return
	}
	p.idle = append(p.idle, idleConn{c, time.Now()})
	p.wake()
	p.mu.Unlock()
}

// drop forgets a closed connection.
func (p *Pool) drop(c *conn, idle bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if idle {
		p.idle = slices.DeleteFunc(p.idle, func(i idleConn) bool { return i.conn == c })
	}
	p.wake()
}

// wake lets the first waiter try again.
func (p *Pool) wake() {
	if len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
	}
}

// leave removes a waiter whose context ended. If it was woken meanwhile, the
// wake-up is passed on.
func (p *Pool) leave(ready chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiters, ready)
	if i < 0 {
		p.wake()
		return
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
}

// sweep closes connections that were idle for too long.
func (p *Pool) sweep() {
	limit := time.Now().Add(-p.opt.IdleTimeout)
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && p.idle[n].since.Before(limit) {
		n++
	}
	old := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	if !p.closed {
		p.sweeper.Reset(p.opt.IdleTimeout / 4)
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.client.Close()
	}
}
