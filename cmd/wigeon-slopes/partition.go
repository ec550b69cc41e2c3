package main

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/coordination/membership/simnet"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	partitionTime = 5 * time.Minute
	healTimeout   = 2 * time.Minute
)

// measureRegionPartition separates one region from the others. A view is the status of one
// node in the directory of another. The function reports how many views across the
// partition are dead at its end, and how long the views take to converge after the
// partition has healed. It also reports how many nodes were wrongly declared dead by nodes
// on their own side.
func (f *fleet) measureRegionPartition(r *report) {
	sameSide := func(a, b *simnet.Node) bool { return (a.Index%regions == 0) == (b.Index%regions == 0) }
	f.net.Blocked = func(from, to *simnet.Node) bool { return !sameSide(from, to) }
	f.net.Run(partitionTime)
	dead, views := 0, 0
	for _, a := range f.net.Nodes {
		for _, b := range f.net.Nodes {
			if a.Down || b.Down || sameSide(a, b) {
				continue
			}
			views++
			if got, _ := a.Core.Lookup(b.ID); got.Status == registry.Dead {
				dead++
			}
		}
	}
	r.add("region_cut_views_dead_after_5_min", 100*float64(dead)/float64(views), "percent")
	f.net.Blocked = func(*simnet.Node, *simnet.Node) bool { return false }
	falseDeaths := 0
	f.onEvent = func(n *simnet.Node, e membership.Event) {
		if e.Kind == membership.EventDead && !f.node(e.Node).Down && sameSide(n, f.node(e.Node)) {
			falseDeaths++
		}
	}
	before := f.readCounters()
	p50, p99, p100 := -1.0, -1.0, -1.0
	start := f.net.Elapsed()
	for f.net.Elapsed()-start < healTimeout && p100 < 0 {
		f.net.Run(time.Second)
		correct, total := f.aliveViews()
		now := float64((f.net.Elapsed() - start).Milliseconds())
		for _, q := range []struct {
			share   float64
			elapsed *float64
		}{{0.5, &p50}, {0.99, &p99}, {1, &p100}} {
			if *q.elapsed < 0 && float64(correct) >= q.share*float64(total) {
				*q.elapsed = now
			}
		}
	}
	after := f.readCounters()
	f.onEvent = nil
	seconds := (after.elapsed - before.elapsed).Seconds()
	r.add("region_heal_views_50_percent", p50, "ms")
	r.add("region_heal_views_99_percent", p99, "ms")
	r.add("region_heal_views_all", p100, "ms")
	r.addWithTarget("region_heal_bytes_sent", float64(after.sent-before.sent)/float64(f.runningNodes())/seconds, "bytes/s", targetBytesPerSecond)
	r.addWithTarget("region_heal_false_deaths", float64(falseDeaths), "verdicts", 0)
	f.net.Run(measurementTime)
}

// aliveViews returns in how many views one running node lists another as alive in its
// current incarnation, and the number of all views between running nodes.
func (f *fleet) aliveViews() (correct, total int) {
	for _, b := range f.net.Nodes {
		if b.Down {
			continue
		}
		want := b.Core.Self()
		for _, a := range f.net.Nodes {
			if a == b || a.Down {
				continue
			}
			total++
			if got, ok := a.Core.Lookup(b.ID); ok && got.Status == registry.Alive && got.Incarnation == want.Incarnation {
				correct++
			}
		}
	}
	return correct, total
}
