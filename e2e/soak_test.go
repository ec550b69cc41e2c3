package e2e

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/standin/backend"
	platformstandin "wigeonspring.example/wigeonspring/standin/platform"
	"wigeonspring.example/wigeonspring/standin/relay"
	"wigeonspring.example/wigeonspring/standin/schedule"
)

// soakRegressions maps each seed that ever failed to the cause of its failure.
var soakRegressions = map[uint64]string{
	1: "the callers' HTTP client resent a GET automatically, and the refusal of the second request was taken as the result of the first one",
}

// defaultSoakSeed is a seed that runs if WIGEONSPRING_SOAK is not set.
const defaultSoakSeed = 1

const (
	soakNodes   = 6
	soakServers = 12
	// soakFaultDuration is the time in which faults begin. The last one ends at most
	// 5 s later.
	soakFaultDuration = 14 * time.Second
	// soakRecoveryLimit is the time after the last fault within which the fleet must
	// serve again. The users' requirements set it.
	soakRecoveryLimit = 15 * time.Second
	// soakBasePort and maxParallelSoaks keep the ports of fleets that run at the same
	// time below the ephemeral range.
	soakBasePort     = 27000
	maxParallelSoaks = 25
)

// soakSeeds returns the seeds to run. WIGEONSPRING_SOAK sets them as SEED or FIRST-LAST.
// Without it they are the default seeds and those that ever failed.
func soakSeeds(t *testing.T, defaults []uint64) []uint64 {
	text := os.Getenv("WIGEONSPRING_SOAK")
	if text == "" {
		seeds := slices.Clone(defaults)
		for seed := range soakRegressions {
			seeds = append(seeds, seed)
		}
		return slices.Compact(slices.Sorted(slices.Values(seeds)))
	}
	first, last, ranged := strings.Cut(text, "-")
	low, err := strconv.ParseUint(first, 10, 64)
	high := low
	if err == nil && ranged {
		high, err = strconv.ParseUint(last, 10, 64)
	}
	if err != nil || high < low {
		t.Fatalf("WIGEONSPRING_SOAK is %q, want SEED or FIRST-LAST", text)
	}
	var seeds []uint64
	for seed := low; seed <= high; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// Guards against violations under overlapping faults: a non-idempotent request that runs
// twice, a request that is falsely reported as not run, a response that is incomplete or
// belongs to another request, a policy that reverts to a lower epoch, and a fleet that
// does not recover.
func TestSoak(t *testing.T) { runSoaks(t, runSoak, defaultSoakSeed) }

// runSoaks runs a soak with each seed.
func runSoaks(t *testing.T, run func(t *testing.T, seed uint64, basePort int), defaultSeeds ...uint64) {
	slots := make(chan int, maxParallelSoaks)
	for i := range maxParallelSoaks {
		slots <- i
	}
	for _, seed := range soakSeeds(t, defaultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slot := <-slots
			defer func() { slots <- slot }()
			// The cleanup of the subtest stops the fleet before its ports are used again.
			t.Run("fleet", func(t *testing.T) { run(t, seed, soakBasePort+200*slot) })
		})
	}
}

func runSoak(t *testing.T, seed uint64, basePort int) {
	t.Logf("repeat with WIGEONSPRING_SOAK=%d", seed)
	f := newFleet(t, basePort, soakNodes)
	f.segmented, f.cut = 30, 30
	for i := 1; i <= soakNodes; i++ {
		f.addRelay(i)
	}
	f.addPlatformRelay()
	f.start("booking", bookingPolicy, 5, bookingFloor)
	s := newSoak(f, seed)
	stop := s.checkEpochsNeverFall()
	l := f.startLoad("booking", bookingHost, 120, soakFaultDuration+7*time.Second, 1, 2, 3, 4, 5, 6)
	s.run(s.faults())
	rep := f.report(l, "booking")
	if rep.Outcomes[header.Answered] == 0 {
		t.Error("no request was answered")
	}
	s.awaitRecovery()
	after := f.startLoad("booking", bookingHost, 60, 3*time.Second, 1, 2, 3, 4, 5, 6)
	if rep := f.report(after, "booking"); rep.Outcomes[header.Answered] < rep.Sent/4 {
		t.Errorf("after the faults %d of %d requests were answered, want at least a quarter", rep.Outcomes[header.Answered], rep.Sent)
	}
	f.checkUnasked("booking-")
	stop()
}

// awaitRecovery waits until all nodes are ready with the same epoch.
func (s *soak) awaitRecovery() {
	s.t.Helper()
	s.awaitReady()
	s.awaitSameEpoch("booking")
}

func (s *soak) awaitReady() {
	s.t.Helper()
	for i := 1; i <= s.nodes; i++ {
		s.eventually(soakRecoveryLimit, nodeName(i)+" is ready after the faults", func() bool { return httpOK(s.operatorURL(i) + "/ready") })
	}
}

