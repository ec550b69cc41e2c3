package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against requests that go on running and failing at a call that finds no slot,
// and against refusals because of calls that failed for another reason.
func TestRequestsWhoseCallsFindNoSlotAreRefused(t *testing.T) {
	const requests = 60
	for _, owner := range []int{0, 1} {
		for _, unsent := range []bool{true, false} {
			f := newFleet(t, 2)
			var ran atomic.Int32
			f.serve(owner, "b1", func(w http.ResponseWriter, _ *http.Request) {
				ran.Add(1)
				now := time.Now()
				f.nodes[owner].owner.failed.add(now, now, unsent)
				w.WriteHeader(http.StatusInternalServerError)
			})
			refused := 0
			for range requests {
				res := f.send(0, "POST", "/", nil)
				if res.reason != reasonCallsRefused {
					continue
				}
				refused++
				if res.status != http.StatusServiceUnavailable || res.header.Get("Retry-After") == "" {
					t.Fatalf("owner %d: refused with %+v", owner, res)
				}
			}
			if int(ran.Load())+refused != requests || (refused > 0) != unsent {
				t.Errorf("owner %d, calls without a slot %v: %d ran, %d refused", owner, unsent, ran.Load(), refused)
			}
		}
	}
}
