package peer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// DoRecoverable is Do for a request whose response the peer can also send on another
// connection. If the connection of the request falls silent and a new one to the peer works,
// DoRecoverable sends the request that query returns on the new one, and the first response to
// either is returned. It does the same if the connection is closed. The peer acknowledges a
// recoverable request with an interim response, so that a silent connection is noticed within
// a fraction of a second.
func (p *Pool) DoRecoverable(ctx context.Context, addr string, req *http.Request, query func() *http.Request) (*http.Response, error) {
	c, err := p.reserve(ctx, addr)
	if err != nil {
		return nil, err
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	first := make(chan response, 1)
	go func() { first <- p.roundTrip(firstCtx, c, req) }()
	select {
	case r := <-first:
		if r.err != nil && !r.err.NotProcessed && c.client.Err() != nil && ctx.Err() == nil {
			cancelFirst()
			return p.recoverLost(ctx, addr, r.err, query)
		}
		return r.result(cancelFirst)
	case <-c.silent:
	}
	secondCtx, cancelSecond := context.WithCancel(ctx)
	second := make(chan response, 1)
	go func() { second <- p.query(secondCtx, addr, query) }()
	select {
	case r := <-first:
		if r.err == nil {
			discard(second, cancelSecond)
			return r.result(cancelFirst)
		}
		cancelFirst()
		return (<-second).or(r.err).result(cancelSecond)
	case r := <-second:
		if r.err == nil {
			discard(first, cancelFirst)
			return r.result(cancelSecond)
		}
		cancelSecond()
		return (<-first).result(cancelFirst)
	}
}

// recoverLost asks for the response to a request whose connection was closed. If that fails,
// the error is that of the request.
func (p *Pool) recoverLost(ctx context.Context, addr string, lost *Error, query func() *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	return p.query(ctx, addr, query).or(lost).result(cancel)
}

// query asks a peer for the response to a request on the current connection to it.
func (p *Pool) query(ctx context.Context, addr string, query func() *http.Request) response {
	resp, err := p.Do(ctx, addr, query())
	if err != nil {
		var e *Error
		errors.As(err, &e)
		return response{nil, e}
	}
	counters.Add("recovered", 1)
	return response{resp, nil}
}

// roundTrip sends a recoverable request on a reserved connection.
func (p *Pool) roundTrip(ctx context.Context, c *peerConn, req *http.Request) response {
	p.startWaiting(c)
	acknowledged := p.expectAcknowledgment(c)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			acknowledged()
			p.acknowledged(c)
			return nil
		},
	})
	resp, err := c.client.RoundTrip(req.WithContext(ctx))
	acknowledged()
	p.stopWaiting(c, err == nil)
	if err != nil {
		p.release(c)
		return response{nil, classify(c.addr, err)}
	}
	resp.Body = &body{ReadCloser: resp.Body, release: func() { p.release(c) }}
	return response{resp, nil}
}

// response is the result of a round trip.
type response struct {
	resp *http.Response
	err  *Error
}

// or replaces the error of a query by that of the request, which tells whether the peer may
// have processed the request.
func (r response) or(err *Error) response {
	if r.err != nil {
		r.err = err
	}
	return r
}

// result returns the response. Closing its body calls cancel.
func (r response) result(cancel context.CancelFunc) (*http.Response, error) {
	if r.err != nil {
		cancel()
		return nil, r.err
	}
	r.resp.Body = &body{ReadCloser: r.resp.Body, release: sync.OnceFunc(cancel)}
	return r.resp, nil
}

// discard ends a round trip whose response is not needed.
func discard(from <-chan response, cancel context.CancelFunc) {
	cancel()
	go func() {
		if r := <-from; r.err == nil {
			_ = r.resp.Body.Close()
		}
	}()
}
