package peer

import (
	"context"
	"expvar"
	"net/http"
	"time"
)

// counters counts the checks of connections and the connections that were replaced.
var counters = expvar.NewMap("peer_connections")

// await notes that a request waits for its response on l. The first one starts the time
// after which the connection is checked.
func (p *Pool) await(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.waiting++
	if l.waiting > 1 {
		return
	}
	l.heard = time.Now()
	if l.doubt == nil {
		l.doubt = time.AfterFunc(p.opt.CheckAfter, func() { p.check(l) })
		return
	}
	l.doubt.Reset(p.opt.CheckAfter)
}

// awaited notes that a request does not wait any more, and whether its response came.
func (p *Pool) awaited(l *link, heard bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.waiting--
	if heard {
		l.heard = time.Now()
	}
	if l.waiting == 0 {
		l.doubt.Stop()
	}
}

// check finds out whether a connection on which requests wait has fallen silent, and
// replaces it then.
func (p *Pool) check(l *link) {
	if left := p.doubtIn(l); left > 0 {
		l.doubt.Reset(left)
		return
	} else if left < 0 {
		return
	}
	counters.Add("checks", 1)
	if !p.answers(l.client, l.addr, p.opt.CheckTimeout) && p.replaceSilent(l) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.heard = time.Now()
	if l.waiting > 0 {
		l.doubt.Reset(p.opt.CheckAfter)
	}
}

// doubtIn returns the time left until l is to be checked, which is negative if nothing
// waits on it.
func (p *Pool) doubtIn(l *link) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.waiting == 0 || p.peers[l.addr] != l {
		return -1
	}
	return max(p.opt.CheckAfter-time.Since(l.heard), 0)
}

// replaceSilent puts a new connection in the place of l and ends the requests on l if it
// stays silent. It does nothing if the peer does not answer on the new one either: it
// may be paused or cut off, and respond later.
func (p *Pool) replaceSilent(l *link) bool {
	ctx, cancel := context.WithTimeout(context.Background(), p.opt.DialTimeout)
	defer cancel()
	client, err := p.transport.NewClientConn(ctx, "http", l.addr)
	if err != nil {
		return false
	}
	if !p.answers(client, l.addr, p.opt.CheckTimeout) || !p.swap(l, client) {
		_ = client.Close()
		return false
	}
	// After a short cut, TCP takes longer on a connection that has data in flight.
	if !p.answers(l.client, l.addr, 2*p.opt.CheckTimeout) {
		counters.Add("silent", 1)
		_ = l.client.Close()
	}
	return true
}

// swap replaces l unless it is no longer in use.
func (p *Pool) swap(l *link, client *http.ClientConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.peers[l.addr] != l {
		return false
	}
	p.remove(l)
	l.replaced = true
	next := &link{addr: l.addr, ready: make(chan struct{}), client: client}
	close(next.ready)
	p.add(next)
	return true
}

// answers reports whether the peer answers on a connection in time.
func (p *Pool) answers(client *http.ClientConn, addr string, within time.Duration) bool {
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
