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

// Churn of 2,100 nodes on an ordinary day, from the design document.
const (
	designNodes     = 2100
	restartsPerDay  = 2900
	failuresPerDay  = 56
	restartDowntime = 10 * time.Second
	announceDelay   = 2 * time.Second
	leaseExpiry     = 3 * time.Second
	measurementTime = 40 * time.Second
)

// counters is a snapshot of the counters of the network. The counters sent, received and
// fill are in bytes.
type counters struct {
	elapsed              time.Duration
	sent, received, fill int64
	datagrams            int64
	cpu                  time.Duration
	bytesSentPerNode     []int64
}

func (f *fleet) readCounters() counters {
	t := counters{elapsed: f.net.Elapsed()}
	for _, n := range f.net.Nodes {
		t.sent += n.BytesSent
		t.received += n.BytesReceived
		t.fill += n.FillBytes
		t.datagrams += n.Datagrams
		t.cpu += n.CPU
		t.bytesSentPerNode = append(t.bytesSentPerNode, n.BytesSent)
	}
	return t
}

// measureSteadyState measures traffic and CPU time at the churn of the design document.
// Each event stops a node, moves its backend servers to another node after their leases
// have expired, starts the node again and moves them back.
func (f *fleet) measureSteadyState(r *report, d time.Duration) {
	n := len(f.net.Nodes)
	perSecond := float64(restartsPerDay+failuresPerDay) / 86400 * float64(n) / designNodes
	events := int(perSecond*d.Seconds() + 0.5)
	for range events {
		f.net.After(time.Duration(f.rand.Int64N(int64(d))), f.simulateRestart)
	}
	falseDeaths := 0
	f.onEvent = func(_ *simnet.Node, e membership.Event) {
		if e.Kind == membership.EventDead && !f.node(e.Node).Down {
			falseDeaths++
		}
	}
	before := f.readCounters()
	f.net.Run(d)
	f.onEvent = nil
	after := f.readCounters()
	perNodeSecond := float64(n) * d.Seconds()
	r.add("steady_churn_events", float64(events), "events")
	r.addWithTarget("steady_bytes_sent", float64(after.sent-before.sent)/perNodeSecond, "bytes/s", targetBytesPerSecond)
	r.addWithTarget("steady_bytes_received", float64(after.received-before.received)/perNodeSecond, "bytes/s", targetBytesPerSecond)
	busiest := int64(0)
	for i := range after.bytesSentPerNode {
		busiest = max(busiest, after.bytesSentPerNode[i]-before.bytesSentPerNode[i])
	}
	r.addWithTarget("steady_bytes_sent_busiest_node", float64(busiest)/d.Seconds(), "bytes/s", targetBytesPerSecond)
	r.add("steady_fill_bytes", float64(after.fill-before.fill)/perNodeSecond, "bytes/s")
	r.add("steady_datagrams_sent", float64(after.datagrams-before.datagrams)/perNodeSecond, "1/s")
	r.addWithTarget("steady_cpu", float64((after.cpu-before.cpu).Nanoseconds())/perNodeSecond, "ns/s", targetCPUNanosPerSecond)
	r.addWithTarget("steady_false_deaths", float64(falseDeaths), "verdicts", 0)
	f.net.Run(measurementTime)
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

// publishRecord makes node n publish a record with count backend servers from first on.
func (f *fleet) publishRecord(n *simnet.Node, first, count int) {
	f.net.Do(n, func(c *membership.Core) { c.UpdateSelf(f.net.Now(), newRecord(n.Index, first, count)) })
}

// simulateRestart simulates one churn event. It never stops a seed.
func (f *fleet) simulateRestart() {
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
	f.net.After(leaseExpiry, func() { f.publishRecord(neighbour, first, 2*b) })
	f.net.After(restartDowntime, func() { f.net.Restart(n, f.membershipOptions(newRecord(n.Index, n.Index*b, 0))) })
	f.net.After(restartDowntime+announceDelay, func() {
		f.publishRecord(n, n.Index*b, b)
		f.publishRecord(neighbour, neighbour.Index*b, b)
	})
}

// propagation records the times at which nodes learn of a change.
type propagation struct {
	start time.Duration
	times []time.Duration
	seen  map[int]bool
}

func (p *propagation) add(n *simnet.Node, now time.Duration) {
	if !p.seen[n.Index] {
		p.seen[n.Index] = true
		p.times = append(p.times, now-p.start)
	}
}

// quantile returns the time in ms after which the share q of all nodes knew of the change.
// It returns -1 if fewer nodes learned of it.
func (p *propagation) quantile(q float64, total int) float64 {
	i := int(q*float64(total)+0.999999) - 1
	if i >= len(p.times) {
		return -1
	}
	slices.Sort(p.times)
	return float64(p.times[max(0, i)].Microseconds()) / 1000
}

func (f *fleet) newPropagation() *propagation {
	return &propagation{start: f.net.Elapsed(), seen: make(map[int]bool)}
}

// addPropagation reports the mean over all runs of the times for 50% and 99% of the nodes,
// and the longest time for all nodes. A run that did not reach the share counts as -1.
func addPropagation(r *report, name string, runs []*propagation, total int) {
	var p50, p99, worst float64
	for _, p := range runs {
		p50 += p.quantile(0.5, total) / float64(len(runs))
		p99 += p.quantile(0.99, total) / float64(len(runs))
		switch q := p.quantile(1, total); {
		case q < 0:
			worst = -1
		case worst >= 0:
			worst = max(worst, q)
		}
	}
	r.add(name+"_50_percent", p50, "ms")
	r.add(name+"_99_percent", p99, "ms")
	r.add(name+"_all_worst", worst, "ms")
}

// measureRecordChanges measures how fast a changed record reaches the other nodes.
func (f *fleet) measureRecordChanges(r *report, repeat int) {
	var runs []*propagation
	n := len(f.net.Nodes)
	for i := range repeat {
		p := f.newPropagation()
		source := f.net.Nodes[f.rand.IntN(n)]
		f.onChange = func(node *simnet.Node, ch membership.Change) {
			if node != source && ch.Node.ID == source.ID && len(ch.Node.Backends) == f.opts.Backends+1+i {
				p.add(node, f.net.Elapsed())
			}
		}
		f.publishRecord(source, source.Index*f.opts.Backends, f.opts.Backends+1+i)
		f.net.Run(measurementTime)
		runs = append(runs, p)
	}
	f.onChange = nil
	addPropagation(r, "change_known", runs, n-1)
}

// measureNodeFailures measures how fast all nodes declare a killed node dead.
func (f *fleet) measureNodeFailures(r *report, repeat int) {
	var runs []*propagation
	for range repeat {
		p := f.newPropagation()
		killed := f.net.Nodes[3+f.rand.IntN(len(f.net.Nodes)-3)]
		if killed.Down {
			continue
		}
		f.net.Kill(killed)
		f.onEvent = func(node *simnet.Node, e membership.Event) {
			if e.Kind == membership.EventDead && e.Node == killed.ID {
				p.add(node, f.net.Elapsed())
			}
		}
		f.net.Run(measurementTime)
		runs = append(runs, p)
	}
	f.onEvent = nil
	addPropagation(r, "killed_member_dead", runs, f.runningNodes())
}

func (f *fleet) runningNodes() int {
	running := 0
	for _, n := range f.net.Nodes {
		if !n.Down {
			running++
		}
	}
	return running
}

// measureDomainLoss kills all nodes of one failure domain at once and measures how fast
// the other nodes declare them dead.
func (f *fleet) measureDomainLoss(r *report) {
	p := f.newPropagation()
	lost := 0
	for _, n := range f.net.Nodes {
		if n.Index%failureDomains == failureDomains-1 && !n.Down {
			f.net.Kill(n)
			lost++
		}
	}
	running := f.runningNodes()
	deadCount := make(map[int]int, running)
	views := f.newPropagation()
	falseDeaths := 0
	f.onEvent = func(node *simnet.Node, e membership.Event) {
		if e.Kind != membership.EventDead {
			return
		}
		if !f.node(e.Node).Down {
			falseDeaths++
			return
		}
		views.times = append(views.times, f.net.Elapsed()-views.start)
		if deadCount[node.Index]++; deadCount[node.Index] == lost {
			p.add(node, f.net.Elapsed())
		}
	}
	before := f.readCounters()
	f.net.Run(60 * time.Second)
	after := f.readCounters()
	f.onEvent = nil
	r.add("domain_loss_nodes", float64(lost), "nodes")
	// A view is the status of one lost node in the directory of one running node.
	r.add("domain_loss_views_50_percent", views.quantile(0.5, running*lost), "ms")
	r.add("domain_loss_views_99_percent", views.quantile(0.99, running*lost), "ms")
	addPropagation(r, "domain_loss_all_dead", []*propagation{p}, running)
	r.addWithTarget("domain_loss_bytes_sent", float64(after.sent-before.sent)/float64(running)/60, "bytes/s", targetBytesPerSecond)
	r.addWithTarget("domain_loss_false_deaths", float64(falseDeaths), "verdicts", 0)
}
