package node

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/protocol/floorpb"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/console"
	"wigeonspring.example/wigeonspring/internal/transport/control"
	"wigeonspring.example/wigeonspring/internal/transport/metrics"
	"wigeonspring.example/wigeonspring/internal/transport/peer"
	"wigeonspring.example/wigeonspring/internal/transport/proxy"
)

const (
	// leaseCheckInterval is a fifth of the gap of 500 ms after which the lease table
	// assumes that the process was paused, so that a late timer does not count as a
	// pause.
	leaseCheckInterval = 100 * time.Millisecond
	// callerHeaderTimeout bounds the reading of the header of a caller's request.
	callerHeaderTimeout = 5 * time.Second
	callerIdleTimeout   = 2 * time.Minute
	callerMaxHeader     = 64 << 10
	// operatorReadTimeout bounds the reading of an operator's request. The largest
	// one is a policy form of 2 MB.
	operatorReadTimeout = 30 * time.Second
	// operatorWriteTimeout is enough for a policy status of 2,100 nodes, 32 of which are
	// queried at a time, even if none of them responds within its timeout of 2 s.
	operatorWriteTimeout = 3 * time.Minute
	// closeTimeout bounds the shutdown of the servers after the drain.
	closeTimeout = 2 * time.Second
	// shortCloseTimeout bounds the shutdown of the servers at the end of the drain timeout.
	shortCloseTimeout = 100 * time.Millisecond
	// refusalTimeout is the time that the caller of a refused request has to send its body.
	refusalTimeout = time.Second
	reasonNotReady = "node_not_ready"
)

// Run serves until ctx is done or an operator drains the node. It then shuts down
// gracefully: requests in flight may end within the drain timeout of the settings.
func (n *Node) Run(ctx context.Context) error {
	// The background tasks continue during the drain until taskCtx is done.
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, taskCtx := errgroup.WithContext(taskCtx)
	n.gossip.Start(taskCtx)
	for _, task := range []func(context.Context) error{
		n.bus.Run, n.sync.Run, n.health.Run, n.permits.Run, n.publishRecords, n.watchLeases, n.departures.run, n.discoverSeeds, n.registerSeed, n.renewSeeds,
		n.freshness.run, n.watchRestores, n.quotas.Run,
	} {
		group.Go(func() error { return task(taskCtx) })
	}
	servers := n.serve(group)
	n.log.Info("node started", zap.String("caller_address", n.CallerAddr()),
		zap.String("peer_address", n.PeerAddr()), zap.String("operator_address", n.OperatorAddr()),
		zap.Uint64("incarnation", n.incarnation))
	select {
	case <-ctx.Done():
	case <-n.drainRequested:
	case <-taskCtx.Done():
	}
	n.shutDown(servers)
	stop()
	err := group.Wait()
	n.gossip.Stop()
	flushCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return errors.Join(err, n.stopTrace(flushCtx))
}

// serve starts the HTTP servers.
func (n *Node) serve(group *errgroup.Group) []*http.Server {
	caller := &http.Server{
		Handler:           http.HandlerFunc(n.serveCaller),
		Protocols:         new(http.Protocols),
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    callerMaxHeader,
		ConnContext:       proxy.WithCallerConnection,
	}
	caller.Protocols.SetHTTP1(true)
	caller.Protocols.SetUnencryptedHTTP2(true)
	operator := &http.Server{
		Handler:           n.operatorHandler(),
		ReadHeaderTimeout: callerHeaderTimeout,
		ReadTimeout:       operatorReadTimeout,
		WriteTimeout:      operatorWriteTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    callerMaxHeader,
	}
	peers := peer.NewServer(n.peerHandler())
	servers := []*http.Server{caller, peers, operator}
	bound := []net.Listener{proxy.ListenCallers(n.listeners.caller), n.listeners.peer, n.listeners.operator}
	for _, optional := range n.optionalServers() {
		servers, bound = append(servers, optional.server), append(bound, optional.listener)
	}
	for i, ln := range bound {
		group.Go(func() error {
			err := servers[i].Serve(ln)
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return fault.New("serve", ln.Addr().String(), err)
		})
	}
	return servers
}

