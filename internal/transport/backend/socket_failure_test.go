package backend

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a reset that a read takes for the orderly end of a connection, because a write
// has got the error of the socket.
func TestResetThatWriteReportsIsNoEndOfData(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		for _, orderly := range []bool{false, true} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			near, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer near.Close()
			far, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			p := NewPool(Options{MaxConns: 1})
			p.disabled.socketFailure = disabled
			c := &conn{Conn: near, pool: p, written: true, used: true}
			_, _ = io.WriteString(far, "part")
			if orderly {
				_ = far.(*net.TCPConn).CloseWrite()
				if _, err := bufio.NewReader(near).Peek(4); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(10 * time.Millisecond)
			_ = far.(*net.TCPConn).SetLinger(0)
			_ = far.Close()
			time.Sleep(10 * time.Millisecond)
			if _, err := c.Write([]byte("upload")); err == nil {
				t.Fatal("the write succeeded on a connection that was reset")
			}
			var read []byte
			buf := make([]byte, 16)
			for err = nil; err == nil; {
				var n int
				n, err = c.Read(buf)
				read = append(read, buf[:n]...)
			}
			if wantEOF := orderly || disabled; (err == io.EOF) != wantEOF {
				t.Errorf("protection disabled %t, orderly %t: read %q, then %v", disabled, orderly, read, err)
			}
		}
	}
}
