package backend

import (
	"errors"
	"net"
	"net/http"
	"sync"
)

// Errors of a conn. None of them leaves a byte on the wire.
var (
	errSealed      = errors.New("connection was given up before the request was written")
	errUnsolicited = errors.New("backend server sent data that belongs to no request")
)

// conn is a connection to a backend server. It knows whether a byte was written
// since it was handed out, and whether data arrived that belongs to no request.
//
// Between exchanges the reader of net/http waits in Read with an empty buffer.
// Only in that state may the next request be written: data left over from an
// earlier exchange would otherwise be taken for its answer.
type conn struct {
	net.Conn
	client *http.ClientConn
	pool   *Pool

	mu sync.Mutex
	// written is set once a byte of the current exchange may have been written.
	written bool
	// sealed refuses further writes.
	sealed bool
	// used is set by the first write.
	used bool
	// reading is set while the reader waits for data.
	reading bool
	// finished is set when the exchange is over and its answer was read to the end.
	finished bool
	// idle is set while the connection is in the pool.
	idle bool
	// gone is set when the connection was closed.
	gone bool
}

// handOut starts an exchange. It reports false if the connection is closed.
func (c *conn) handOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.finished, c.written = false, false, false
	return !c.gone
}

// seal stops all further writes and reports whether no byte was written since
// the connection was handed out.
func (c *conn) seal() (untouched bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return !c.written
}

// finish ends an exchange whose answer was read to the end. The connection goes
// back to the pool once the reader waits for data again.
func (c *conn) finish() {
	c.mu.Lock()
	c.finished = true
	ready := c.becomeIdle()
	c.mu.Unlock()
	if ready {
		c.pool.put(c)
	}
}

// becomeIdle reports, once per exchange, that the connection may be reused.
func (c *conn) becomeIdle() bool {
	if !c.finished || !c.reading && !c.pool.off.unsolicited || c.idle || c.gone {
		return false
	}
	// The exchange is over, so data that arrives from now on is unsolicited.
	c.idle, c.written = true, false
	return true
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	switch {
	case c.sealed:
		c.mu.Unlock()
		return 0, errSealed
	case !c.written && c.used && !c.reading && !c.pool.off.unsolicited:
		c.mu.Unlock()
		return 0, errUnsolicited
	}
	first := !c.written
	c.written, c.used = true, true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		c.mu.Lock()
		c.written = false
		c.mu.Unlock()
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	ready := c.becomeIdle()
	c.mu.Unlock()
	if ready {
		c.pool.put(c)
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.reading = false
	unsolicited := n > 0 && !c.written
	c.mu.Unlock()
	if unsolicited && !c.pool.off.unsolicited {
		c.pool.stray()
		return 0, errUnsolicited
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.gone
	c.gone = true
	idle := c.idle
	c.mu.Unlock()
	err := c.Conn.Close()
	if first {
		c.pool.drop(c, idle)
	}
	return err
}
