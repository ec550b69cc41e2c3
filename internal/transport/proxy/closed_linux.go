package proxy

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// closedByPeer reports whether the other side has closed a connection, even if data that
// it sent before has not been read.
func closedByPeer(conn net.Conn) bool {
	events, err := poll(conn, unix.POLLRDHUP)
	return err != nil || events != 0 // With an error, the connection is closed on this side.
}

// hasUnread reports whether data that the other side sent waits to be read on an open
// connection.
func hasUnread(conn net.Conn) bool {
	events, err := poll(conn, unix.POLLIN|unix.POLLRDHUP)
	return err == nil && events == unix.POLLIN
}

// poll returns which of the events, or errors, a connection has now.
func poll(conn net.Conn, events int16) (got int16, err error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(polled, 0); err == nil && n > 0 {
			got = polled[0].Revents
		}
	})
	return got, err
}