type optionalServer struct {
	server   *http.Server
	listener net.Listener
}

// optionalServers returns the servers of the optional listeners.
func (n *Node) optionalServers() []optionalServer {
	var list []optionalServer
	add := func(ln net.Listener, h http.Handler) {
		list = append(list, optionalServer{listener: ln, server: &http.Server{
			Handler: h, ReadHeaderTimeout: callerHeaderTimeout, ReadTimeout: operatorReadTimeout,
			IdleTimeout: callerIdleTimeout, MaxHeaderBytes: callerMaxHeader,
		}})
	}
	if n.opts.Adapter != nil && n.listeners.announce != nil {
		add(n.listeners.announce, n.opts.Adapter.Announcements(n.Announce))
	}
	if n.opts.Adapter != nil && n.listeners.ready != nil {
		add(n.listeners.ready, n.opts.Adapter.Ready(n.Ready))
	}
	if n.listeners.metrics != nil {
		add(n.listeners.metrics, metrics.Handler())
	}
	return list
}

// serveCaller serves the requests of callers. It refuses them as not run until the node
// knows that its policies are up to date.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if !n.acceptsRequests() {
		// Bounds how long the server waits for the body of the request before it responds.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalTimeout))
		w.Header().Set(header.Outcome, header.NotRun)
		w.Header().Set(header.Reason, reasonNotReady)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n.ingress.ServeHTTP(w, r)
}

// peerHandler serves forwarded requests of other nodes and RPCs. A forwarded request of a
// caller may have any path, so it is recognized by a header that the other node adds.
func (n *Node) peerHandler() http.Handler {
	rpc := chi.NewRouter()
	n.mountRPC(rpc)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(header.Backend) != "" || r.Header.Get(header.Recover) != "" {
			n.owner.ServeHTTP(w, r)
			return
		}
		rpc.ServeHTTP(w, r)
	})
}

func (n *Node) mountRPC(r chi.Router) {
	restricted := control.New(control.Options{
		Node:         n,
		Policies:     n.policies,
		Events:       n.store,
		PeerClient:   n.peerClient,
		PeerListener: true,
	}).Handler()
	r.Mount(strings.TrimSuffix(restricted.PathPrefix(), "/"), restricted)
	r.Mount("/twirp/wigeonspring.cluster.Cluster", n.gossip.Handler())
	r.Mount("/twirp/wigeonspring.policy.Policies", n.sync.Handler())
	r.Mount("/twirp/wigeonspring.floor.Floor", floorpb.NewFloorServer(n.permits))
}

func (n *Node) operatorHandler() http.Handler {
	r := chi.NewRouter()
	controlHandler := n.control.Handler()
	r.Mount(strings.TrimSuffix(controlHandler.PathPrefix(), "/"), controlHandler)
	r.Handle("/debug/vars", expvar.Handler())
	r.Handle("/metrics", metrics.Handler())
	r.Get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	guard := console.NewGuard(console.GuardOptions{Token: n.opts.Settings.Operator.Token})
	console.New(console.Options{Control: n.control, Platform: n.platform, Policies: n.policies, Guard: guard}).Mount(r)
	return guard.Wrap(r)
}

// Drain implements control.Node.
func (n *Node) Drain(id registry.BackendID) error {
	if id == "" {
		if n.stopping.CompareAndSwap(false, true) {
			close(n.drainRequested)
		}
		return nil
	}
	if !n.drainBackend(id) {
		return fault.Newf("drain backend server", string(id), "not owned by this node")
	}
	n.departures.changedNow()
	if !n.departures.awaitStored(operatorWait) {
		return fault.Newf("drain backend server", string(id), "%w", control.ErrNotStored)
	}
	return nil
}

// drainBackend drains a backend server for as long as it runs. It reports false if this
// node does not own it.
func (n *Node) drainBackend(id registry.BackendID) bool {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	for _, o := range n.records.leases.Owned() {
		if o.Backend == id {
			n.records.drain(id, o.Incarnation)
			n.upsertBackend(o.Announcement)
			n.requestPublication()
			return true
		}
	}
	return false
}

