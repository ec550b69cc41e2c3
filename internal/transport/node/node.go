package node

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	oteltrace "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/cost"
	"wigeonspring.example/wigeonspring/internal/coordination/distribution"
	"wigeonspring.example/wigeonspring/internal/coordination/freshness"
	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/coordination/routing"
	"wigeonspring.example/wigeonspring/internal/coordination/seeding"
	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/state/settings"
	"wigeonspring.example/wigeonspring/internal/transport/control"
	"wigeonspring.example/wigeonspring/internal/transport/events"
	"wigeonspring.example/wigeonspring/internal/transport/gossip"
	"wigeonspring.example/wigeonspring/internal/transport/health"
	"wigeonspring.example/wigeonspring/internal/transport/peer"
	"wigeonspring.example/wigeonspring/internal/transport/permits"
	"wigeonspring.example/wigeonspring/internal/transport/policysync"
	"wigeonspring.example/wigeonspring/internal/transport/proxy"
	quotas "wigeonspring.example/wigeonspring/internal/transport/quota"
	"wigeonspring.example/wigeonspring/internal/transport/trace"
)

// Options configures a Node.
type Options struct {
	Settings *settings.Settings
	Log      *zap.Logger
	// Adapter connects the node to a platform with its own protocols; nil for none.
	Adapter *Adapter
	// TraceWriter receives spans if the settings select "stdout".
	TraceWriter io.Writer
	// BootTime is the clock by which keys become outdated; nil means the time since the VM was
	// started.
	BootTime func() freshness.Instant
}

// eventRate, per second, and eventBurst bound the logged events of each kind. At 300 B a
// line, this is 6 KB/s for each kind.
const (
	eventRate  = 20
	eventBurst = 200
)

// explainEvents is the number of events kept in memory for explaining decisions.
const explainEvents = 4096

// maxBufferedBodyBytes is the size up to which the body of a request that is not
// idempotent is kept in memory, so that it can be sent again after a refusal. Photos
// have a mean size of 60 KB and at most 360 KB.
const maxBufferedBodyBytes = 512 << 10

// Node is a running daemon.
type Node struct {
	opts        Options
	log         *zap.Logger
	incarnation uint64
	peerAddr    string

	listeners listeners
	tracing   oteltrace.TracerProvider
	stopTrace func(context.Context) error

	platform   platform.Client
	directory  *registry.Directory
	policies   *policy.Table
	records    *records
	departures *departures
	store      *events.Store
	bus        *events.Bus
	gossip     *gossip.Transport
	sync       *policysync.Runner
	freshness  *keyFreshness
	health     *health.Monitor
	permits    *permits.Manager
	quotas     *quotas.Manager
	nodeViews  nodeViews
	backends   *proxy.Backends
	owner      *proxy.Owner
	ingress    *proxy.Ingress
	peers      *peer.Pool
	control    *control.Server
	peerClient *http.Client
	// domainSeeds are the seeds of this node's failure domain when last read.
	domainSeeds atomic.Pointer[[]seeding.Entry]
	// registeredSeed is set once this node is one of the seeds of its failure domain.
	registeredSeed atomic.Bool
	// peerGeneration is the highest generation of the platform's data that a peer has seen.
	peerGeneration atomic.Uint64

	// leaseMu makes the change of a lease and its effects atomic, so that the effects
	// of a lapse are not applied after those of a later grant.
	leaseMu  sync.Mutex
	stopping atomic.Bool
	// drainRequested is closed when an operator asks the node to stop.
	drainRequested chan struct{}
	// publishRequested signals that this node's record is to be published.
	publishRequested chan struct{}
}

// listeners holds the listeners of a node.
type listeners struct {
	caller, peer, operator net.Listener
	// announce, ready and metrics are nil unless the settings name them.
	announce, ready, metrics net.Listener
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.caller, l.peer, l.operator, l.announce, l.ready, l.metrics} {
		if ln != nil {
			ln.Close()
		}
	}
}

