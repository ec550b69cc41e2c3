package e2e

import (
	"cmp"
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
)

// soakRegressions are the seeds that ever failed, each with its cause.
var soakRegressions = map[uint64]string{
	1: "the callers' HTTP client sent a GET again by itself, and the refusal of the second was taken for one of the first",
}

// soakDefault is the seed of a run without WIGEONSPRING_SOAK.
const soakDefault = 1

const (
	soakNodes = 6
	// soakFaultTime is the time in which faults begin; the last one ends 5 s later.
	soakFaultTime = 14 * time.Second
	// soakRecovery is the time after the last fault within which the fleet serves
	// again, from the users' rules.
	soakRecovery = 15 * time.Second
	// soakPorts and soakSlots lay the ports of fleets that run at the same time below
	// the ephemeral range.
	soakPorts = 27000
	soakSlots = 25
)

// soakSeeds returns the seeds to run: FIRST-LAST of WIGEONSPRING_SOAK, or the
// default one and those that ever failed.
func soakSeeds(t *testing.T) []uint64 {
	text := os.Getenv("WIGEONSPRING_SOAK")
	if text == "" {
		seeds := []uint64{soakDefault}
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

// Guards against promises that are broken when faults overlap: a request that runs
// twice, a false "not run", an answer that is not whole or another caller's, a policy
// that falls back, and a fleet that does not recover.
func TestSoak(t *testing.T) {
	slots := make(chan int, soakSlots)
	for i := range soakSlots {
		slots <- i
	}
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slot := <-slots
			defer func() { slots <- slot }()
			// The fleet is stopped by its clean-up, which runs before the slot returns.
			t.Run("fleet", func(t *testing.T) { runSoak(t, seed, soakPorts+200*slot) })
		})
	}
}

func runSoak(t *testing.T, seed uint64, basePort int) {
	t.Logf("repeat with WIGEONSPRING_SOAK=%d", seed)
	f := newFleet(t, basePort, soakNodes)
	for i := 1; i <= soakNodes; i++ {
		f.addRelay(i)
	}
	f.addPlatformLink()
	f.start("booking", bookingPolicy, 5, bookingFloor)
	s := &soak{fleet: f, seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), down: map[int]bool{}}
	stop := s.watchEpochs()
	l := f.startLoad("booking", bookingHost, 120, soakFaultTime+7*time.Second, 1, 2, 3, 4, 5, 6)
	s.injectFaults()
	rep := f.report(l, "booking")
	if rep.Outcomes[header.Answered] == 0 {
		t.Error("no request was answered")
	}
	for i := 1; i <= soakNodes; i++ {
		f.eventually(soakRecovery, nodeName(i)+" is ready after the faults", func() bool { return httpOK(f.operatorURL(i) + "/ready") })
	}
	f.eventually(soakRecovery, "one epoch in force everywhere", func() bool {
		epoch := f.epochOn(1, "booking")
		return epoch > 0 && f.epochEverywhere("booking", epoch)
	})
	after := f.startLoad("booking", bookingHost, 60, 3*time.Second, 1, 2, 3, 4, 5, 6)
	if rep := f.report(after, "booking"); rep.Outcomes[header.Answered] < rep.Sent/4 {
		t.Errorf("after the faults %d of %d requests were answered", rep.Outcomes[header.Answered], rep.Sent)
	}
	stop()
}

// soak is the state of one run.
type soak struct {
	*fleet
	seed uint64
	rng  *rand.Rand
	// down holds the nodes that a fault has stopped or paused.
	down map[int]bool
	// starts counts the processes of each node.
	starts [soakNodes + 1]atomic.Uint64
}

// step is one action of a fault.
type step struct {
	at time.Duration
	// name is empty for the end of a fault.
	name string
	run  func()
}

// injectFaults runs faults that overlap and ends all of them.
func (s *soak) injectFaults() {
	var steps []step
	for at := time.Second; at < soakFaultTime; at += time.Duration(300+s.rng.IntN(1200)) * time.Millisecond {
		steps = append(steps, s.fault(at, time.Duration(200+s.rng.IntN(4800))*time.Millisecond)...)
	}
	steps = append(steps, s.platformLinkFaults()...)
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	start := time.Now()
	for _, step := range steps {
		time.Sleep(time.Until(start.Add(step.at)))
		if step.name != "" {
			s.t.Logf("%.1f s: %s", time.Since(start).Seconds(), step.name)
		}
		step.run()
	}
}

// platformLinkFaults draws faults of the link to the platform. They have a source of
// their own, so that a seed draws the same other faults as before.
func (s *soak) platformLinkFaults() (steps []step) {
	rng := rand.New(rand.NewPCG(s.seed, 1))
	link := s.platformLink
	set := func(l relay.Link) func() { return func() { link.SetLink(l) } }
	for range 4 {
		at := time.Second + time.Duration(rng.Int64N(int64(soakFaultTime-time.Second)))
		end := at + time.Duration(200+rng.IntN(4800))*time.Millisecond
		switch rng.IntN(4) {
		case 0:
			steps = append(steps, step{at, "link to the platform: connections reset", link.ResetConnections})
		case 1:
			steps = append(steps, step{at, "link to the platform: cut", set(relay.Link{CutIn: true, CutOut: true})}, step{end, "", set(relay.Link{})})
		case 2:
			steps = append(steps, step{at, "link to the platform: cut from it", set(relay.Link{CutOut: true})}, step{end, "", set(relay.Link{})})
		default:
			steps = append(steps, step{at, "link to the platform: connections silent", link.StallConnections})
		}
	}
	return steps
}

