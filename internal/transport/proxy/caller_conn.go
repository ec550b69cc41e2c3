package proxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ListenCallers wraps the listener of the server that an Ingress handles. A connection that
// is closed while data of the caller is unread, such as further requests, lingers for a moment:
// the kernel would reset it, and the caller could lose the response before.
func ListenCallers(l net.Listener) net.Listener { return &callerListener{Listener: l} }

type callerListener struct {
	net.Listener
	disabled disabledListenerMechanisms
}

// disabledListenerMechanisms switches mechanisms off in tests, to show that the tests detect
// their absence.
type disabledListenerMechanisms struct{ linger atomic.Bool }

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	tcp, ok := c.(*net.TCPConn)
	if err != nil || !ok || l.disabled.linger.Load() {
		return c, err
	}
	return &callerConn{TCPConn: tcp}, nil
}

// callerConn is the connection of a caller.
type callerConn struct {
	*net.TCPConn
	// resets is set if Close is to reset the connection.
	resets atomic.Bool
	closed atomic.Bool

	mu sync.Mutex
	// ahead is set when the first byte of a further request was read while a request runs.
	// net/http reads this byte by itself, and does not notice the end of the connection then.
	ahead   bool
	onAhead func()
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	c.ahead = len(p) == 1
	notify := c.onAhead
	if !c.ahead {
		notify = nil
	}
	c.mu.Unlock()
	if notify != nil {
		notify()
	}
	return n, err
}

// notifyAhead calls f when the first byte of a further request is read, or now if it has been.
// Nil ends this.
func (c *callerConn) notifyAhead(f func()) {
	c.mu.Lock()
	c.onAhead = f
	ahead := c.ahead
	c.mu.Unlock()
	if ahead && f != nil {
		f()
	}
}

// SetLinger sets what Close does with data that has not been sent; see net.TCPConn.
func (c *callerConn) SetLinger(sec int) error {
	c.resets.Store(sec == 0)
	return c.TCPConn.SetLinger(sec)
}

// Close implements net.Conn. If data of the caller is unread, only the sending direction is
// closed at once. What the caller still sends is discarded, within the limits of lingerTime
// and lingerBytes.
func (c *callerConn) Close() error {
	if c.closed.Swap(true) || c.resets.Load() || !hasUnread(c.TCPConn) || c.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
		_ = c.TCPConn.Close()
	}()
	return nil
}
