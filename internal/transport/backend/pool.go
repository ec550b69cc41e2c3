package backend

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
)

// Defaults of a Pool.
const (
	// DefaultDialTimeout bounds a dial. Opening a connection takes about 1 ms, so
	// a dial that takes this long will not succeed.
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout is the time after which an idle connection is closed. It is
	// below the 5 s after which common servers close idle connections, because a request
	// that is written while the server closes its connection has an unknown outcome.
	DefaultIdleTimeout = 4 * time.Second
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 256 << 10
)

// Options configures a Pool.
type Options struct {
	// Addr is the address (IP:port) of the backend server.
	Addr string
	// MaxConns bounds the open connections. The caller sets it to the number of slots
	// plus one.
	MaxConns    int
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// IDHeader is the header in which a response repeats the request identifier. The
	// default is header.RequestID.
	IDHeader string
	// CloseDelimited accepts responses whose end is marked only by the end of the
	// connection.
	CloseDelimited bool
	// Belongs reports whether a response can be that of the request, given its request
	// identifier, which is empty or the right one, and whether the connection has carried
	// an exchange before; nil means that every response can.
	Belongs func(resp *http.Response, id string, reused bool) bool
	// NotRun reports whether a response states that its request was not run; nil means
	// that no response does.
	NotRun func(*http.Response) bool
}

// noReuseAfterUnmatched is how long after a response that belongs to no request
// connections are not reused for requests that must not be repeated. A second such
// response could otherwise be taken for the response to the next request.
const noReuseAfterUnmatched = 10 * time.Second

// Pool holds the connections to one backend server. It is safe for concurrent
// use.
type Pool struct {
	opt       Options
	transport *http.Transport
	idleTimer *time.Timer

	// repeatsID is set once the backend server has repeated the identifier of a request.
	repeatsID atomic.Bool

	mu sync.Mutex
	// open counts connections that are open or being dialed.
	open    int
	max     int
	idle    []idleConn
	waiters []chan struct{}
	closed  bool
	// unmatchedAt is when the latest response that belongs to no request was received.
	unmatchedAt time.Time

	disabled disabledMechanisms
}

// disabledMechanisms disables mechanisms in tests, to show that the tests detect
// their absence.
type disabledMechanisms struct{ requestID, unsolicited, socketFailure bool }

type idleConn struct {
	*conn
	since time.Time
}

type dialedConnKey struct{}

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
	p.idleTimer = time.AfterFunc(o.IdleTimeout, p.closeIdle)
	return p
}

// SetMaxConns changes the maximum number of open connections.
func (p *Pool) SetMaxConns(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = max(n, 1)
	p.wakeWaiter()
}

// Stats returns the number of open and of idle connections.
func (p *Pool) Stats() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// Close closes the idle connections now and all others when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	p.idleTimer.Stop()
	for _, c := range idle {
		_ = c.client.Close()
	}
}

// recordUnmatched records that a response was received that belongs to no request.
func (p *Pool) recordUnmatched() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unmatchedAt = time.Now()
}

// avoidsReuse reports whether connections must not be reused for a request that
// must not be repeated. The caller holds the lock.
func (p *Pool) avoidsReuse() bool {
	return !p.unmatchedAt.IsZero() && time.Since(p.unmatchedAt) < noReuseAfterUnmatched
}

// get returns a connection for one exchange: the most recently used idle one, or a new one.
// repeatable states that the request may run again if its response is lost. At the maximum
// number of connections, get waits.
func (p *Pool) get(ctx context.Context, repeatable bool) (*conn, error) {
	for {
		p.mu.Lock()
		if len(p.idle) > 0 && !repeatable && p.avoidsReuse() {
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
			if c.checkOut() && c.client.Err() == nil {
				return c, nil
			}
			_ = c.client.Close()
			continue
		}
		if p.open < p.max {
			p.open++
			p.mu.Unlock()
			return p.openConn(ctx)
		}
		ready := make(chan struct{})
		p.waiters = append(p.waiters, ready)
		p.mu.Unlock()
		select {
		case <-ready:
		case <-ctx.Done():
			p.removeWaiter(ready)
			return nil, fault.New("wait for a connection", p.opt.Addr, context.Cause(ctx))
		}
	}
}

// openConn opens a connection that get has already counted as open.
func (p *Pool) openConn(ctx context.Context) (*conn, error) {
	dialed := new(*conn)
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, dialedConnKey{}, dialed), p.opt.DialTimeout)
	defer cancel()
	client, err := p.transport.NewClientConn(ctx, "http", p.opt.Addr)
	if err != nil {
		if *dialed == nil {
			p.connClosed(nil, false)
		}
		return nil, fault.New("dial backend server", p.opt.Addr, err)
	}
	c := *dialed
	c.client = client
	return c, nil
}

func (p *Pool) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialed, ok := ctx.Value(dialedConnKey{}).(**conn)
	if !ok {
		return nil, errors.New("backend connections are opened by the pool only")
	}
	nc, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, pool: p}
	*dialed = c
	return c, nil
}

// put returns a connection to the pool whose exchange has ended.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	if p.closed || p.open > p.max {
		p.mu.Unlock()
		// Another goroutine closes the connection, because put may run inside Read.
		go func() { _ = c.client.Close() }()
		return
	}
	p.idle = append(p.idle, idleConn{c, time.Now()})
	p.wakeWaiter()
	p.mu.Unlock()
}

// connClosed updates the pool after a connection was closed, or, if c is nil, after a dial
// failed.
func (p *Pool) connClosed(c *conn, idle bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if idle {
		p.idle = slices.DeleteFunc(p.idle, func(i idleConn) bool { return i.conn == c })
	}
	p.wakeWaiter()
}

// wakeWaiter lets the first waiter try again. The caller holds the lock.
func (p *Pool) wakeWaiter() {
	if len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
	}
}

// removeWaiter removes a waiter whose context has ended. If it has already been woken, the
// next waiter is woken in its place.
func (p *Pool) removeWaiter(ready chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiters, ready)
	if i < 0 {
		p.wakeWaiter()
		return
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
}

// closeIdle closes the connections that have been idle for longer than IdleTimeout.
func (p *Pool) closeIdle() {
	limit := time.Now().Add(-p.opt.IdleTimeout)
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && p.idle[n].since.Before(limit) {
		n++
	}
	old := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	if !p.closed {
		p.idleTimer.Reset(p.opt.IdleTimeout / 4)
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.client.Close()
	}
}
