package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/floor"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/standin/backend"
	"wigeonspring.example/wigeonspring/standin/caller"
	platformstandin "wigeonspring.example/wigeonspring/standin/platform"
	"wigeonspring.example/wigeonspring/standin/relay"
)

const (
	bookingHost   = "booking.riemwerk.example"
	bookingPolicy = "../examples/policies/riemwerk-booking.toml"
	bookingFloor  = 9
)

// Guards against a booking that runs twice, a request that is falsely reported as not
// run, and a wrong response, when processes fail during requests.
func TestFaultsDuringBookingsAndUploads(t *testing.T) {
	cases := []struct {
		name string
		// ingress lists the nodes to which callers send. Each fault is in the failure
		// domain of one of them, because a node prefers its own failure domain.
		ingress []int
		// fault starts a fault after two seconds of load. It may return a function that
		// ends the fault and is called four seconds later.
		fault func(f *fleet) func()
	}{
		{"backend server killed", []int{1, 3, 5}, func(f *fleet) func() {
			f.processes["booking-3"].signal(syscall.SIGKILL)
			return nil
		}},
		{"owner node killed and restarted", []int{1, 3, 5}, func(f *fleet) func() {
			f.processes["n4"].signal(syscall.SIGKILL)
			f.processes["n4"].awaitKilled(f.t)
			return func() { f.startNode(4) }
		}},
		{"owner node paused beyond its leases", []int{1, 3, 5}, func(f *fleet) func() {
			f.processes["n4"].signal(syscall.SIGSTOP)
			return func() { f.processes["n4"].signal(syscall.SIGCONT) }
		}},
		{"backend server paused beyond the timeouts", []int{1, 3, 5}, func(f *fleet) func() {
			f.processes["booking-5"].signal(syscall.SIGSTOP)
			return func() { f.processes["booking-5"].signal(syscall.SIGCONT) }
		}},
		{"link to a node cut in one direction", []int{1, 4, 5}, func(f *fleet) func() {
			f.relays[3].SetLink(relay.Link{CutIn: true})
			return func() { f.relays[3].SetLink(relay.Link{}) }
		}},
		{"link from a node cut in one direction", []int{1, 4, 5}, func(f *fleet) func() {
			f.relays[3].SetLink(relay.Link{CutOut: true})
			return func() { f.relays[3].SetLink(relay.Link{}) }
		}},
		{"responses truncated and connections reset", []int{1, 3, 5}, func(f *fleet) func() {
			f.setFaults(2, backend.Faults{TruncatePercent: 30, ResetPercent: 30, LoadReport: -1})
			return func() { f.setFaults(2, backend.Faults{LoadReport: -1}) }
		}},
		{"platform down while an owner is killed", []int{1, 3, 5}, func(f *fleet) func() {
			f.post(f.platformURL()+"/admin/faults", platformstandin.Faults{Outage: true})
			f.processes["n6"].signal(syscall.SIGKILL)
			return func() { f.post(f.platformURL()+"/admin/faults", platformstandin.Faults{}) }
		}},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 22000+200*i, 6)
			f.addRelay(3)
			f.start("booking", bookingPolicy, 5, bookingFloor)
			l := f.startLoad("booking", bookingHost, 150, 9*time.Second, c.ingress...)
			time.Sleep(2 * time.Second)
			endFault := c.fault(f)
			time.Sleep(4 * time.Second)
			if endFault != nil {
				endFault()
			}
			rep := f.report(l, "booking")
			if answered := rep.Outcomes[header.Answered]; answered < rep.Sent*8/10 {
				t.Errorf("answered %d of %d requests, want at least 80%% with a single fault", answered, rep.Sent)
			}
		})
	}
}

// Guards against a graceful stop of a backend server or of an owner node that cuts off
// requests.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	f := newFleet(t, 24000, 6)
	f.start("booking", bookingPolicy, 5, bookingFloor)
	l := f.startLoad("booking", bookingHost, 150, 8*time.Second, 1, 3, 5)
	time.Sleep(2 * time.Second)
	f.processes["booking-3"].signal(syscall.SIGTERM)
	f.processes["n4"].signal(syscall.SIGTERM)
	f.processes["booking-3"].waitExit(t, 15*time.Second)
	f.processes["n4"].waitExit(t, 15*time.Second)
	rep := f.report(l, "booking")
	for outcome, n := range rep.Outcomes {
		if outcome != header.Answered && outcome != header.NotRun {
			t.Errorf("%d requests ended as %q during a planned stop", n, outcome)
		}
	}
}