func listen(s *settings.Settings) (l listeners, err error) {
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	for _, bind := range []struct {
		step, addr string
		to         *net.Listener
	}{
		{"listen for callers", s.Listen.CallerListen, &l.caller},
		{"listen for nodes", s.Listen.PeerListen, &l.peer},
		{"listen for operators", s.Listen.OperatorListen, &l.operator},
		{"listen for announcements", s.Listen.AnnounceListen, &l.announce},
		{"listen for readiness checks", s.Listen.ReadyListen, &l.ready},
		{"listen for metrics", s.Listen.MetricsListen, &l.metrics},
	} {
		if bind.addr == "" {
			continue
		}
		if *bind.to, err = net.Listen("tcp", bind.addr); err != nil {
			return l, fault.New(bind.step, bind.addr, err)
		}
	}
	return l, nil
}

// New binds all addresses and assembles a node. Nothing runs until Run is called. On an
// error, no address stays bound.
func New(ctx context.Context, opts Options) (*Node, error) {
	s := opts.Settings
	leases := ownership.Options{Lease: time.Duration(s.Backend.Lease)}
	if opts.Adapter != nil {
		leases.AwaitRecall, leases.KeepDepartures = !s.FirstStart(), keepDepartures
	}
	records := newRecords(time.Now(), leases)
	l, err := listen(s)
	if err != nil {
		return nil, err
	}
	n := &Node{
		opts:             opts,
		log:              opts.Log,
		incarnation:      membership.NewIncarnation(time.Now(), rand.Uint64()),
		peerAddr:         l.peer.Addr().String(),
		listeners:        l,
		directory:        registry.NewDirectory(),
		records:          records,
		store:            events.NewStore(explainEvents),
		peerClient:       gossip.NewPeerClient(),
		drainRequested:   make(chan struct{}),
		publishRequested: make(chan struct{}, 1),
	}
	if s.Listen.PeerAdvertise != "" {
		n.peerAddr = s.Listen.PeerAdvertise
	}
	if err := n.assemble(ctx); err != nil {
		l.close()
		return nil, err
	}
	return n, nil
}

// assemble creates the components, each after those that it depends on.
func (n *Node) assemble(ctx context.Context) error {
	s := n.opts.Settings
	var err error
	if n.bus, err = events.New(events.Options{Node: s.Node.ID, Rate: eventRate, Burst: eventBurst}); err != nil {
		return err
	}
	n.bus.AddConsumer("log", events.Logger(n.log))
	n.bus.AddConsumer("metrics", events.Count)
	n.bus.AddConsumer("explain", n.store.Add)
	n.tracing, n.stopTrace, err = trace.New(ctx, trace.Options{
		Output:        s.Output.Trace,
		Writer:        n.opts.TraceWriter,
		Node:          s.Node.ID,
		FailureDomain: s.Node.FailureDomain,
		SampleRatio:   1,
	})
	if err != nil {
		return err
	}
	n.platform = n.platformClient()
	n.departures = n.newDepartures()
	n.freshness = n.newKeyFreshness()
	n.assemblePolicies()
	n.quotas = n.newQuotas()
	n.assembleProxy()
	if err := n.assembleGossip(); err != nil {
		return err
	}
	n.permits = n.newPermits()
	n.health = health.New(health.Options{
		View:    n.healthView,
		Permits: n.permits,
		Apply:   n.applyHealth,
		Events:  n.bus,
		Node:    s.Node.ID,
	})
	n.control = control.New(control.Options{Node: n, Placements: n.ingress, Policies: n.policies, Events: n.store, PeerClient: n.peerClient})
	return nil
}

