package policysync

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/distribution"
	"wigeonspring.example/wigeonspring/internal/ring"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/metrics"
)

const (
	callTimeout = 2 * time.Second
	// listTimeout bounds a listing of all policies, 5.4 MB at the design scale.
	listTimeout = 10 * time.Second
	// watchGrace is how long a watch may take beyond its own waiting time.
	watchGrace = 5 * time.Second
	// prefix is where the platform keeps the policies.
	prefix   = "policy/"
	ringSize = 1024
	// membersInterval is how often the view of the members is refreshed.
	membersInterval = time.Second
)

// Options configures a Runner. All fields are required.
type Options struct {
	Core     *distribution.Core
	Platform platform.Client
	// Members returns the members that are alive, this node included.
	Members func() []distribution.Member
	// PeerAddress returns the peer address of a node.
	PeerAddress func(registry.NodeID) (string, error)
	// SendNotification sends a notice, with the document unless it is empty, to some peers.
	// It does not block.
	SendNotification func(h distribution.Version, text []byte, to []registry.NodeID)
	// OnInForce is called for every policy that was put in force.
	OnInForce  func(*policy.InForce)
	Events     event.Sink
	HTTPClient *http.Client
}

// Runner drives a distribution core.
type Runner struct {
	opts   Options
	core   *distribution.Core
	inputs *ring.Ring[distribution.Input]
	status atomic.Pointer[distribution.Status]

	calls sync.WaitGroup
	// platformCalls is the parent of the calls to the platform; cancelPlatform ends them.
	platformCalls  context.Context
	cancelPlatform context.CancelFunc
}

// New returns a Runner.
func New(opts Options) *Runner {
	r := &Runner{
		opts:   opts,
		core:   opts.Core,
		inputs: ring.New[distribution.Input](ringSize),
	}
	r.status.Store(&distribution.Status{})
	return r
}

// Status returns the latest status of the core.
func (r *Runner) Status() distribution.Status { return *r.status.Load() }

// HandleNotification hands a peer's notice to the core. It never blocks; anti-entropy repairs
// a notice that is lost because the ring is full.
func (r *Runner) HandleNotification(h distribution.ReceivedNotification) {
	r.inputs.Offer(distribution.Input{Notifications: []distribution.ReceivedNotification{h}})
}

// HandleDigest hands the digest of a peer's table to the core. It never blocks.
func (r *Runner) HandleDigest(d distribution.PeerDigest) {
	r.inputs.Offer(distribution.Input{Digests: []distribution.PeerDigest{d}})
}

// ReportFailedProbes tells the core of probes of members that were not answered. It never blocks.
func (r *Runner) ReportFailedProbes(probes int) {
	r.inputs.Offer(distribution.Input{FailedProbes: probes})
}

// Run drives the core until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	defer r.calls.Wait()
	r.platformCalls, r.cancelPlatform = context.WithCancel(ctx)
	defer func() { r.cancelPlatform() }()
	members := time.NewTicker(membersInterval)
	defer members.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	r.step(ctx, distribution.Input{Members: r.opts.Members()}, wake)
	for {
		var in distribution.Input
		select {
		case <-ctx.Done():
			return nil
		case in = <-r.inputs.Items():
		case <-members.C:
			in.Members = r.opts.Members()
		case <-wake.C:
		}
		r.step(ctx, in, wake)
	}
}

// step gives one input to the core and carries out what it decided.
func (r *Runner) step(ctx context.Context, in distribution.Input, wake *time.Timer) {
	in.Now = time.Now()
	out := r.core.Step(in)
	status := out.Status
	r.status.Store(&status)
	for _, p := range out.InForce {
		r.opts.OnInForce(p)
	}
	for _, e := range out.Events {
		r.opts.Events.Publish(e)
	}
	r.sendNotices(out.Notifications)
	for _, c := range out.Calls {
		r.start(ctx, c)
	}
	if out.CancelPlatformRequests {
		r.cancelPlatform()
		r.platformCalls, r.cancelPlatform = context.WithCancel(ctx)
	}
	if out.PlatformRequest != nil {
		r.askPlatform(ctx, *out.PlatformRequest)
	}
	wake.Reset(max(time.Until(out.Wake), 0))
}

// sendNotices sends each notice to the peers that the core chose.
func (r *Runner) sendNotices(datagrams []distribution.Notification) {
	peers := make(map[distribution.Version][]registry.NodeID)
	texts := make(map[distribution.Version][]byte)
	for _, d := range datagrams {
		peers[d.Version] = append(peers[d.Version], d.To)
		texts[d.Version] = d.Text
	}
	for have, to := range peers {
		r.opts.SendNotification(have, texts[have], to)
	}
}

func (r *Runner) start(ctx context.Context, c distribution.Call) {
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		r.deliver(ctx, distribution.Input{Replies: []distribution.Reply{r.call(ctx, c)}})
	}()
}

// deliver waits for room in the ring, because a reply that is lost would leave
// its call open in the core.
func (r *Runner) deliver(ctx context.Context, in distribution.Input) {
	for !r.inputs.Offer(in) {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) askPlatform(parent context.Context, req distribution.PlatformRequest) {
	timeout := listTimeout
	if req.Watch {
		timeout = req.Wait + watchGrace
	}
	ctx, cancel := context.WithTimeout(r.platformCalls, timeout)
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		defer cancel()
		begun := time.Now()
		reply := distribution.PlatformReply{ID: req.ID}
		if req.Watch {
			reply.Objects, reply.Revision, reply.Err = r.opts.Platform.Watch(ctx, prefix, req.Since, req.Wait)
		} else {
			reply.Objects, reply.Revision, reply.Err = r.opts.Platform.List(ctx, prefix)
		}
		callTimes.Observe(outcome(&reply), time.Since(begun))
		r.deliver(parent, distribution.Input{PlatformReply: &reply})
	}()
}

// callTimes are the waiting times of the calls for policies.
var callTimes = metrics.NewHistograms("platform_policy_call")

func outcome(r *distribution.PlatformReply) string {
	switch {
	case errors.Is(r.Err, platform.ErrCompacted):
		return "history_gone"
	case r.Err != nil:
		return "failed"
	case len(r.Objects) > 0:
		return "changes"
	}
	return "no_change"
}
