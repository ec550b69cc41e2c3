package proxy

import (
	"io"
	"net"
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
