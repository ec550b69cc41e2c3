package schedule

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"wigeonspring.example/wigeonspring/standin/backend"
)

// Fleet is the fleet on which the steps act. Nodes and backend servers count from 1.
type Fleet interface {
	SignalNode(node int, signal syscall.Signal)
	// StopToEnd stops a node gracefully, starts it again when it has ended, and sends it a
	// SIGHUP some time later. It has no effect on a node that is stopped or paused.
	StopToEnd(node int, hangupAfter time.Duration)
	// ChangePolicy applies a policy with another timeout through a node.
	ChangePolicy(node int, timeout time.Duration)
	// SetFaults sets the faults of a backend server that runs.
	SetFaults(server int, faults backend.Faults)
	// CaptureAnnouncement returns a function that delivers the last announcement of a
	// backend server once more.
	CaptureAnnouncement(server int) (deliver func())
	// Leave stops a backend server gracefully and calls then when it has ended.
	Leave(server int, then func())
	Join(server int)
}

// The sources of random numbers of a seed. Each selection has its own, so that it does not
// change the others.
const (
	plannedWorkSource = 3
	departureSource   = 4
	uploadSource      = 5
)

// firstStep is the earliest time of a step.
const firstStep = time.Second

func randomTime(rng *rand.Rand, until time.Duration) time.Duration {
	return firstStep + randomMillis(rng, until-firstStep)
}

func randomMillis(rng *rand.Rand, below time.Duration) time.Duration {
	return time.Duration(rng.Int64N(below.Milliseconds())) * time.Millisecond
}

const (
	hangups, policyChanges, rollingStops = 8, 6, 3
	// maxStopped is the number of nodes that stop at once.
	maxStopped = 3
	// StartupTime is the time after the start of a process from which it handles SIGHUP. Before
	// that the runtime and the packages of the process start, and a SIGHUP ends it.
	StartupTime = 100 * time.Millisecond
)

// PlannedWork selects SIGHUPs, graceful stops of several nodes at once with SIGHUPs while they
// drain and start, and policy changes. They begin before the given time and overlap.
func PlannedWork(seed uint64, nodes int, until time.Duration, f Fleet) (steps []Step) {
	rng := rand.New(rand.NewPCG(seed, plannedWorkSource))
	hangup := func(node int, at time.Duration) {
		steps = append(steps, Step{at, fmt.Sprintf("n%d: SIGHUP", node), func() { f.SignalNode(node, syscall.SIGHUP) }})
	}
	for range hangups {
		hangup(1+rng.IntN(nodes), randomTime(rng, until))
	}
	for range policyChanges {
		node, timeout := 1+rng.IntN(nodes), 2*time.Second+randomMillis(rng, 500*time.Millisecond)
		steps = append(steps, Step{randomTime(rng, until), fmt.Sprintf("policy changes through n%d", node), func() { f.ChangePolicy(node, timeout) }})
	}
	for range rollingStops {
		begin := randomTime(rng, until)
		for _, n := range rng.Perm(nodes)[:1+rng.IntN(maxStopped)] {
			node, at := n+1, begin+randomMillis(rng, 300*time.Millisecond)
			hangupAfter := StartupTime + randomMillis(rng, 500*time.Millisecond)
			steps = append(steps, Step{at, fmt.Sprintf("n%d: stops to its end", node), func() { f.StopToEnd(node, hangupAfter) }})
			for range rng.IntN(3) {
				hangup(node, at+randomMillis(rng, 2*time.Second))
			}
		}
	}
	return steps
}

const (
	leavingServers    = 3
	lateAnnouncements = 3
	maxAnnounceDelay  = 6 * time.Second
	// captureLead is the time between the capture of an announcement and the departure.
	captureLead = 500 * time.Millisecond
)

// Departures selects backend servers that leave. Their last announcement before that arrives
// once more, late and several times. All but one of the backend servers start again.
func Departures(seed uint64, servers int, until time.Duration, f Fleet, r *Runner) (steps []Step) {
	rng := rand.New(rand.NewPCG(seed, departureSource))
	for i, k := range rng.Perm(servers)[:leavingServers] {
		server, name, at := k+1, fmt.Sprintf("backend server %d: ", k+1), randomTime(rng, until)
		var delays []time.Duration
		for range lateAnnouncements {
			delays = append(delays, randomMillis(rng, maxAnnounceDelay))
		}
		joinAfter := randomMillis(rng, maxAnnounceDelay)
		var deliver func()
		hasLeft := func() {
			r.Log("%shas left", name)
			for _, d := range delays {
				r.After(d, name+"late announcement", deliver)
			}
			if i > 0 {
				r.After(joinAfter, name+"starts again", func() { f.Join(server) })
			}
		}
		steps = append(steps,
			Step{at - captureLead, "", func() { deliver = f.CaptureAnnouncement(server) }},
			Step{at, name + "leaves", func() { f.Leave(server, hasLeft) }})
	}
	return steps
}

const earlyServers, bodyResets, invalidResponses = 4, 3, 2

// UploadFaults lets some backend servers respond before they have read the body, some reset
// connections while a body arrives, and some cut early responses and send invalid statuses.
func UploadFaults(seed uint64, servers int, until time.Duration, f Fleet) (steps []Step) {
	rng := rand.New(rand.NewPCG(seed, uploadSource))
	add := func(server int, name string, faults backend.Faults, at, end time.Duration) {
		faults.LoadReport = -1
		steps = append(steps,
			Step{at, fmt.Sprintf("backend server %d: %s", server, name), func() { f.SetFaults(server, faults) }},
			Step{end, "", func() { f.SetFaults(server, backend.Faults{LoadReport: -1}) }})
	}
	order := rng.Perm(servers)
	for _, k := range order[:earlyServers] {
		add(k+1, "responds before it has read the body", backend.Faults{EarlyPercent: 60}, firstStep, until)
	}
	for _, k := range order[earlyServers:][:bodyResets] {
		at := randomTime(rng, until)
		add(k+1, "resets bodies", backend.Faults{BodyResetPercent: 30}, at, at+time.Second+randomMillis(rng, 3*time.Second))
	}
	for _, k := range order[earlyServers+bodyResets:][:invalidResponses] {
		at := randomTime(rng, until)
		add(k+1, "cuts early responses and sends invalid statuses", backend.Faults{EarlyCutPercent: 30, InvalidStatusPercent: 20},
			at, at+time.Second+randomMillis(rng, 3*time.Second))
	}
	return steps
}
