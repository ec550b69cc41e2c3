package console

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a request that is smuggled in the trailer of another one: net/http would use
// the connection again after a trailer that it cannot read, if its body has been replaced.
func TestMalformedTrailerClosesOperatorConnection(t *testing.T) {
	var smuggled atomic.Bool
	s := httptest.NewServer(NewGuard(GuardOptions{}).Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		smuggled.Store(smuggled.Load() || strings.HasSuffix(r.URL.Path, "/smuggled"))
	})))
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: localhost\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+
		"malformed\r\nPOST /smuggled HTTP/1.1\r\nHost: localhost\r\nContent-Length: 0\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	r := bufio.NewReader(c)
	if resp, err := http.ReadResponse(r, nil); err != nil {
		t.Fatal(err)
	} else {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	if n, err := io.Copy(io.Discard, r); n > 0 || err != nil || smuggled.Load() {
		t.Errorf("%d bytes after the response, %v; the smuggled request ran: %t", n, err, smuggled.Load())
	}
}