// keepBackendsInService keeps the backend servers of this node in service until ctx is done,
// which is when all requests of callers have ended. They accept requests that will end by the
// given time. It returns earlier if no such request is possible any more.
func (n *Node) keepBackendsInService(ctx context.Context, end time.Time) {
	for ctx.Err() == nil {
		until := n.backends.LatestStart()
		if longest := n.policies.LongestTimeout(); longest > 0 {
			until = latest(until, end.Add(-longest))
		}
		left := time.Until(until)
		if left <= 0 {
			return
		}
		sleep(ctx, left) // The service times may have changed by then.
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// waitForNotice keeps serving callers until the platform has had time to learn from the
// readiness check that the node is shutting down. Callers send requests until then.
func (n *Node) waitForNotice(ctx context.Context, since time.Time) {
	if left := time.Duration(n.opts.Settings.Drain.Notice) - time.Since(since); left > 0 {
		sleep(ctx, left)
	}
}

// drainMargin is the time before the end of the drain in which requests that no backend
// server has started are refused. It is many times the 8 ms that a response takes to a
// distant caller.
const drainMargin = 500 * time.Millisecond

// answerMargin is the time before the end of the drain in which the remaining requests of
// callers are answered with what is known about them.
const answerMargin = 100 * time.Millisecond

// drainCallers waits for the requests of callers in flight. Shortly before the deadline, it
// stops their attempts, so that requests that no backend server has started are refused.
// Just before the deadline, it ends the others, so that each caller gets an answer instead
// of a closed connection.
func (n *Node) drainCallers(ctx context.Context, deadline time.Time) {
	drained := func(margin time.Duration) bool {
		early, cancel := context.WithDeadline(ctx, deadline.Add(-margin))
		defer cancel()
		return n.ingress.Drain(early) == nil
	}
	if drained(drainMargin) {
		return
	}
	n.ingress.StopAttempts()
	if drained(answerMargin) {
		return
	}
	n.log.Warn("drain timeout interrupts requests of callers")
	n.ingress.EndRequests()
	_ = n.ingress.Drain(ctx) // The caller waits again and reports an error.
}

// shutDown stops the node gracefully: new requests are refused as not run, requests in
// flight may end, other nodes learn that the node leaves, and the leases are
// released.
func (n *Node) shutDown(servers []*http.Server) {
	n.stopping.Store(true)
	n.log.Info("shutting down")
	since := time.Now()
	deadline := since.Add(n.opts.Settings.DrainLimit())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	end := deadline.Add(-answerMargin)
	n.backends.StopBy(end)
	n.ingress.AcceptCallsUntil(deadline.Add(-drainMargin))
	inService, callersDone := context.WithCancel(ctx)
	go func() {
		defer callersDone()
		n.waitForNotice(ctx, since)
		n.drainCallers(ctx, deadline)
	}()
	n.keepBackendsInService(inService, end)
	// From now on, other nodes send their requests elsewhere, so that those that run here
	// end before the platform kills the process.
	n.log.Info("backend servers are out of service", zap.Duration("after", time.Since(since)))
	n.owner.Stop()
	n.records.leases.Stop()
	if err := n.gossip.Leave(ctx); err != nil {
		n.log.Warn("cannot tell other nodes that this node is leaving", zap.Error(err))
	}
	<-inService.Done()
	if err := n.owner.Drain(ctx); err != nil {
		n.log.Warn("drain timeout interrupts requests of other nodes", zap.Error(err))
		n.owner.EndRequests()
	}
	if err := n.ingress.Drain(ctx); err != nil {
		n.log.Warn("drain timeout interrupted responses to callers", zap.Error(err))
	}
	n.records.leases.ReleaseAll()
	// Connections without a request are not waited for beyond the end of the drain.
	wait := min(closeTimeout, max(time.Until(deadline), shortCloseTimeout))
	closeCtx, cancelClose := context.WithTimeout(context.Background(), wait)
	defer cancelClose()
	for _, s := range servers {
		if err := s.Shutdown(closeCtx); err != nil {
			s.Close()
		}
	}
	n.backends.Close()
	n.peers.Close()
	n.log.Info("stopped")
}
