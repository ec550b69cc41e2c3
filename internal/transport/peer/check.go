package peer

import (
	"context"
	"expvar"
	"net/http"
	"time"
)

// counters counts the checks of connections, the silent connections that were replaced, and
// the requests whose response was recovered on another connection.
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
		c.checkTimer = time.AfterFunc(p.opt.CheckAfter, func() { p.checkIfDue(c) })
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

// expectAcknowledgment starts a check of c if the peer does not acknowledge a request in time.
// It expects this only of a peer that has acknowledged requests before, because older
// versions do not. The returned function stops the timer.
func (p *Pool) expectAcknowledgment(c *peerConn) (stop func()) {
	if !c.acknowledges.Load() {
		return func() {}
	}
	timer := time.AfterFunc(p.opt.AckTimeout, func() { p.check(c) })
	return func() { timer.Stop() }
}

// acknowledged records that the peer has sent an interim response on c.
func (p *Pool) acknowledged(c *peerConn) {
	c.acknowledges.Store(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastActivity = time.Now()
}

// checkIfDue checks a connection on which requests wait if nothing was received on it for
// CheckAfter.
func (p *Pool) checkIfDue(c *peerConn) {
	if left := p.untilCheck(c); left > 0 {
		c.checkTimer.Reset(left)
		return
	} else if left < 0 {
		return
	}
	if p.check(c) {
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

// check replaces a connection if the peer no longer responds on it, and reports whether it
// did. One silent connection is a reason to check the others.
func (p *Pool) check(c *peerConn) (replaced bool) {
	if !p.beginCheck(c) {
		return false
	}
	counters.Add("checks", 1)
	ctx, cancel := context.WithTimeout(p.ctx, p.opt.CheckTimeout+p.opt.DialTimeout+responseTimeout+p.opt.SilentGrace)
	defer cancel()
	responded := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if p.responds(ctx, c.client, c.addr) {
			close(responded)
		}
	}()
	silent := !closedWithin(ctx, responded, p.opt.CheckTimeout) && p.replaceSilent(c, responded)
	p.endCheck(c)
	if silent {
		counters.Add("silent", 1)
		p.checkOthers()
		// Requests that cannot be recovered may still get their response: after a short
		// network interruption, TCP takes longer to recover on a connection that has data
		// in flight.
		if !closedWithin(ctx, responded, p.opt.SilentGrace) || p.unused(c) {
			p.closeReplaced(c)
		}
	}
	cancel()
	<-ended
	return silent
}

// unused reports whether no request uses c.
func (p *Pool) unused(c *peerConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.users == 0
}

// closedWithin reports whether a channel is closed within the given time and before ctx is
// done.
func closedWithin(ctx context.Context, ch <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ch:
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

// beginCheck reports whether c is in use and not being checked already.
func (p *Pool) beginCheck(c *peerConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[c.addr] != c || c.checking || c.client == nil {
		return false
	}
	c.checking = true
	return true
}

func (p *Pool) endCheck(c *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.checking = false
}

// checkOthers checks all connections, at most once a second: what made one silent has often
// made others silent too, and each would otherwise delay the next request on it.
func (p *Pool) checkOthers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || time.Since(p.allChecked) < checkAllInterval {
		return
	}
	p.allChecked = time.Now()
	for _, c := range p.peers {
		go p.check(c)
	}
}

// replaceSilent replaces c by a new connection. If the peer does not respond on the new one
// either, replaceSilent changes nothing and returns false: the peer may be paused or
// disconnected, and may respond later. The same holds if it has responded on c meanwhile.
func (p *Pool) replaceSilent(c *peerConn, responded <-chan struct{}) bool {
	dialCtx, cancelDial := context.WithTimeout(p.ctx, p.opt.DialTimeout)
	defer cancelDial()
	client, err := p.transport.NewClientConn(dialCtx, "http", c.addr)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(p.ctx, responseTimeout)
	defer cancel()
	if !p.responds(ctx, client, c.addr) || closedWithin(ctx, responded, 0) || !p.replace(c, client) {
		_ = client.Close()
		return false
	}
	close(c.silent)
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
	p.replaced[c] = struct{}{}
	next := newPeerConn(c.addr)
	next.client = client
	next.acknowledges.Store(c.acknowledges.Load())
	close(next.ready)
	p.add(next)
	return true
}

// responds reports whether the peer responds on a connection until ctx is done.
func (p *Pool) responds(ctx context.Context, client *http.ClientConn, addr string) bool {
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
