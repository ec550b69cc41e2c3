package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// Guards against planned changes that end a request at which its backend server is at work, or
// leave one without an answer that waits for it: a policy with shorter timeouts and other routes,
// and the departure of the backend server.
func TestPlannedChangesKeepRequestsInFlight(t *testing.T) {
	table := policy.NewTable(policy.TableOptions{})
	set := func(epoch uint64, text string) {
		if _, err := table.Set(policy.VersionedDocument{Service: "booking", Epoch: epoch, Text: []byte(text)}); err != nil {
			t.Fatal(err)
		}
	}
	changes := map[string]func(*testNode){
		"timeout": func(*testNode) { set(2, strings.Replace(testPolicy, `"2s"`, `"100ms"`, 1)) },
		"route":   func(*testNode) { set(2, strings.ReplaceAll(testPolicy, `"/*"`, `"/other/*"`)) },
		"limits": func(n *testNode) {
			n.backends.Upsert(ownership.Announcement{Backend: "b1", Service: "booking", Address: n.backends.get("b1").address, Slots: 1, Incarnation: 1}, policy.Limits{Queue: 1})
		},
		"drain": func(n *testNode) {
			n.backends.Upsert(ownership.Announcement{Backend: "b1", Service: "booking", Address: n.backends.get("b1").address, Slots: 1, Incarnation: 1, Draining: true}, policy.Limits{})
		},
		"release": func(n *testNode) {
			n.leases.Announce(time.Now(), ownership.Announcement{Backend: "b1", Service: "booking", Incarnation: 1, Sequence: 9, Released: true})
			n.backends.Remove("b1")
		},
	}
	for name, change := range changes {
		for owner := range 2 {
			table = policy.NewTable(policy.TableOptions{})
			set(1, testPolicy)
			f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.Policies = table })
			begun, free := make(chan struct{}, 2), make(chan struct{})
			f.serve(owner, "b1", func(w http.ResponseWriter, _ *http.Request) {
				begun <- struct{}{}
				<-free
				_, _ = io.WriteString(w, "whole")
			})
			n := f.nodes[owner]
			n.backends.get("b1").admitter.controller.SetSlots(1)
			running, waiting := make(chan result, 1), make(chan result, 1)
			go func() { running <- f.send(0, "POST", "/running", strings.NewReader("x")) }()
			<-begun
			go func() { waiting <- f.send(0, "POST", "/waiting", strings.NewReader("x")) }()
			waitFor(t, func() bool { l, _ := n.backends.Load("b1"); return l.Queued == 1 })
			change(n)
			time.Sleep(200 * time.Millisecond)
			close(free)
			if got := <-running; got.body != "whole" || got.err != nil {
				t.Errorf("%s, owner %d: the running request: %+v", name, owner, got)
			}
			if got := <-waiting; got.err != nil || got.outcome != header.NotRun && got.body != "whole" {
				t.Errorf("%s, owner %d: the waiting request: %+v", name, owner, got)
			}
		}
	}
}