func (n *Node) assembleProxy() {
	s := n.opts.Settings
	n.backends = proxy.NewBackends(proxy.BackendsOptions{
		SuspicionTrials: s.Backend.Detector == settings.DetectorTrials,
		IDHeader:        n.dialect().RequestID,
		CloseDelimited:  n.opts.Adapter != nil,
		Belongs:         n.dialect().BelongsToRequest,
		NotRun:          n.dialect().ProvesNotRun,
	})
	var estimator *cost.Estimator
	if s.Fleet.ExpectedCost {
		estimator = cost.NewEstimator()
	}
	n.peers = peer.NewPool(peer.Options{MaxPeers: s.Limits.MaxPeerConnections})
	n.owner = proxy.NewOwner(proxy.OwnerOptions{
		Self:   n.ID(),
		Region: s.Node.Region,
		// The gossip transport is created later, and before the first request.
		OwnsIncarnation: func(incarnation uint64) bool { return n.gossip.OwnsIncarnation(incarnation) },
		Leases:          n.records.leases,
		Backends:        n.backends,
		Dialect:         n.dialect(),
		Observe:         n.observe,
		Cost:            estimator,
		Events:          n.bus,
		Logger:          n.log,
		Tracing:         n.tracing,
	})
	n.ingress = proxy.NewIngress(proxy.IngressOptions{
		Self:      n.ID(),
		Region:    s.Node.Region,
		Directory: n.directory,
		Policies:  n.policies,
		Balancer: routing.New(routing.Options{
			Self:          n.ID(),
			FailureDomain: s.Node.FailureDomain,
			Region:        s.Node.Region,
			Cost:          estimator,
		}),
		Peers:                n.peers,
		Owner:                n.owner,
		MaxBufferedBodyBytes: maxBufferedBodyBytes,
		ExpectContinue:       s.Fleet.AskFirst,
		Dialect:              n.dialect(),
		LocalService:         s.Node.LocalService,
		FreeRefusals:         s.Fleet.FreeRefusals,
		TeamShares:           s.Fleet.TeamShares,
		Stopping:             n.stopping.Load,
		Quotas:               n.quotas,
		RetrySlack:           n.retrySlack(),
		// An earlier process of this node may have used its slack in the same window.
		RetrySlackStart: time.Now().Add(s.RetryWindow()),
		RetryWindow:     s.RetryWindow(),
		KeysCurrent:     n.freshness.keysCurrent(),
		Events:          n.bus,
		Logger:          n.log,
		Tracing:         n.tracing,
	})
}

func (n *Node) assemblePolicies() {
	s := n.opts.Settings
	options := distribution.Options{
		Self:          n.ID(),
		FailureDomain: s.Node.FailureDomain,
		Start:         time.Now(),
		Rand:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Defaults:      n.serviceDefaults(),
	}
	if n.opts.Adapter != nil {
		options.Linearizable, options.WatchWait, options.MaxBackoff = true, distribution.ShortWatchWait, distribution.ShortMaxBackoff
	}
	if bound, strict := s.RevokeWithin(); strict && options.WatchWait > 0 {
		options.WatchWait = min(options.WatchWait, freshness.WatchWait(bound))
	}
	core := distribution.New(options)
	n.policies = core.Table()
	n.sync = policysync.New(policysync.Options{
		Core:             core,
		Platform:         n.platform,
		Members:          n.liveMembers,
		PeerAddress:      n.peerAddress,
		SendNotification: n.sendPolicyNotice,
		OnInForce:        n.policyInForce,
		Events:           n.bus,
		PeerClient:       n.peerClient,
		Freshness:        n.freshness.forPolicies(),
	})
}

// serviceDefaults returns the defaults that the settings define for the services of a
// fleet document.
func (n *Node) serviceDefaults() policy.ServiceDefaults {
	d := policy.DefaultServiceDefaults()
	d.FloorShare = n.opts.Settings.FloorShare()
	d.Limits.RetryPercent = n.opts.Settings.RetryPercent()
	return d
}

// slackShare is the share of the fleet's slack that the nodes use. The rest covers the
// calls that retried requests make, and nodes that do not know all other nodes yet and
// therefore use too large a part.
const slackShare = 0.85

