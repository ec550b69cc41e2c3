package schedule

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"wigeonspring.example/wigeonspring/standin/backend"
)

// VMs is the fleet on which Outages acts. VMs count from 1; each runs a node and a backend
// server.
type VMs interface {
	// StepClocks sets how far the time of day of VMs is ahead. Steady clocks are not affected.
	StepClocks(vms []int, ahead time.Duration)
	// FreezeNodes stops the processes of nodes without ending them.
	FreezeNodes(vms []int)
	// KillNodes kills nodes and starts each again after the delay of the same index.
	KillNodes(vms []int, restartAfter []time.Duration)
	// CutPower ends the node and the backend server of VMs. Their connections stay open at the
	// other end. After the outage and the delay of the same index, the node starts again, with
	// another backend server at the address of the former one.
	CutPower(vms []int, outage time.Duration, startAfter []time.Duration)
	// ReplaceServer ends the backend server of a VM without notice. Another one starts at its
	// address, while the node runs on. It has no effect on a VM whose node does not run.
	ReplaceServer(vm int, by Replacement)
	SignalVM(vm int, signal syscall.Signal)
	SetBackendFaults(vm int, faults backend.Faults)
	ChangePolicyThrough(vm int)
}

// Replacement is what starts at the address of a backend server that has ended.
type Replacement int

// Replacements of a backend server: one of the same service, the same under its identifier,
// which knows nothing of before, or one of another service.
const (
	NewIdentity Replacement = iota
	SameIdentity
	OtherService
	replacementKinds
)

func (r Replacement) String() string {
	return [...]string{"a new one", "itself", "one of another service"}[r]
}

// RandomReplacement returns one of the replacements.
func RandomReplacement(rng *rand.Rand) Replacement {
	return Replacement(rng.IntN(int(replacementKinds)))
}

// The times of a round of Outages, from its beginning.
const (
	// OutageRound is the time between the beginnings of two rounds.
	OutageRound  = 9500 * time.Millisecond
	clockAhead   = 2 * time.Second
	clockRight   = 2 * time.Second
	nodesKilled  = 500 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	powerLost    = 2250 * time.Millisecond
	powerOutage  = 500 * time.Millisecond
	freezeBefore = 300 * time.Millisecond
	maxStartTime = 300 * time.Millisecond
	grayInterval = 1500 * time.Millisecond
)

// Shares of the VMs, in percent.
const (
	steppedShare, endedShare, grayShare = 30, 60, 30
)

// The sources of random numbers of a seed for outages.
const (
	outageSource      = 6
	replacementSource = 7
)

// Outages selects rounds of overlapping faults: the clocks of some VMs are ahead, most nodes
// are killed, and soon after their restart most VMs lose power. Beside it, backend servers
// fail gray, and signals and policy changes reach the nodes.
func Outages(seed uint64, vms, rounds int, f VMs) (steps []Step) {
	rng := rand.New(rand.NewPCG(seed, outageSource))
	choose := func(share int) []int {
		list := rng.Perm(vms)[:(vms*share+99)/100]
		for i := range list {
			list[i]++
		}
		return list
	}
	delays := func(n int, least time.Duration) []time.Duration {
		list := make([]time.Duration, n)
		for i := range list {
			list[i] = least + randomMillis(rng, maxStartTime)
		}
		return list
	}
	add := func(at time.Duration, name string, run func()) { steps = append(steps, Step{at, name, run}) }
	for round := range rounds {
		begin := firstStep + time.Duration(round)*OutageRound
		stepped, killed, dark := choose(steppedShare), choose(endedShare), choose(endedShare)
		restarts, starts := delays(len(killed), restartDelay), delays(len(dark), 0)
		add(begin, fmt.Sprintf("clocks of %v are ahead", stepped), func() { f.StepClocks(stepped, clockAhead) })
		add(begin+clockRight, "clocks are right", func() { f.StepClocks(stepped, 0) })
		if rng.IntN(2) == 0 {
			add(begin+nodesKilled-freezeBefore, "nodes freeze before they are killed", func() { f.FreezeNodes(killed) })
		}
		add(begin+nodesKilled, fmt.Sprintf("nodes %v are killed", killed), func() { f.KillNodes(killed, restarts) })
		add(begin+powerLost, fmt.Sprintf("VMs %v lose power", dark), func() { f.CutPower(dark, powerOutage, starts) })
		for range 2 {
			vm := 1 + rng.IntN(vms)
			add(begin+randomMillis(rng, OutageRound), fmt.Sprintf("n%d: SIGHUP", vm), func() { f.SignalVM(vm, syscall.SIGHUP) })
		}
		vm := 1 + rng.IntN(vms)
		add(begin+randomMillis(rng, OutageRound), fmt.Sprintf("policies change through n%d", vm), func() { f.ChangePolicyThrough(vm) })
	}
	return append(steps, grayFailures(rng, vms, firstStep+time.Duration(rounds)*OutageRound, choose, f)...)
}

// replacementsPerRound is the number of backend servers that are replaced in a round of outages.
const replacementsPerRound = 4

// Replacements selects backend servers that end in rounds of outages, and what replaces them.
func Replacements(seed uint64, vms, rounds int, f VMs) (steps []Step) {
	rng := rand.New(rand.NewPCG(seed, replacementSource))
	for range rounds * replacementsPerRound {
		vm, at := 1+rng.IntN(vms), firstStep+randomMillis(rng, time.Duration(rounds)*OutageRound)
		by := RandomReplacement(rng)
		steps = append(steps, Step{at, fmt.Sprintf("backend server of VM %d is replaced by %v", vm, by), func() { f.ReplaceServer(vm, by) }})
	}
	return steps
}

// grayFailures lets changing backend servers reset most of their connections after the work,
// and some respond before they have read the body, cut such responses or send invalid statuses.
func grayFailures(rng *rand.Rand, vms int, until time.Duration, choose func(share int) []int, f VMs) (steps []Step) {
	for at := time.Duration(0); at < until; at += grayInterval {
		gray := map[int]bool{}
		for _, vm := range choose(grayShare) {
			gray[vm] = true
		}
		early := 1 + rng.IntN(vms)
		steps = append(steps, Step{at, "", func() {
			for vm := 1; vm <= vms; vm++ {
				faults := backend.Faults{LoadReport: -1}
				if gray[vm] {
					faults.ResetPercent = 75
				}
				if vm == early {
					faults.EarlyPercent, faults.EarlyCutPercent, faults.InvalidStatusPercent = 30, 10, 10
				}
				f.SetBackendFaults(vm, faults)
			}
		}})
	}
	return append(steps, Step{until, "", func() {
		for vm := 1; vm <= vms; vm++ {
			f.SetBackendFaults(vm, backend.Faults{LoadReport: -1})
		}
	}})
}
