package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/coordination/membership/simnet"
	"wigeonspring.example/wigeonspring/internal/protocol/cluster"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Layout of the simulated fleet, from the design document.
const (
	failureDomains = 12
	regions        = 3
	services       = 650
	// startMillis is a realistic incarnation and start of a lease, in Unix
	// milliseconds.
	startMillis = 1_700_000_000_000
	// buildWorkers is the number of goroutines that fill the directories.
	buildWorkers = 4
)

// newRecord returns the record of node i with the backend servers first to first+count-1
// of the fleet. The names are as long as in a real deployment.
func newRecord(i, first, count int) registry.Node {
	n := registry.Node{
		ID:            registry.NodeID(fmt.Sprintf("node-%05d", i)),
		PeerAddr:      fmt.Sprintf("10.%d.%d.%d:7946", 100+i%failureDomains, i/200, i%200),
		OperatorAddr:  fmt.Sprintf("10.%d.%d.%d:7947", 100+i%failureDomains, i/200, i%200),
		FailureDomain: fmt.Sprintf("region-%d-%c", i%regions, 'a'+i%failureDomains/regions),
		Region:        fmt.Sprintf("region-%d", i%regions),
	}
	for b := first; b < first+count; b++ {
		n.Backends = append(n.Backends, registry.Backend{
			ID:      registry.BackendID(fmt.Sprintf("backend-%06d", b)),
			Service: registry.ServiceID(fmt.Sprintf("service-%03d", b%services)),
			Slots:   5, Weight: 1, LeaseStartMillis: startMillis + uint64(b),
			Labels: map[string]string{"tier": []string{"gold", "basic"}[b%2]},
		})
	}
	return n
}

// fleet is a set of simulated nodes that know each other.
type fleet struct {
	opts options
	net  *simnet.Network
	rand *rand.Rand
	// onChange and onEvent are called for the nodes during one measurement. They may
	// be nil.
	onChange func(n *simnet.Node, c membership.Change)
	onEvent  func(n *simnet.Node, e membership.Event)
}

func newFleet(opts options, n int) *fleet {
	f := &fleet{opts: opts, rand: rand.New(rand.NewPCG(opts.Seed, 7))}
	decoder := cluster.NewDecoder()
	f.net = simnet.New(simnet.Options{
		Seed:  opts.Seed,
		Delay: f.delay,
		Codec: func(_ *simnet.Node, m *membership.Message) (*membership.Message, int) {
			data, err := cluster.Encode(m)
			if err != nil {
				panic(err)
			}
			decoded, err := decoder.Decode(data)
			if err != nil {
				panic(err)
			}
			return decoded, len(data)
		},
		SyncCodec: newSyncCodec(decoder),
		OnChange: func(n *simnet.Node, c membership.Change) {
			if f.onChange != nil {
				f.onChange(n, c)
			}
		},
		OnEvent: func(n *simnet.Node, e membership.Event) {
			if f.onEvent != nil {
				f.onEvent(n, e)
			}
		},
	})
	var records []registry.Node
	for i := range n {
		node := f.net.Add(f.membershipOptions(newRecord(i, i*opts.Backends, opts.Backends)))
		records = append(records, node.Core.Self())
	}
	// The directories are filled directly instead of by a thousand joins. The nodes
	// share the records, because copies of a whole fleet do not fit in memory.
	var g errgroup.Group
	g.SetLimit(buildWorkers)
	fill := membership.Sync{Fill: true}
	for _, node := range f.net.Nodes {
		g.Go(func() error {
			node.Core.SyncContinue(f.net.Now(), fill, &membership.SyncResponse{From: "fill", Records: records})
			node.Core.SyncDone(f.net.Now(), fill, nil)
			node.Core.Ready()
			return nil
		})
	}
	_ = g.Wait()
	// Each node still has its own record queued for gossip. Wait until these
	// transmissions are over.
	f.net.Run(60 * time.Second)
	return f
}

func (f *fleet) membershipOptions(self registry.Node) membership.Options {
	return membership.Options{
		Self: self,
		// After a restart a node fills its directory by a sync with a seed.
		Seeds:    []string{newRecord(0, 0, 0).PeerAddr, newRecord(1, 0, 0).PeerAddr, newRecord(2, 0, 0).PeerAddr},
		Disabled: f.opts.disabledMechanisms(),
	}
}

// delay returns the one-way latency between two nodes from the design document, with up
// to 20% of jitter added.
func (f *fleet) delay(from, to *simnet.Node) time.Duration {
	d := 300 * time.Microsecond
	switch {
	case from.Index%regions != to.Index%regions:
		d = 8 * time.Millisecond
	case from.Index%failureDomains != to.Index%failureDomains:
		d = 1500 * time.Microsecond
	}
	return d + time.Duration(f.rand.Int64N(int64(d)/5))
}

func newSyncCodec(decoder *cluster.Decoder) func(*simnet.Node, *membership.SyncRequest, *membership.SyncResponse) (
	*membership.SyncRequest, *membership.SyncResponse, int) {
	return func(_ *simnet.Node, req *membership.SyncRequest, resp *membership.SyncResponse) (
		*membership.SyncRequest, *membership.SyncResponse, int) {
		if req != nil {
			p := cluster.EncodeSyncRequest(req)
			return decoder.DecodeSyncRequest(p), nil, wireSize(p)
		}
		p := cluster.EncodeSyncResponse(resp)
		return nil, decoder.DecodeSyncResponse(p), wireSize(p)
	}
}
