package peer

import (
	"context"
	"expvar"
	"net/http"
	"time"
)

// counters counts the checks of connections and the silent connections that were
// replaced.
var counters = expvar.NewMap("peer_connections")

// startWaiting records that a request waits for its response on c. The first waiting
// request starts the timer of the check.
func (p *Pool) startWaiting(c *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.waiting++
	if c.waiting > 1 {
		return
	}
	c.lastActivity = time.Now()
	if c.checkTimer == nil {
		c.checkTimer = time.AfterFunc(p.opt.CheckAfter, func() { p.check(c) })
		return
	}
	c.checkTimer.Reset(p.opt.CheckAfter)
}

// stopWaiting records that a request no longer waits, and whether its response has begun.
func (p *Pool) stopWaiting(c *peerConn, responded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.waiting--
	if responded {
		c.lastActivity = time.Now()
	}
	if c.waiting == 0 {
		c.checkTimer.Stop()
	}
}

// check replaces a connection on which requests wait if the peer no longer responds on it.
func (p *Pool) check(c *peerConn) {
	if left := p.untilCheck(c); left > 0 {
		c.checkTimer.Reset(left)
		return
	} else if left < 0 {
		return
	}
	counters.Add("checks", 1)
	if !p.responds(c.client, c.addr, p.opt.CheckTimeout) && p.replaceSilent(c) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastActivity = time.Now()
	if c.waiting > 0 {
		c.checkTimer.Reset(p.opt.CheckAfter)
	}
}

// untilCheck returns the time left until c is to be checked. It is negative if no request
// waits on c or if c is no longer in use.
func (p *Pool) untilCheck(c *peerConn) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.waiting == 0 || p.peers[c.addr] != c {
		return -1
	}
	return max(p.opt.CheckAfter-time.Since(c.lastActivity), 0)
}

// replaceSilent replaces c by a new connection. If the peer still does not respond on c,
// it then closes c, which ends the requests on it. If the peer does not respond on the new
// connection either, replaceSilent changes nothing and returns false: the peer may be
// paused or disconnected, and may respond later.
func (p *Pool) replaceSilent(c *peerConn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), p.opt.DialTimeout)
	defer cancel()
	client, err := p.transport.NewClientConn(ctx, "http", c.addr)
	if err != nil {
		return false
	}
	if !p.responds(client, c.addr, p.opt.CheckTimeout) || !p.replace(c, client) {
		_ = client.Close()
		return false
	}
	// After a short network interruption, TCP takes longer to recover on a connection
	// that has data in flight.
	if !p.responds(c.client, c.addr, 2*p.opt.CheckTimeout) {
		counters.Add("silent", 1)
		_ = c.client.Close()
	}
	return true
}

// replace puts client in the place of c. It reports false if c is no longer in use.
func (p *Pool) replace(c *peerConn, client *http.ClientConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.peers[c.addr] != c {
		return false
	}
	p.remove(c)
	c.replaced = true
	next := &peerConn{addr: c.addr, ready: make(chan struct{}), client: client}
	close(next.ready)
	p.add(next)
	return true
}

// responds reports whether the peer responds on a connection within the given time.
func (p *Pool) responds(client *http.ClientConn, addr string, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+addr+"/", nil)
	if err != nil {
		return false
	}
	resp, err := client.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}
