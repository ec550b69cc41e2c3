package gossip

import (
	"bytes"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// failingConn is a socket whose reads fail.
type failingConn struct {
	net.PacketConn
	reads atomic.Int32
}

func (c *failingConn) ReadFrom([]byte) (int, net.Addr, error) {
	c.reads.Add(1)
	return 0, nil, errors.New("lasting failure")
}

// Guards against a lasting error of the socket that keeps a core busy.
func TestLastingReadErrorDoesNotSpin(t *testing.T) {
	inner, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conn := &failingConn{PacketConn: inner}
	start(t, 0, func(o *Options) { o.Conn = conn })
	time.Sleep(500 * time.Millisecond)
	if n := conn.reads.Load(); n < 2 || n > 50 {
		t.Errorf("%d reads in 0.5 s", n)
	}
}

// Guards against datagrams of other protocols that are lost or counted as malformed.
func TestAppDatagrams(t *testing.T) {
	type received struct {
		from string
		data []byte
	}
	got := make(chan received, 1)
	a := start(t, 0, nil)
	b := start(t, 1, func(o *Options) {
		o.OnDatagram = func(from string, data []byte) { got <- received{from, bytes.Clone(data)} }
	})
	a.Send(b.Addr(), []byte{AppMarker, 7, 8})
	select {
	case r := <-got:
		if r.from != a.Addr() || !bytes.Equal(r.data, []byte{AppMarker, 7, 8}) {
			t.Errorf("got %v from %s, sent by %s", r.data, r.from, a.Addr())
		}
	case <-time.After(5 * time.Second):
		t.Error("datagram has not arrived")
	}
}
