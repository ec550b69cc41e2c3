package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Guards against a request that is sent once more after a part of its body has been read: the
// backend server would take the rest, or an empty body, for the whole.
func TestPartOfBodyIsNeverSentAsWhole(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	for name, parts := range map[string][2]string{
		"first part missing": {"first ", "rest"}, "everything missing": {"first ", ""}, "empty body": {"", ""}, "above the limit": {long, "rest"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.ExpectContinue, in.FreeRefusals = true, 8 })
			f.nodes[1].backends.opt.SuspicionTrials = true
			got := make(chan string, 2)
			f.serve(1, "b1", func(_ http.ResponseWriter, r *http.Request) {
				if b, err := io.ReadAll(r.Body); err == nil {
					got <- string(b)
				}
			})
			tracker := f.nodes[1].backends.get("b1").tracker
			body, w := io.Pipe()
			done := make(chan result, 1)
			go func() { done <- f.send(0, http.MethodPost, "/", body) }()
			waitFor(t, func() bool { l, _ := f.nodes[1].backends.Load("b1"); return l.InUse == 1 })
			time.Sleep(50 * time.Millisecond) // The owner has asked for the body.
			long := time.Now().Add(-10 * time.Second)
			tracker.Observe(long, long, evidence.Reset) // A trial is due.
			for _, p := range parts {
				_, _ = io.WriteString(w, p)
				time.Sleep(50 * time.Millisecond)
			}
			_ = w.Close()
			res := <-done
			close(got)
			ran, whole := <-got, parts[0]+parts[1]
			if res.outcome == header.Answered && ran != whole || res.outcome == header.NotRun && ran != "" || len(got) > 0 {
				t.Errorf("%s, %s: the backend server ran %d bytes of %d", res.outcome, res.reason, len(ran), len(whole))
			}
		})
	}
}

// Guards against an attempt that reads the rest of a body from which another attempt has read.
func TestOneAttemptReadsStreamedBody(t *testing.T) {
	r, _ := http.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("first "), strings.NewReader("rest")))
	r.ContentLength = -1
	b, err := newCallerBody(r, 0, newByteBudget(0))
	if err != nil {
		t.Fatal(err)
	}
	first, second := b.open(), b.open()
	if _, err := first.Read(make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	_ = first.Close()
	if n, err := second.Read(make([]byte, 3)); n != 0 || err != errBodyConsumed {
		t.Fatalf("read %d bytes, %v", n, err)
	}
}