// Guards against callers of a node that stops whose requests are accepted late in its grace
// time, or run longer than it, and end with a closed connection.
func TestEveryCallerOfStoppingNodeIsAnswered(t *testing.T) {
	f := newFleet(t, 24200, 4)
	f.drain = "notice = \"1500ms\"\nkill_after = \"5s\""
	f.start("booking", bookingPolicy, 5, bookingFloor)
	for k := 1; k <= 12; k++ {
		// Bookings take 0.4 s. Uploads, which have 30 s, outlast the grace time.
		f.setFaults(k, backend.Faults{SlowFactor: 80, Gray: true, GrayPath: "/photos", LoadReport: -1})
	}
	time.Sleep(2 * time.Second) // The backend servers start cold.
	l := f.startLoad("booking", bookingHost, 40, 6*time.Second, 1)
	time.Sleep(time.Second)
	stopped := time.Now()
	f.processes["n1"].signal(syscall.SIGTERM)
	f.processes["n1"].waitExit(t, 5*time.Second)
	exited := time.Now()
	f.report(l, "booking")
	results, runs := f.resultsAndRuns(l, "booking")
	ran := map[string]bool{}
	for _, r := range runs {
		ran[r.Operation] = true
	}
	answeredLate, interrupted := 0, 0
	for _, r := range results {
		sent := r.Time.Add(-r.Latency)
		switch {
		case r.Outcome == header.Answered:
			if sent.After(stopped) {
				answeredLate++
			}
		case r.Outcome == header.NotRun || sent.After(exited):
		case r.Status == http.StatusGatewayTimeout && r.Latency > 1900*time.Millisecond:
			// The timeout of the route, 2 s, passed.
		case r.Kind == caller.Upload && r.Outcome == header.Unknown && r.Status == http.StatusBadGateway:
			interrupted++
		case r.Outcome == "transport-error" && !ran[r.Operation] && sent.After(stopped.Add(1500*time.Millisecond)):
			// It crossed the end of its connection and was not read.
		default:
			t.Errorf("sent %s after SIGTERM: %+v", sent.Sub(stopped), r)
		}
	}
	t.Logf("%d requests after SIGTERM answered, %d uploads interrupted", answeredLate, interrupted)
	if answeredLate == 0 {
		t.Error("no request after SIGTERM was answered")
	}
}

// Guards against a node that is paused during its planned stop beyond the end of its drain and
// that goes on draining after it wakes up, and against requests that run twice because of it.
func TestNodePausedBeyondItsDrainEndsAtOnce(t *testing.T) {
	f := newFleet(t, 24800, 4)
	f.drain = "notice = \"1s\"\nkill_after = \"4s\""
	f.start("booking", bookingPolicy, 5, bookingFloor)
	l := f.startLoad("booking", bookingHost, 100, 9*time.Second, 1, 3)
	time.Sleep(time.Second)
	n4 := f.processes["n4"]
	n4.signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	n4.signal(syscall.SIGSTOP)
	time.Sleep(6 * time.Second)
	n4.signal(syscall.SIGCONT)
	n4.waitExit(t, 2*time.Second)
	rep := f.report(l, "booking")
	if answered := rep.Outcomes[header.Answered]; answered < rep.Sent*95/100 {
		t.Errorf("outcomes %v", rep.Outcomes)
	}
}

// reservedPermits returns the number of permits that are reserved in the ledger of a
// service, or 0 if the ledger cannot be read.
func (f *fleet) reservedPermits(service string) int {
	client := platform.NewHTTP(platform.Options{URL: f.platformURL()})
	defer client.Close()
	object, err := client.Get(f.ctx, "ledger/"+service)
	if err != nil {
		return 0
	}
	ledger, err := floor.Parse(object.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	reserved := 0
	for _, e := range ledger.Entries {
		if e.State == floor.Reserved {
			reserved++
		}
	}
	return reserved
}

// Guards against a fleet that ejects none of its backend servers with a gray failure, and
// against ejections that take the capacity below the floor. Runs with the platform up and
// with the platform down.
func TestGrayBackendEjectionKeepsFloor(t *testing.T) {
	for i, outage := range []bool{false, true} {
		name := "platform up"
		if outage {
			name = "platform down"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 24400+200*i, 6)
			f.start("booking", bookingPolicy, 5, bookingFloor)
			f.eventually(20*time.Second, "owners have reserved permits", func() bool { return f.reservedPermits("booking") > 0 })
			// The permit holder must also receive the response to its write. If the outage
			// began before that, the holder would have a permit that it cannot confirm.
			time.Sleep(time.Second)
			if outage {
				f.post(f.platformURL()+"/admin/faults", platformstandin.Faults{Outage: true})
			}
			l := f.startLoad("booking", bookingHost, 150, 20*time.Second, 1, 2, 3, 4, 5, 6)
			samples := f.sampleCapacity(1, "booking", l.done)
			time.Sleep(2 * time.Second)
			faultStarts := map[string]int64{}
			// Five of the twelve backend servers get a gray failure, but the floor of nine
			// allows the ejection of only three.
			for _, k := range []int{1, 4, 5, 8, 12} {
				f.setFaults(k, backend.Faults{Gray: true, LoadReport: -1})
				faultStarts[backendName(k)] = time.Now().UnixMilli()
			}
			rep := f.report(l, "booking")
			capacity := samples()
			rep.AddCapacity(capacity, f.floors)
			lowest := rep.LowestCapacity["booking"]
			t.Logf("lowest capacity %d, floor %d, %d samples", lowest, bookingFloor, len(capacity))
			if rep.BelowFloor > 0 {
				t.Errorf("capacity fell to %d, floor %d", lowest, bookingFloor)
			}
			if lowest == 12 {
				t.Error("no gray backend server was ejected")
			}
		})
	}
}
