package backend

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Errors of a conn. A write that returns one of them has written no byte.
var (
	errWritesBlocked = errors.New("connection was abandoned before the request was written")
	errUnsolicited   = errors.New("backend server sent data that belongs to no request")
)

// conn is a connection to a backend server. It records whether a byte was written in the
// current exchange, and whether data arrived that belongs to no request.
//
// Between exchanges the reader of net/http waits in Read with an empty buffer. The next
// request may be written only in this state. Otherwise, data left over from an earlier
// exchange would be taken for its response.
type conn struct {
	net.Conn
	client *http.ClientConn
	pool   *Pool

	mu sync.Mutex
	// written is set once a byte of the current exchange may have been written.
	written bool
	// writesBlocked makes all further writes fail.
	writesBlocked bool
	// used is set by the first write on the connection.
	used bool
	// reused is set if the connection has carried an exchange before the current one.
	reused bool
	// reading is set while the reader waits for data.
	reading bool
	// finished is set when the exchange has ended and its response was read to the end.
	finished bool
	// idle is set while the connection is in the pool.
	idle bool
	// closed is set when the connection was closed.
	closed bool

	// writing is held during a write to the socket. It guards failure, the error of the socket
	// that a write has reported.
	writing sync.Mutex
	failure error
}

// checkOut prepares an idle connection for an exchange. It reports false if the connection
// is closed.
func (c *conn) checkOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.finished, c.written, c.reused = false, false, false, c.used
	return !c.closed
}

// blockWrites makes all further writes fail. It reports whether no byte was written in
// the current exchange.
func (c *conn) blockWrites() (unwritten bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return !c.written
}

// finish ends an exchange whose response was read to the end. The connection returns to
// the pool once the reader waits for data again.
func (c *conn) finish() {
	c.mu.Lock()
	c.finished = true
	ready := c.becomeIdle()
	c.mu.Unlock()
	if ready {
		c.pool.put(c)
	}
}

// becomeIdle reports whether the connection has just become reusable. It returns true only
// once per exchange. The caller holds the lock.
func (c *conn) becomeIdle() bool {
	if !c.finished || !c.reading && !c.pool.disabled.unsolicited || c.idle || c.closed {
		return false
	}
	// The exchange has ended, so data that arrives from now on is unsolicited.
	c.idle, c.written = true, false
	return true
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	switch {
	case c.writesBlocked:
		c.mu.Unlock()
		return 0, errWritesBlocked
	case !c.written && c.used && !c.reading && !c.pool.disabled.unsolicited:
		c.mu.Unlock()
		return 0, errUnsolicited
	}
	first := !c.written
	c.written, c.used = true, true
	c.mu.Unlock()
	n, err := c.writeSocket(p)
	if first && n == 0 && err != nil {
		c.mu.Lock()
		c.written = false
		c.mu.Unlock()
	}
	return n, err
}

// writeSocket writes to the socket and keeps its error for the reader.
func (c *conn) writeSocket(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if errno := syscall.Errno(0); c.failure == nil && errors.As(err, &errno) && errno != syscall.EPIPE {
		c.failure = err
	}
	return n, err
}

// endOfData returns the error of a read that found the end of the data: io.EOF only if the
// backend server has ended the connection in order. The kernel reports the error of a socket
// once. If it is reported to a write, a read sees the end of the data, and a truncated response
// without a length would look complete. A write after an orderly end fails with EPIPE.
func (c *conn) endOfData() error {
	// net/http writes nothing more after this read. A write that is blocked returns.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil && !c.pool.disabled.socketFailure {
		return c.failure
	}
	return io.EOF
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
	if n == 0 && err == io.EOF {
		err = c.endOfData()
	}
	c.mu.Lock()
	c.reading = false
	unsolicited := n > 0 && !c.written
	c.mu.Unlock()
	if unsolicited && !c.pool.disabled.unsolicited {
		c.pool.recordUnmatched()
		return 0, errUnsolicited
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	idle := c.idle
	c.mu.Unlock()
	err := c.Conn.Close()
	if first {
		c.pool.connClosed(c, idle)
	}
	return err
}
