package e2e

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/standin/backend"
	"wigeonspring.example/wigeonspring/standin/caller"
	"wigeonspring.example/wigeonspring/standin/schedule"
	"wigeonspring.example/wigeonspring/standin/verify"
)

// plannedDuration is the time in which planned work begins if it is alone.
const plannedDuration = 8 * time.Second

// Guards against requests that a node has read and that are not answered although all work
// was planned: graceful stops, SIGHUPs, policy changes, and backend servers that leave and
// are replaced. No backend server gets work after its departure, also if an announcement
// arrives late.
func TestSoakPlannedWork(t *testing.T) { runSoaks(t, runPlannedWork, defaultSoakSeed) }

func runPlannedWork(t *testing.T, seed uint64, basePort int) {
	f := newFleet(t, basePort, soakNodes)
	f.drain = "notice = \"1500ms\"\nkill_after = \"6s\""
	f.segmented, f.cut = 100, 5
	f.start("booking", bookingPolicy, 5, bookingFloor)
	s := newSoak(f, seed)
	stop := s.checkEpochsNeverFall()
	for k := 1; k <= soakServers; k++ {
		f.setFaults(k, backend.Faults{SlowFactor: float64(1 + 4*k), LoadReport: -1}) // 25 to 245 ms
	}
	l := f.startLoad("booking", bookingHost, 80, plannedDuration+7*time.Second, 1, 2, 3, 4, 5, 6)
	s.run(append(schedule.PlannedWork(seed, soakNodes, plannedDuration, s), schedule.Departures(seed, soakServers, plannedDuration, s, &s.runner)...))
	rep := f.report(l, "booking")
	s.awaitRecovery()
	stop()
	f.checkUnasked("booking-")
	results, runs := f.resultsAndRuns(l, "booking")
	// The policy changes set timeouts up to 2.5 s.
	rep.AddUnanswered(runs, results, map[string]time.Duration{caller.Read: 2500 * time.Millisecond, caller.Booking: 2500 * time.Millisecond})
	for _, p := range f.allProcesses() {
		rep.AddDeparted(runs, verify.ReadPlacements(strings.NewReader(p.stdout.String())), drainLimit)
	}
	t.Logf("read but not answered %d, placed at departed backend servers %d", rep.Unanswered, rep.Departed)
	if rep.Unanswered+rep.Departed > 0 {
		f.logViolations(rep, results)
	}
}

// SignalNode implements schedule.Fleet. A process that has just started gets the signal at the
// end of its startup time.
func (s *soak) SignalNode(node int, signal syscall.Signal) {
	p := s.processes[nodeName(node)]
	s.runner.After(schedule.StartupTime-time.Since(p.started), "", func() { p.signal(signal) })
}

// StopToEnd implements schedule.Fleet.
func (s *soak) StopToEnd(node int, hangupAfter time.Duration) {
	if s.stopped[node] {
		return
	}
	s.stopped[node] = true
	p := s.processes[nodeName(node)]
	p.signal(syscall.SIGTERM)
	s.runner.WhenEnded(p.exited, func() {
		s.t.Logf("%s has ended and starts again", p.name)
		// A SIGTERM before the process handles signals ends it at once.
		if serving := strings.Contains(p.stdout.String(), `"node started"`); serving && !p.cmd.ProcessState.Success() {
			s.t.Errorf("the planned stop of %s failed: %s", p.name, p.cmd.ProcessState)
		}
		s.restarts[node].Add(1)
		next := s.startNode(node)
		s.stopped[node] = false
		s.runner.After(hangupAfter, p.name+": SIGHUP while it starts", func() { next.signal(syscall.SIGHUP) })
	})
}

// checkNodesRun fails the test if a node has ended that no fault has ended.
func (s *soak) checkNodesRun() {
	for i := 1; i <= s.nodes; i++ {
		p := s.processes[nodeName(i)]
		select {
		case <-p.exited:
			if !s.stopped[i] {
				s.stopped[i] = true
				s.t.Errorf("%s ended by itself: %s", p.name, p.cmd.ProcessState)
			}
		default:
		}
	}
}

// ChangePolicy implements schedule.Fleet. It does not wait for the change.
func (s *soak) ChangePolicy(node int, timeout time.Duration) {
	file := writePolicy(s.t, "soak.toml", timeout.String())
	s.policyChanges.Go(func() { _, _ = s.wigeonctl(node, "policy", "apply", file) })
}

// SetFaults implements schedule.Fleet.
func (s *soak) SetFaults(server int, faults backend.Faults) {
	if !s.left[server] {
		s.setFaults(server, faults)
	}
}

// Leave implements schedule.Fleet.
func (s *soak) Leave(server int, then func()) {
	s.left[server] = true
	p := s.processes[backendName(server)]
	p.signal(syscall.SIGTERM)
	s.runner.WhenEnded(p.exited, then)
}

// Join implements schedule.Fleet.
func (s *soak) Join(server int) {
	s.startBackend("booking", server, 5, (server-1)%soakNodes+1)
	s.eventually(5*time.Second, backendName(server)+" responds", func() bool { return httpOK("http://" + s.backendAddr(server) + "/load") })
	s.left[server] = false
}

// CaptureAnnouncement implements schedule.Fleet. The announcement goes to the node that it was
// sent to; one that is down does not get it.
func (s *soak) CaptureAnnouncement(server int) (deliver func()) {
	resp, err := localClient.Get("http://" + s.backendAddr(server) + "/admin/announcement")
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	var req controlpb.AnnounceRequest
	if data, err := io.ReadAll(resp.Body); err != nil || proto.Unmarshal(data, &req) != nil || req.BackendId == "" {
		s.t.Fatalf("%s: cannot read its announcement: %v", backendName(server), err)
	}
	client := controlpb.NewControlProtobufClient("http://"+resp.Header.Get(backend.NodeHeader), &http.Client{Timeout: time.Second})
	return func() { go func() { _, _ = client.Announce(s.ctx, &req) }() }
}
