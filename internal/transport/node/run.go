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
)

const (
	// leaseCheckInterval is a fifth of the gap from which the lease table takes the
	// process to have been paused (500 ms), so that late timers are no pause.
	leaseCheckInterval = 100 * time.Millisecond
	// callerHeaderTimeout bounds the reading of the header of a caller's request.
	callerHeaderTimeout = 5 * time.Second
	callerIdleTimeout   = 2 * time.Minute
	callerMaxHeader     = 64 << 10
	// operatorReadTimeout bounds the reading of an operator's request, of which
	// the largest is a policy form of 2 MB.
	operatorReadTimeout = 30 * time.Second
	// operatorWriteTimeout lets a policy status of 2,100 nodes finish, of which
	// 32 at a time do not answer within 2 s.
	operatorWriteTimeout = 3 * time.Minute
	// closeTimeout bounds the closing of listeners after the drain.
	closeTimeout = 2 * time.Second
	// cutTimeout bounds the closing of listeners if the drain timed out.
	cutTimeout    = 100 * time.Millisecond
	reasonStarted = "node_not_ready"
)

// Run serves until ctx ends or an operator drains the node, then shuts down
// gracefully: in-flight requests have the drain timeout of the settings to end.
func (n *Node) Run(ctx context.Context) error {
	// The duties go on during the drain; hard ends them.
	hard, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, hard := errgroup.WithContext(hard)
	n.gossip.Start(hard)
	for _, duty := range []func(context.Context) error{
		n.bus.Run, n.sync.Run, n.health.Run, n.permits.Run, n.publishRecords, n.watchLeases, n.learnSeeds, n.registerSeed,
	} {
		group.Go(func() error { return duty(hard) })
	}
	servers := n.serve(group)
	n.log.Info("node started", zap.String("caller_address", n.CallerAddr()),
		zap.String("peer_address", n.PeerAddr()), zap.String("operator_address", n.OperatorAddr()),
		zap.Uint64("incarnation", n.incarnation))
	select {
	case <-ctx.Done():
	case <-n.drainRequested:
	case <-hard.Done():
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
	bound := []net.Listener{n.listeners.caller, n.listeners.peer, n.listeners.operator}
	for _, extra := range n.extraServers() {
		servers, bound = append(servers, extra.server), append(bound, extra.listener)
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

type extraServer struct {
	server   *http.Server
	listener net.Listener
}

// extraServers returns the servers of the listeners that the settings may leave out.
func (n *Node) extraServers() []extraServer {
	var list []extraServer
	add := func(ln net.Listener, h http.Handler) {
		list = append(list, extraServer{listener: ln, server: &http.Server{
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

// serveCaller refuses requests as not run until the node knows that its policies
// are not behind.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if !n.takesRequests() {
		w.Header().Set(header.Outcome, header.NotRun)
		w.Header().Set(header.Reason, reasonStarted)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n.ingress.ServeHTTP(w, r)
}

// peerHandler serves requests of other nodes and RPCs. A request of a caller may
// have any path, so the header of the hop tells them apart.
func (n *Node) peerHandler() http.Handler {
	rpc := chi.NewRouter()
	n.mountRPC(rpc)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(header.Backend) != "" {
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
		PeerClient:   n.rpcClient,
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
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	for _, o := range n.records.leases.Owned() {
		if o.Backend == id {
			n.records.drain(id)
			n.upsert(o.Announcement)
			n.requestPublication()
			return nil
		}
	}
	return fault.Newf("drain backend server", string(id), "not owned by this node")
}

// takeWorkThatEnds keeps the backend servers of this node in service for as long as
// every request that begins now is sure to end before the drain times out.
func (n *Node) takeWorkThatEnds(ctx context.Context) {
	s := n.opts.Settings.Drain
	longest := n.policies.LongestTimeout()
	if spare := time.Duration(s.Timeout) - longest; longest > 0 && spare > 0 {
		sleep(ctx, min(spare, time.Duration(s.Notice)))
	}
}

// awaitNotice keeps serving while the platform learns from the readiness check
// that the node leaves, because callers go on sending requests until then.
func (n *Node) awaitNotice(ctx context.Context, since time.Time) {
	if left := time.Duration(n.opts.Settings.Drain.Notice) - time.Since(since); left > 0 {
		sleep(ctx, left)
	}
}

// endMargin is the time before the end of the drain in which requests that no backend
// server has begun are answered. It covers an answer to a caller 8 ms away many times.
const endMargin = 500 * time.Millisecond

// finishCalls waits for the requests in flight and answers those that are still not
// begun shortly before ctx ends.
func (n *Node) finishCalls(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	early, cancel := context.WithDeadline(ctx, deadline.Add(-endMargin))
	defer cancel()
	if n.ingress.Drain(early) != nil {
		n.ingress.StopAttempts()
	}
}

// shutDown stops gracefully: new work is refused as not run, requests in flight
// end, peers learn that the node leaves, and the leases are released.
func (n *Node) shutDown(servers []*http.Server) {
	n.stopping.Store(true)
	n.log.Info("shutting down")
	since := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.opts.Settings.Drain.Timeout))
	defer cancel()
	n.takeWorkThatEnds(ctx)
	// The work of other nodes goes elsewhere from now on, so that what runs here ends
	// before the platform kills the process.
	n.owner.Stop()
	n.records.leases.Stop()
	if err := n.gossip.Leave(ctx); err != nil {
		n.log.Warn("cannot announce the departure", zap.Error(err))
	}
	n.awaitNotice(ctx, since)
	n.finishCalls(ctx)
	if err := n.ingress.Drain(ctx); err != nil {
		n.log.Warn("callers' requests were cut off by the drain timeout", zap.Error(err))
	}
	if err := n.owner.Drain(ctx); err != nil {
		n.log.Warn("nodes' requests were cut off by the drain timeout", zap.Error(err))
	}
	n.records.leases.ReleaseAll()
	// What the drain could not finish is not waited for again.
	wait := closeTimeout
	if ctx.Err() != nil {
		wait = cutTimeout
	}
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