// fault draws a fault that begins at the given time, and its end.
func (s *soak) fault(at, lasts time.Duration) []step {
	node, server := 1+s.rng.IntN(soakNodes), 1+s.rng.IntN(12)
	pair := func(name string, begin, end func()) []step {
		return []step{{at, name, begin}, {at + lasts, "", end}}
	}
	link := func(what string, l relay.Link) []step {
		return pair(fmt.Sprintf("link to n%d: %s", node, what), func() { s.relays[node].SetLink(l) }, func() { s.relays[node].SetLink(relay.Link{}) })
	}
	platform := func(what string, faults platformstandin.Faults) []step {
		set := func(faults platformstandin.Faults) func() {
			return func() { s.post(s.platformURL()+"/admin/faults", faults) }
		}
		return pair("platform: "+what, set(faults), set(platformstandin.Faults{}))
	}
	sick := func(what string, faults backend.Faults) []step {
		faults.LoadReport = -1
		return pair(fmt.Sprintf("%s: %s", backendName(server), what), func() { s.setFaults(server, faults) },
			func() { s.setFaults(server, backend.Faults{LoadReport: -1}) })
	}
	switch s.rng.IntN(14) {
	case 0:
		return s.restart(node, at, lasts, syscall.SIGKILL)
	case 1:
		return s.restart(node, at, lasts, syscall.SIGTERM)
	case 2:
		return s.pause(node, at, lasts)
	case 3:
		return link("cut towards it", relay.Link{CutIn: true})
	case 4:
		return link("cut from it", relay.Link{CutOut: true})
	case 5:
		return link("delayed", relay.Link{DelayMicros: int64(1000 * (1 + s.rng.IntN(150)))})
	case 6:
		return []step{{at, fmt.Sprintf("link to n%d: connections reset", node), s.relays[node].ResetConnections}}
	case 7:
		return []step{{at, fmt.Sprintf("link to n%d: connections silent", node), s.relays[node].StallConnections}}
	case 8:
		return platform("down", platformstandin.Faults{Outage: true})
	case 9:
		return platform("slow", platformstandin.Faults{DelayMillis: int64(50 + s.rng.IntN(1500))})
	case 10:
		return platform("loses answers", platformstandin.Faults{LoseAnswers: 1 + s.rng.IntN(5), StaleReads: uint64(s.rng.IntN(4))})
	case 11:
		return sick("hangs", backend.Faults{Gray: true})
	case 12:
		return sick("cuts and resets", backend.Faults{TruncatePercent: 30, ResetPercent: 30, FailPercent: 20})
	default:
		return []step{{at, "policy changes", s.changePolicy}}
	}
}

// restart ends a node with a signal and starts it again.
func (s *soak) restart(node int, at, lasts time.Duration, signal syscall.Signal) []step {
	hit := false
	return []step{
		{at, fmt.Sprintf("n%d: %s", node, signal), func() {
			if hit = !s.down[node]; !hit {
				return
			}
			s.down[node] = true
			s.procs[nodeName(node)].signal(signal)
		}},
		{at + lasts, "", func() {
			if !hit {
				return
			}
			p := s.procs[nodeName(node)]
			p.signal(syscall.SIGKILL) // A graceful stop may take longer.
			<-p.exited
			s.starts[node].Add(1)
			s.startNode(node)
			s.down[node] = false
		}},
	}
}

// pause stops a node without ending it.
func (s *soak) pause(node int, at, lasts time.Duration) []step {
	hit := false
	return []step{
		{at, fmt.Sprintf("n%d: paused", node), func() {
			if hit = !s.down[node]; hit {
				s.down[node] = true
				s.procs[nodeName(node)].signal(syscall.SIGSTOP)
			}
		}},
		{at + lasts, "", func() {
			if hit {
				s.procs[nodeName(node)].signal(syscall.SIGCONT)
				s.down[node] = false
			}
		}},
	}
}

// changePolicy applies another policy. The platform may refuse it, or take it without
// an answer.
func (s *soak) changePolicy() {
	file := writePolicy(s.t, "soak.toml", fmt.Sprintf("%dms", 2000+s.rng.IntN(500)))
	_, _ = s.ctl(1+s.rng.IntN(soakNodes), "policy", "apply", file)
}

// watchEpochs checks that the policy of a process never falls back. The returned
// function ends the watch.
func (s *soak) watchEpochs() (stop func()) {
	done := make(chan struct{})
	var ended sync.WaitGroup
	for i := 1; i <= soakNodes; i++ {
		ended.Add(1)
		go func() {
			defer ended.Done()
			var highest, process uint64
			for {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				before, epoch := s.starts[i].Load(), s.epochOn(i, "booking")
				switch {
				case epoch == 0 || s.starts[i].Load() != before:
				case process != before:
					highest, process = epoch, before
				case epoch < highest:
					s.t.Errorf("n%d fell back from epoch %d to %d", i, highest, epoch)
				default:
					highest = epoch
				}
			}
		}()
	}
	return func() {
		close(done)
		ended.Wait()
	}
}