func (s *soak) awaitSameEpoch(service string) {
	s.t.Helper()
	s.eventually(soakRecoveryLimit, "the same epoch is in force on all nodes", func() bool {
		epoch := s.epochInForce(1, service)
		return epoch > 0 && s.epochInForceEverywhere(service, epoch)
	})
}

// soak is the state of the run of one seed.
type soak struct {
	*fleet
	seed uint64
	rng  *rand.Rand
	// stopped holds the nodes that a fault has ended or paused. No other fault ends or
	// pauses them.
	stopped map[int]bool
	// restarts counts the restarts of each node.
	restarts [soakNodes + 1]atomic.Uint64
	// left holds the backend servers that leave or have left.
	left   map[int]bool
	runner schedule.Runner
	// policyChanges are those of the planned work that run.
	policyChanges sync.WaitGroup
}

func newSoak(f *fleet, seed uint64) *soak {
	return &soak{fleet: f, seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), stopped: map[int]bool{}, left: map[int]bool{}, runner: schedule.Runner{Log: f.t.Logf}}
}

// faults selects the faults of a seed, which overlap, and the end of each.
func (s *soak) faults() []schedule.Step {
	var steps []schedule.Step
	for at := time.Second; at < soakFaultDuration; at += time.Duration(300+s.rng.IntN(1200)) * time.Millisecond {
		steps = append(steps, s.randomFault(at, time.Duration(200+s.rng.IntN(4800))*time.Millisecond)...)
	}
	return slices.Concat(steps, s.randomPlatformLinkFaults(), s.extraByteFaults(), schedule.UploadFaults(s.seed, soakServers, soakFaultDuration, s),
		schedule.PlannedWork(s.seed, soakNodes, soakFaultDuration/2, s), schedule.Departures(s.seed, soakServers, soakFaultDuration/2, s, &s.runner))
}

// run runs the steps and what follows from them.
func (s *soak) run(steps []schedule.Step) {
	s.t.Helper()
	if err := s.runner.Run(steps, soakFaultDuration+soakRecoveryLimit, s.checkNodesRun); err != nil {
		s.t.Fatal(err)
	}
	s.policyChanges.Wait()
}

// randomPlatformLinkFaults selects faults of the link to the platform. They use a random
// number generator of their own, so that they do not change the other faults of a seed.
func (s *soak) randomPlatformLinkFaults() (steps []schedule.Step) {
	rng := rand.New(rand.NewPCG(s.seed, 1))
	link := s.platformRelay
	set := func(l relay.Link) func() { return func() { link.SetLink(l) } }
	for range 4 {
		at := time.Second + time.Duration(rng.Int64N(int64(soakFaultDuration-time.Second)))
		end := at + time.Duration(200+rng.IntN(4800))*time.Millisecond
		switch rng.IntN(4) {
		case 0:
			steps = append(steps, schedule.At(at, "link to the platform: connections reset", link.ResetConnections))
		case 1:
			steps = append(steps, schedule.At(at, "link to the platform: cut", set(relay.Link{CutIn: true, CutOut: true})), schedule.At(end, "", set(relay.Link{})))
		case 2:
			steps = append(steps, schedule.At(at, "link to the platform: cut from it", set(relay.Link{CutOut: true})), schedule.At(end, "", set(relay.Link{})))
		default:
			steps = append(steps, schedule.At(at, "link to the platform: connections stalled", link.StallConnections))
		}
	}
	return steps
}

// extraByteFaults lets some backend servers send extra bytes after their responses. They use a
// random number generator of their own, so that they do not change the other faults of a seed.
func (s *soak) extraByteFaults() (steps []schedule.Step) {
	rng := rand.New(rand.NewPCG(s.seed, 2))
	for range 3 {
		server := 1 + rng.IntN(soakServers)
		at := time.Second + time.Duration(rng.Int64N(int64(soakFaultDuration-time.Second)))
		end := at + time.Duration(500+rng.IntN(4500))*time.Millisecond
		steps = append(steps,
			schedule.At(at, backendName(server)+": extra bytes", func() { s.SetFaults(server, backend.Faults{ExtraPercent: 20, LoadReport: -1}) }),
			schedule.At(end, "", func() { s.SetFaults(server, backend.Faults{LoadReport: -1}) }))
	}
	return steps
}

