package admission

import (
	"slices"
	"testing"
	"time"
)

// Guards against requests that wait behind the requests of a backend server that hangs although
// they may not start there any more.
func TestQueuedRequestsLeaveSuspectServer(t *testing.T) {
	c := newWarm(1, 4)
	c.Offer(t0, Request{Ticket: 1, Caller: "a"})
	for ticket := uint64(2); ticket <= 4; ticket++ {
		c.Offer(t0, Request{Ticket: ticket, Caller: "a", Deadline: at(8 * time.Second), AvoidSuspect: ticket != 3})
	}
	c.RefuseSuspect(at(time.Second))
	decisions := c.TakeDecisions(at(time.Second))
	slices.SortFunc(decisions, func(a, b Decision) int { return int(a.Ticket) - int(b.Ticket) })
	want := []Decision{{Ticket: 2, Reason: BackendSuspect}, {Ticket: 4, Reason: BackendSuspect}}
	if !slices.Equal(decisions, want) {
		t.Errorf("decisions %+v, want %+v", decisions, want)
	}
	c.Release(at(2*time.Second), 1, time.Second)
	if d := c.TakeDecisions(at(2 * time.Second)); !slices.Equal(d, []Decision{{Ticket: 3, Admitted: true}}) {
		t.Errorf("decisions %+v, want ticket 3 admitted", d)
	}
}
