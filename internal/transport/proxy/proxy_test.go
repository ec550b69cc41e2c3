package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Guards against a request or an answer that is changed on its way, in process
// and over a peer connection.
func TestRequestPassesUnchanged(t *testing.T) {
	for _, owner := range []int{0, 1} {
		f := newFleet(t, 2)
		f.serve(owner, "b1", func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			w.Header().Set("X-Answer", r.Header.Get("X-Question"))
			w.Header().Set(header.Load, "internal")
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write([]byte(r.Method + " " + r.Host + " " + r.RequestURI + " " + string(b)))
		})
		res := f.send(0, "POST", "/a%2Fb?q=1", strings.NewReader("payload"), func(r *http.Request) {
			r.Header.Set("X-Question", "x")
			r.Header.Set(header.Backend, "b9")
		})
		if res.status != http.StatusCreated || res.outcome != header.Answered || res.body != "POST booking.test /a%2Fb?q=1 payload" {
			t.Fatalf("owner %d: got %+v", owner, res)
		}
		if res.header.Get("X-Answer") != "x" || res.header.Get(header.Load) != "" || !header.ValidRequestID(res.header.Get(header.RequestID)) {
			t.Fatalf("owner %d: header %v", owner, res.header)
		}
		obs := f.nodes[owner].observations()
		if len(obs) != 1 || obs[0].Kind != evidence.Success || obs[0].Route != "write" {
			t.Fatalf("owner %d: observed %+v", owner, obs)
		}
	}
}
