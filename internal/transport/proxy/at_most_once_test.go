package proxy

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// recorder is a backend server that counts how often each operation ran.
type recorder struct {
	mu  sync.Mutex
	ran map[string]int
}

func (rec *recorder) runs(op string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.ran[op]
}

// Faults of an operation. Those up to faultCloses are faults of the backend server; the
// others affect a node while the operation is in flight.
const (
	faultNone = iota
	faultReset
	faultTruncated
	faultLate
	faultSheds
	faultCloses // the backend server closes the connection after the response
	faultDropPeer
	faultLease
	faultDrain
	faults
)

func (rec *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	op := r.Header.Get("X-Op")
	rec.mu.Lock()
	rec.ran[op]++
	rec.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(op), op)
	fault, _ := strconv.Atoi(r.Header.Get("X-Fault"))
	switch fault {
	case faultReset:
		hijack("")(w, r)
	case faultTruncated:
		hijack(response[:len(response)-1])(w, r)
	case faultCloses:
		hijack(response)(w, r)
	case faultLate:
		time.Sleep(150 * time.Millisecond)
	case faultSheds:
		w.WriteHeader(http.StatusServiceUnavailable)
	case faultDropPeer, faultLease, faultDrain:
		time.Sleep(5 * time.Millisecond)
	}
	if fault != faultReset && fault != faultTruncated && fault != faultCloses {
		_, _ = io.WriteString(w, op)
	}
}

// runOperations runs operations concurrently, some of them with a fault, and returns the
// violations of the guarantees to callers. ruleDisabled disables the rule that a sent
// request is not retried unless it is idempotent.
func runOperations(t *testing.T, codes []int, ruleDisabled bool) (violations []string) {
	f := newFleet(t, 2)
	for _, n := range f.nodes {
		n.ingress.disabled.sentIsFinal = ruleDisabled
	}
	rec := &recorder{ran: make(map[string]int)}
	f.serve(0, "b1", rec.ServeHTTP)
	f.serve(1, "b2", rec.ServeHTTP)
	f.serve(1, "b3", rec.ServeHTTP)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, code := range codes {
		wg.Go(func() {
			fault, method := code%faults, []string{"POST", "GET"}[code/faults%2]
			op := fmt.Sprintf("op%d", i)
			go f.injectFault(fault, i)
			res := f.send(i%2, method, "/", strings.NewReader(strings.Repeat("x", i%3*code*100)), func(r *http.Request) {
				r.Header.Set("X-Op", op)
				r.Header.Set("X-Fault", strconv.Itoa(fault))
				r.Header.Set("Idempotency-Key", op)
				r.Header.Set(header.DeadlineMillis, "100")
			})
			runs := rec.runs(op)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case method == "POST" && runs > 1:
				violations = append(violations, fmt.Sprintf("%s ran %d times", op, runs))
			case res.err == nil && res.outcome == header.NotRun && runs > 0:
				violations = append(violations, fmt.Sprintf("%s was reported as not run (%s) and ran", op, res.reason))
			case res.err == nil && res.outcome == header.Answered && res.status == 200 && res.body != op:
				violations = append(violations, fmt.Sprintf("%s got the response %q", op, res.body))
			case res.err == nil && res.outcome == "":
				violations = append(violations, fmt.Sprintf("%s got a response without outcome", op))
			}
		})
	}
	wg.Wait()
	return append(violations, takeViolations()...)
}

// injectFault applies a fault to the nodes.
func (f *testFleet) injectFault(fault, i int) {
	n := f.nodes[1]
	time.Sleep(time.Duration(i%5) * time.Millisecond)
	switch fault {
	case faultDropPeer:
		f.nodes[0].peers.Drop(n.addr)
	case faultLease:
		if owned := n.leases.Owned(); len(owned) > 0 {
			released := owned[0].Announcement
			released.Released = true
			n.leases.Announce(time.Now(), released)
			time.Sleep(2 * time.Millisecond)
			n.leases.Announce(time.Now(), owned[0].Announcement)
		}
	case faultDrain:
		for _, o := range n.leases.Owned() {
			a := o.Announcement
			a.Draining = true
			n.backends.Upsert(a, policy.Limits{})
			n.backends.SetState("b3", registry.Probation, 0.5)
			a.Draining = false
			n.backends.Upsert(a, policy.Limits{})
			n.backends.SetState("b3", registry.Active, 1)
		}
	}
}

// Guards against a request that runs twice although it is not idempotent, against one
// that is reported as not run although it ran, and against a response that is truncated
// or belongs to another request.
func TestAtMostOnceUnderFaults(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(proptest.Seed(t))
	params.MinSuccessfulTests = 25
	params.MaxShrinkCount = 20
	properties := gopter.NewProperties(params)
	codes := gen.SliceOfN(40, gen.IntRange(0, 2*faults-1))
	properties.Property("guarantees to callers hold", prop.ForAll(func(codes []int) string {
		return strings.Join(runOperations(t, codes, false), "; ")
	}, codes))
	properties.TestingRun(t)

	// Without the rule, resets violate the guarantees. The number of operations equals
	// the number of retries that the budgets of the two nodes allow together.
	resets := make([]int, 6)
	for i := range resets {
		resets[i] = faultReset
	}
	broken := runOperations(t, resets, true)
	if !slices.Contains(broken, "at_most_once") || !slices.ContainsFunc(broken, func(s string) bool { return strings.HasSuffix(s, "times") }) {
		t.Errorf("with the rule off, only this was found: %v", broken)
	}
}
