package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// serveCut starts a backend server that sends the first bytes of an answer, as many as the
// path of the request says, and then closes or resets the connection.
func serveCut(t *testing.T, answer string, reset bool) string {
	t.Helper()
	return serveRaw(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
		if err != nil {
			return
		}
		_, _ = c.Write([]byte(answer[:n]))
		if reset {
			time.Sleep(2 * time.Millisecond) // The bytes arrive before the reset.
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

// Guards against an answer that a backend server broke off, in its head or in its body, and
// that reaches the caller as a whole one. It is broken off at each byte.
func TestAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	const headers = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Signature: abc\r\n"
	answers := []struct {
		name, head, body string
		// untilClose marks an answer without length, which ends with its connection.
		untilClose bool
	}{
		{"length", headers + "Content-Length: 12\r\n\r\n", "twelve bytes", false},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Signature: abc\r\n\r\n", "twelve bytes", false},
		{"chunks", headers + "Transfer-Encoding: chunked\r\n\r\n", "6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n", false},
		{"no length", headers + "\r\n", "twelve bytes", true},
		{"empty", "HTTP/1.1 200 OK\r\nX-Signature: abc\r\nContent-Length: 0\r\n\r\n", "", false},
	}
	for _, a := range answers {
		for _, owner := range []int{0, 1} {
			for _, reset := range []bool{false, true} {
				f := newFleet(t, 2)
				for _, n := range f.nodes {
					n.backends.opt.CloseDelimited = true
				}
				answer := a.head + a.body
				f.own(owner, "b1", serveCut(t, answer, reset), 4)
				cuts := len(answer)
				if a.untilClose && !reset {
					cuts = len(a.head) // A close after the head ends the body.
				}
				for cut := range cuts {
					got := f.send(0, "POST", fmt.Sprint("/", cut), nil)
					if got.err == nil && got.status < 300 {
						t.Errorf("%s, owner %d, reset %t: cut after %d of %d bytes: status %d, body %q", a.name, owner, reset, cut, len(answer), got.status, got.body)
					}
				}
				if got := f.send(0, "POST", fmt.Sprint("/", len(answer)), nil); !reset && (got.err != nil || got.status != 200 || got.header.Get("X-Signature") != "abc") {
					t.Errorf("%s, owner %d: the whole answer: %+v", a.name, owner, got)
				}
			}
		}
	}
}
