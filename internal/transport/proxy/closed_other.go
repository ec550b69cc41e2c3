//go:build !linux

package proxy

import "net"

// closedByPeer is not implemented: a caller that leaves is noticed once its body is read.
func closedByPeer(net.Conn) bool { return false }

// hasUnread is not implemented: connections are closed at once.
func hasUnread(net.Conn) bool { return false }
