package main

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/coordination/membership/simnet"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	cutTime   = 5 * time.Minute
	healLimit = 2 * time.Minute
)

// regionCut cuts one region off, reports how many views over the cut are dead at
// its end, and measures how long the views take to converge
// after the contact is back, and how many members were wrongly declared dead
// within their own side.
func (f *fleet) regionCut(r *report) {
	sameSide := func(a, b *simnet.Node) bool { return (a.Index%regions == 0) == (b.Index%regions == 0) }
	f.net.Blocked = func(from, to *simnet.Node) bool { return !sameSide(from, to) }
	f.net.Run(cutTime)
	dead, cut := 0, 0
	for _, a := range f.net.Nodes {
		for _, b := range f.net.Nodes {
			if a.Down || b.Down || sameSide(a, b) {
				continue
			}
			cut++
			if got, _ := a.Core.Lookup(b.ID); got.Status == registry.Dead {
				dead++
			}
		}
	}
	r.add("region_cut_views_dead_after_5_min", 100*float64(dead)/float64(cut), "percent")
	f.net.Blocked = func(*simnet.Node, *simnet.Node) bool { return false }
	falseDeaths := 0
	f.onEvent = func(n *simnet.Node, e membership.Event) {
		if e.Kind == membership.EventDead && !f.node(e.Node).Down && sameSide(n, f.node(e.Node)) {
			falseDeaths++
		}
	}
	before := f.traffic()
	half, most, all := -1.0, -1.0, -1.0
	begin := f.net.Elapsed()
	for f.net.Elapsed()-begin < healLimit && all < 0 {
		f.net.Run(time.Second)
		right, total := f.aliveViews()
		now := float64((f.net.Elapsed() - begin).Milliseconds())
		for _, q := range []struct {
			share float64
			at    *float64
		}{{0.5, &half}, {0.99, &most}, {1, &all}} {
			if *q.at < 0 && float64(right) >= q.share*float64(total) {
				*q.at = now
			}
		}
	}
	after := f.traffic()
	f.onEvent = nil
	seconds := (after.at - before.at).Seconds()
	r.add("region_heal_views_50_percent", half, "ms")
	r.add("region_heal_views_99_percent", most, "ms")
	r.add("region_heal_views_all", all, "ms")
	r.atMost("region_heal_bytes_sent", float64(after.sent-before.sent)/float64(f.up())/seconds, "bytes/s", targetBytes)
	r.atMost("region_heal_false_deaths", float64(falseDeaths), "verdicts", 0)
	f.net.Run(measurementWait)
}

// aliveViews counts the pairs of running nodes in which one holds the other
// alive at its present incarnation, and all such pairs.
func (f *fleet) aliveViews() (right, total int) {
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
				right++
			}
		}
	}
	return right, total
}