// retrySlack returns a function that returns this node's part of the slack, or nil if
// the nodes share none.
func (n *Node) retrySlack() func() float64 {
	slack, shared := n.opts.Settings.RetrySlack()
	if !shared {
		return nil
	}
	return func() float64 { return slackShare * slack / float64(max(n.directory.Snapshot().Len(), 1)) }
}

// ID implements control.Node.
func (n *Node) ID() registry.NodeID { return registry.NodeID(n.opts.Settings.Node.ID) }

// Incarnation implements control.Node.
func (n *Node) Incarnation() uint64 { return n.gossip.Incarnation() }

// Snapshot implements control.Node.
func (n *Node) Snapshot() *registry.Snapshot { return n.directory.Snapshot() }

// Ready implements control.Node.
func (n *Node) Ready() bool { return n.acceptsRequests() && !n.stopping.Load() }

// CallerAddr returns the bound address for callers.
func (n *Node) CallerAddr() string { return n.listeners.caller.Addr().String() }

// OperatorAddr returns the bound address for operators.
func (n *Node) OperatorAddr() string { return n.listeners.operator.Addr().String() }

// PeerAddr returns the advertised address for nodes.
func (n *Node) PeerAddr() string { return n.peerAddr }

// publish publishes an event about a backend server of this node.
func (n *Node) publish(kind event.Kind, service registry.ServiceID, id registry.BackendID, reason string) {
	n.bus.Publish(event.Event{Kind: kind, Service: string(service), Backend: string(id), Reason: reason})
}

// applyHealth applies a decision about the health of a backend server.
func (n *Node) applyHealth(id registry.BackendID, state registry.BackendState, weight float64) {
	n.records.setHealth(id, healthState{state: state, weight: weight})
	n.backends.SetState(id, state, weight)
	n.requestPublication()
}

// addOrUpdateBackend adds or updates a backend server whose lease was granted or renewed.
func (n *Node) addOrUpdateBackend(a ownership.Announcement, res ownership.Result) {
	if res.New {
		if n.opts.Settings.Backend.Detector == settings.DetectorCUSUM {
			n.permits.Track(a.Service)
		}
		n.records.removeHealth(a.Backend)
		if !n.records.isDrained(a.Backend, a.Incarnation) {
			n.records.removeDrain(a.Backend)
		}
		n.health.Remove(a.Backend)
		n.publish(event.BackendAnnounced, a.Service, a.Backend, "")
	}
	if res.New || res.Changed {
		n.upsertBackend(a)
		n.requestPublication()
		if a.Draining {
			n.publish(event.BackendDraining, a.Service, a.Backend, "announced")
		}
	}
}

func (n *Node) upsertBackend(a ownership.Announcement) {
	var limits policy.Limits
	if p := n.policies.Get(string(a.Service)); p != nil {
		limits = p.Document.Service.Limits
	}
	a.Draining = a.Draining || n.records.isDrained(a.Backend, a.Incarnation)
	n.backends.Upsert(a, limits)
}

// removeBackend removes a backend server whose lease has ended.
func (n *Node) removeBackend(ended ownership.EndedLease) {
	n.backends.Remove(ended.Backend)
	n.health.Remove(ended.Backend)
	n.records.removeHealth(ended.Backend)
	n.publish(event.BackendLost, ended.Service, ended.Backend, string(ended.Reason))
	n.requestPublication()
}

// policyInForce applies the limits of a policy to the backend servers of its
// services.
func (n *Node) policyInForce(p *policy.InForce) {
	for _, s := range p.Services() {
		n.servicePolicyInForce(s)
	}
	n.freshness.policiesChanged()
}

func (n *Node) servicePolicyInForce(p *policy.InForce) {
	service := registry.ServiceID(p.Service)
	n.health.SetWeight(service, p.Document.Service.DetectionWeight)
	for _, o := range n.records.leases.Owned() {
		if o.Service == service {
			n.upsertBackend(o.Announcement)
		}
	}
}
