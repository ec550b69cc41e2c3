package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Guards against a status outside 200 to 599 that reaches the caller as that of an answer, and
// against a request that runs again because of one.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	statuses := []string{"000", "099", "600", "999", "2", "20", "2000", "0200", "+20", "-20", "20x", "0x1", "", "101", "199"}
	for _, status := range statuses {
		for owner, shape := range []string{"one node", "two nodes"} {
			t.Run(status+"/"+shape, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 2)
				var runs atomic.Int64
				f.own(owner, "b1", serveRaw(t, func(c net.Conn) {
					r, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					runs.Add(1)
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Text\r\nContent-Length: 2\r\n\r\nno")
				}), 4)
				got := f.send(0, http.MethodPost, "/", strings.NewReader("body"))
				if got.err != nil || got.status != http.StatusBadGateway || got.outcome != header.Unknown {
					t.Errorf("the caller got %+v, want 502 with the outcome unknown", got)
				}
				if n := runs.Load(); n != 1 {
					t.Errorf("ran %d times", n)
				}
				for _, o := range f.nodes[owner].observations() {
					if o.Kind != evidence.Reset && o.Kind != evidence.Truncated {
						t.Errorf("counted as %s", o.Kind)
					}
				}
				if n := len(f.nodes[owner].observations()); n != 1 {
					t.Errorf("%d observations", n)
				}
				f.serve(1-owner, "b2", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
				// Requests go to either backend server. The first that meets b1 is tried elsewhere.
				for range 100 {
					if got := f.send(0, http.MethodGet, "/", nil); got.status != http.StatusOK || got.body != "ok" {
						t.Errorf("an idempotent request got %+v, want the response of the other backend server", got)
					}
					if runs.Load() > 1 {
						return
					}
				}
				t.Error("no idempotent request met b1")
			})
		}
	}
}
