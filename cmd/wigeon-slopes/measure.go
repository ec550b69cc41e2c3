package main

import (
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/coordination/membership/simnet"
	"wigeonspring.example/wigeonspring/internal/protocol/clusterpb"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

type syncResponse = clusterpb.SyncDirectoryResponse

// Churn of the design page on an ordinary day, for 2,100 nodes.
const (
	designNodes     = 2100
	restartsPerDay  = 2900
	failuresPerDay  = 56
	downTime        = 10 * time.Second
	announceDelay   = 2 * time.Second
	leaseLapse      = 3 * time.Second
	measurementWait = 40 * time.Second
)

// traffic is a snapshot of the counters of all nodes.
type traffic struct {
	at                   time.Duration
	sent, received, fill int64
	datagrams            int64
	cpu                  time.Duration
	perNode              []int64
}

func (f *fleet) traffic() traffic {
	t := traffic{at: f.net.Elapsed()}
	for _, n := range f.net.Nodes {
		t.sent += n.BytesSent
		t.received += n.BytesReceived
		t.fill += n.FillBytes
		t.datagrams += n.Datagrams
		t.cpu += n.CPU
		t.perNode = append(t.perNode, n.BytesSent)
	}
	return t
}

// steady measures traffic and CPU at the churn of the design page. Each event
// takes a node down, moves its backend servers to a neighbour after their leases
// have lapsed, starts the node again and moves them back.
func (f *fleet) steady(r *report, d time.Duration) {
	n := len(f.net.Nodes)
	perSecond := float64(restartsPerDay+failuresPerDay) / 86400 * float64(n) / designNodes
	events := int(perSecond*d.Seconds() + 0.5)
	for range events {
		f.net.After(time.Duration(f.rand.Int64N(int64(d))), f.restart)
	}
	falseDeaths := 0
	f.onEvent = func(_ *simnet.Node, e membership.Event) {
		if e.Kind == membership.EventDead && !f.node(e.Node).Down {
			falseDeaths++
		}
	}
	before := f.traffic()
	f.net.Run(d)
	f.onEvent = nil
	after := f.traffic()
	perNodeSecond := float64(n) * d.Seconds()
	r.add("steady_churn_events", float64(events), "events")
	r.atMost("steady_bytes_sent", float64(after.sent-before.sent)/perNodeSecond, "bytes/s", targetBytes)
	r.atMost("steady_bytes_received", float64(after.received-before.received)/perNodeSecond, "bytes/s", targetBytes)
	busiest := int64(0)
	for i := range after.perNode {
		busiest = max(busiest, after.perNode[i]-before.perNode[i])
	}
	r.atMost("steady_bytes_sent_busiest_node", float64(busiest)/d.Seconds(), "bytes/s", targetBytes)
	r.add("steady_fill_bytes", float64(after.fill-before.fill)/perNodeSecond, "bytes/s")
	r.add("steady_datagrams_sent", float64(after.datagrams-before.datagrams)/perNodeSecond, "1/s")
	r.atMost("steady_cpu", float64((after.cpu-before.cpu).Nanoseconds())/perNodeSecond, "ns/s", targetCPU)
	r.atMost("steady_false_deaths", float64(falseDeaths), "verdicts", 0)
	f.net.Run(measurementWait)
}

func (f *fleet) node(id registry.NodeID) *simnet.Node {
	i, found := slices.BinarySearchFunc(f.net.Nodes, id, func(n *simnet.Node, id registry.NodeID) int {
		switch {
		case n.ID < id:
			return -1
		case n.ID > id:
			return 1
		}
		return 0
	})
	if !found {
		panic("unknown node " + id)
	}
	return f.net.Nodes[i]
}

// update publishes a record with count backend servers starting at first.
func (f *fleet) update(n *simnet.Node, first, count int) {
	f.net.Do(n, func(c *membership.Core) { c.UpdateSelf(f.net.Now(), record(n.Index, first, count)) })
}

// restart plays one churn event; the seeds stay up.
func (f *fleet) restart() {
	b := f.opts.Backends
	n := f.net.Nodes[3+f.rand.IntN(len(f.net.Nodes)-3)]
	neighbour := f.net.Nodes[(n.Index+failureDomains)%len(f.net.Nodes)]
	if n.Down || neighbour.Down {
		return
	}
	if f.rand.IntN(restartsPerDay+failuresPerDay) >= failuresPerDay {
		f.net.Do(n, func(c *membership.Core) { c.Leave(f.net.Now()) })
	}
	f.net.After(time.Second, func() { f.net.Kill(n) })
	first := min(n.Index, neighbour.Index) * b
	f.net.After(leaseLapse, func() { f.update(neighbour, first, 2*b) })
	f.net.After(downTime, func() { f.net.Restart(n, f.membership(record(n.Index, n.Index*b, 0))) })
	f.net.After(downTime+announceDelay, func() {
		f.update(n, n.Index*b, b)
		f.update(neighbour, neighbour.Index*b, b)
	})
}

// spread collects when nodes learn of something.
type spread struct {
	start time.Duration
	times []time.Duration
	known map[int]bool
}

func (s *spread) learn(n *simnet.Node, now time.Duration) {
	if !s.known[n.Index] {
		s.known[n.Index] = true
		s.times = append(s.times, now-s.start)
	}
}

// quantile returns the time in ms until the share q of all nodes knew, or -1.
func (s *spread) quantile(q float64, all int) float64 {
	i := int(q*float64(all)+0.999999) - 1
	if i >= len(s.times) {
		return -1
	}
	slices.Sort(s.times)
	return float64(s.times[max(0, i)].Microseconds()) / 1000
}

func (f *fleet) newSpread() *spread {
	return &spread{start: f.net.Elapsed(), known: make(map[int]bool)}
}

// addSpread reports the quantiles over all runs: the mean of 50% and 99%, and
// the worst run for all nodes. An incomplete run counts as -1.
func addSpread(r *report, name string, runs []*spread, all int) {
	var half, most, last float64
	for _, s := range runs {
		half += s.quantile(0.5, all) / float64(len(runs))
		most += s.quantile(0.99, all) / float64(len(runs))
		switch q := s.quantile(1, all); {
		case q < 0:
			last = -1
		case last >= 0:
			last = max(last, q)
		}
	}
	r.add(name+"_50_percent", half, "ms")
	r.add(name+"_99_percent", most, "ms")
	r.add(name+"_all_worst", last, "ms")
}

// changes measures how fast a changed record is known.
func (f *fleet) changes(r *report, repeat int) {
	var runs []*spread
	n := len(f.net.Nodes)
	for i := range repeat {
		s := f.newSpread()
		source := f.net.Nodes[f.rand.IntN(n)]
		f.onChange = func(node *simnet.Node, ch membership.Change) {
			if node != source && ch.Node.ID == source.ID && len(ch.Node.Backends) == f.opts.Backends+1+i {
				s.learn(node, f.net.Elapsed())
			}
		}
		f.update(source, source.Index*f.opts.Backends, f.opts.Backends+1+i)
		f.net.Run(measurementWait)
		runs = append(runs, s)
	}
	f.onChange = nil
	addSpread(r, "change_known", runs, n-1)
}

// kills measures how fast a killed member is dead everywhere.
func (f *fleet) kills(r *report, repeat int) {
	var runs []*spread
	for range repeat {
		s := f.newSpread()
		victim := f.net.Nodes[3+f.rand.IntN(len(f.net.Nodes)-3)]
		if victim.Down {
			continue
		}
		f.net.Kill(victim)
		f.onEvent = func(node *simnet.Node, e membership.Event) {
			if e.Kind == membership.EventDead && e.Node == victim.ID {
				s.learn(node, f.net.Elapsed())
			}
		}
		f.net.Run(measurementWait)
		runs = append(runs, s)
	}
	f.onEvent = nil
	addSpread(r, "killed_member_dead", runs, f.up())
}

func (f *fleet) up() int {
	up := 0
	for _, n := range f.net.Nodes {
		if !n.Down {
			up++
		}
	}
	return up
}

// domainLoss kills all nodes of one failure domain at once.
func (f *fleet) domainLoss(r *report) {
	s := f.newSpread()
	victims := 0
	for _, n := range f.net.Nodes {
		if n.Index%failureDomains == failureDomains-1 && !n.Down {
			f.net.Kill(n)
			victims++
		}
	}
	up := f.up()
	left := make(map[int]int, up)
	pairs := f.newSpread()
	falseDeaths := 0
	f.onEvent = func(node *simnet.Node, e membership.Event) {
		if e.Kind != membership.EventDead {
			return
		}
		if !f.node(e.Node).Down {
			falseDeaths++
			return
		}
		pairs.times = append(pairs.times, f.net.Elapsed()-pairs.start)
		if left[node.Index]++; left[node.Index] == victims {
			s.learn(node, f.net.Elapsed())
		}
	}
	before := f.traffic()
	f.net.Run(60 * time.Second)
	after := f.traffic()
	f.onEvent = nil
	r.add("domain_loss_nodes", float64(victims), "nodes")
	// A view is what one node holds of one lost node.
	r.add("domain_loss_views_50_percent", pairs.quantile(0.5, up*victims), "ms")
	r.add("domain_loss_views_99_percent", pairs.quantile(0.99, up*victims), "ms")
	addSpread(r, "domain_loss_all_dead", []*spread{s}, up)
	r.atMost("domain_loss_bytes_sent", float64(after.sent-before.sent)/float64(up)/60, "bytes/s", targetBytes)
	r.atMost("domain_loss_false_deaths", float64(falseDeaths), "verdicts", 0)
}