// randomFault selects a fault and returns the steps that begin it at the time at and end
// it after the given duration.
func (s *soak) randomFault(at, duration time.Duration) []schedule.Step {
	node, server := 1+s.rng.IntN(soakNodes), 1+s.rng.IntN(soakServers)
	beginAndEnd := func(name string, begin, end func()) []schedule.Step {
		return []schedule.Step{schedule.At(at, name, begin), schedule.At(at+duration, "", end)}
	}
	linkFault := func(what string, l relay.Link) []schedule.Step {
		return beginAndEnd(fmt.Sprintf("link to n%d: %s", node, what), func() { s.relays[node].SetLink(l) }, func() { s.relays[node].SetLink(relay.Link{}) })
	}
	platformFault := func(what string, faults platformstandin.Faults) []schedule.Step {
		set := func(faults platformstandin.Faults) func() {
			return func() { s.post(s.platformURL()+"/admin/faults", faults) }
		}
		return beginAndEnd("platform: "+what, set(faults), set(platformstandin.Faults{}))
	}
	serverFault := func(what string, faults backend.Faults) []schedule.Step {
		faults.LoadReport = -1
		return beginAndEnd(fmt.Sprintf("%s: %s", backendName(server), what), func() { s.SetFaults(server, faults) },
			func() { s.SetFaults(server, backend.Faults{LoadReport: -1}) })
	}
	switch s.rng.IntN(14) {
	case 0:
		return s.restartFault(node, at, duration, syscall.SIGKILL)
	case 1:
		return s.restartFault(node, at, duration, syscall.SIGTERM)
	case 2:
		return s.pauseFault(node, at, duration)
	case 3:
		return linkFault("cut towards it", relay.Link{CutIn: true})
	case 4:
		return linkFault("cut from it", relay.Link{CutOut: true})
	case 5:
		return linkFault("delayed", relay.Link{DelayMicros: int64(1000 * (1 + s.rng.IntN(150)))})
	case 6:
		return []schedule.Step{schedule.At(at, fmt.Sprintf("link to n%d: connections reset", node), s.relays[node].ResetConnections)}
	case 7:
		return []schedule.Step{schedule.At(at, fmt.Sprintf("link to n%d: connections stalled", node), s.relays[node].StallConnections)}
	case 8:
		return platformFault("down", platformstandin.Faults{Outage: true})
	case 9:
		return platformFault("slow", platformstandin.Faults{DelayMillis: int64(50 + s.rng.IntN(1500))})
	case 10:
		return platformFault("loses responses", platformstandin.Faults{LoseAnswers: 1 + s.rng.IntN(5), StaleReads: uint64(s.rng.IntN(4))})
	case 11:
		return serverFault("hangs", backend.Faults{Gray: true})
	case 12:
		return serverFault("truncates, resets and fails", backend.Faults{TruncatePercent: 30, ResetPercent: 30, FailPercent: 20})
	default:
		return []schedule.Step{schedule.At(at, "policy changes", s.changePolicy)}
	}
}

// restartFault ends a node with a signal and starts it again. It has no effect on a node
// that another fault has ended or paused.
func (s *soak) restartFault(node int, at, duration time.Duration, signal syscall.Signal) []schedule.Step {
	applied := false
	return []schedule.Step{
		schedule.At(at, fmt.Sprintf("n%d: %s", node, signal), func() {
			if applied = !s.stopped[node]; !applied {
				return
			}
			s.stopped[node] = true
			s.processes[nodeName(node)].signal(signal)
		}),
		schedule.At(at+duration, "", func() {
			if !applied {
				return
			}
			p := s.processes[nodeName(node)]
			p.signal(syscall.SIGKILL) // A graceful stop may take longer than the fault.
			p.awaitKilled(s.t)
			s.restarts[node].Add(1)
			s.startNode(node)
			s.stopped[node] = false
		}),
	}
}

// pauseFault pauses the process of a node. It has no effect on a node that another fault
// has ended or paused.
func (s *soak) pauseFault(node int, at, duration time.Duration) []schedule.Step {
	applied := false
	return []schedule.Step{
		schedule.At(at, fmt.Sprintf("n%d: paused", node), func() {
			if applied = !s.stopped[node]; applied {
				s.stopped[node] = true
				s.processes[nodeName(node)].signal(syscall.SIGSTOP)
			}
		}),
		schedule.At(at+duration, "", func() {
			if applied {
				s.processes[nodeName(node)].signal(syscall.SIGCONT)
				s.stopped[node] = false
			}
		}),
	}
}

// changePolicy applies another policy. Errors are ignored, because the platform may
// reject the change, or accept it and lose the response.
func (s *soak) changePolicy() {
	file := writePolicy(s.t, "soak.toml", fmt.Sprintf("%dms", 2000+s.rng.IntN(500)))
	_, _ = s.wigeonctl(1+s.rng.IntN(soakNodes), "policy", "apply", file)
}

// checkEpochsNeverFall checks until the returned function is called that the epoch that a
// node has in force never falls while its process runs.
func (s *soak) checkEpochsNeverFall() (stop func()) {
	done := make(chan struct{})
	var checkers sync.WaitGroup
	for i := 1; i <= soakNodes; i++ {
		checkers.Add(1)
		go func() {
			defer checkers.Done()
			var highest, lastRestarts uint64
			for {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				restarts, epoch := s.restarts[i].Load(), s.epochInForce(i, "booking")
				switch {
				case epoch == 0 || s.restarts[i].Load() != restarts:
				case lastRestarts != restarts:
					highest, lastRestarts = epoch, restarts
				case epoch < highest:
					s.t.Errorf("n%d reverted from epoch %d to %d", i, highest, epoch)
				default:
					highest = epoch
				}
			}
		}()
	}
	return func() {
		close(done)
		checkers.Wait()
	}
}
