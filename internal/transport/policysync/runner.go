package policysync

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/distribution"
	"wigeonspring.example/wigeonspring/internal/coordination/freshness"
	"wigeonspring.example/wigeonspring/internal/ring"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/metrics"
)

const (
	callTimeout = 2 * time.Second
	// listTimeout bounds a listing of all policies, which has 5.4 MB at the design size.
	listTimeout = 10 * time.Second
	// watchMargin is the time that a watch may take beyond its waiting time.
	watchMargin = 5 * time.Second
	// policyPrefix is the key prefix of the policies on the platform.
	policyPrefix  = "policy/"
	inputRingSize = 1024
	// membersInterval is the interval at which the members are read again.
	membersInterval = time.Second
)

// Options configures a Runner. All fields are required.
type Options struct {
	Core     *distribution.Core
	Platform platform.Client
	// Members returns the live members, including this node.
	Members func() []distribution.Member
	// PeerAddress returns the peer address of a node.
	PeerAddress func(registry.NodeID) (string, error)
	// SendNotification notifies peers of a version and includes the document unless text is
	// empty. It must not block.
	SendNotification func(v distribution.Version, text []byte, to []registry.NodeID)
	// OnInForce is called for every policy that has come into force.
	OnInForce  func(*policy.InForce)
	Events     event.Sink
	PeerClient *http.Client
	// Freshness is informed of reads of the platform and supplies the age of the confirmation
	// for peers; nil if the node needs no confirmations.
	Freshness Freshness
}

// Freshness holds the time at which this node last had the newest policies.
type Freshness interface {
	// Now returns the current time.
	Now() freshness.Instant
	// ConfirmFromPlatform records that a request to the platform that was sent at the given
	// time has shown that the policies in force are the newest.
	ConfirmFromPlatform(sentAt freshness.Instant)
	// Age returns the age of the confirmation and whether there is one.
	Age() (age time.Duration, known bool)
}

// Runner drives a distribution.Core.
type Runner struct {
	opts   Options
	core   *distribution.Core
	inputs *ring.Ring[distribution.Input]
	status atomic.Pointer[distribution.Status]
	// sentAt holds the times of the requests to the platform without a reply; used by Run
	// only.
	sentAt map[uint64]freshness.Instant

	calls sync.WaitGroup
	// platformContext is the parent context of platform requests; cancelPlatform cancels it.
	platformContext context.Context
	cancelPlatform  context.CancelFunc
}

// New returns a Runner.
func New(opts Options) *Runner {
	r := &Runner{
		opts:   opts,
		core:   opts.Core,
		inputs: ring.New[distribution.Input](inputRingSize),
		sentAt: map[uint64]freshness.Instant{},
	}
	r.status.Store(&distribution.Status{})
	return r
}

// Status returns the latest status of the core.
func (r *Runner) Status() distribution.Status { return *r.status.Load() }

// HandleNotification passes a peer's notification to the core. It never blocks. If the ring is
// full, the notification is dropped, and a later anti-entropy sync repairs the loss.
func (r *Runner) HandleNotification(n distribution.ReceivedNotification) {
	r.inputs.Offer(distribution.Input{Notifications: []distribution.ReceivedNotification{n}})
}

// HandleDigest passes the digest of a peer's table to the core. It never blocks.
func (r *Runner) HandleDigest(d distribution.PeerDigest) {
	r.inputs.Offer(distribution.Input{Digests: []distribution.PeerDigest{d}})
}

// ReportFailedProbes passes the number of unanswered membership probes to the core. It never
// blocks.
func (r *Runner) ReportFailedProbes(probes int) {
	r.inputs.Offer(distribution.Input{FailedProbes: probes})
}

// CompareWith makes the core compare the policies with those of a peer that has other ones. It
// never blocks.
func (r *Runner) CompareWith(peer registry.NodeID) {
	r.HandleDigest(distribution.PeerDigest{From: peer, Digest: ^r.core.Table().Digest()})
}

// ReadPlatform makes the core read the platform also if this node does not watch it. It never
// blocks.
func (r *Runner) ReadPlatform() { r.inputs.Offer(distribution.Input{ReadPlatform: true}) }

// Run drives the core until ctx is done.
func (r *Runner) Run(ctx context.Context) error {
	defer r.calls.Wait()
	r.platformContext, r.cancelPlatform = context.WithCancel(ctx)
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

// step passes one input to the core and carries out the resulting actions.
func (r *Runner) step(ctx context.Context, in distribution.Input, wake *time.Timer) {
	in.Now = time.Now()
	out := r.core.Step(in)
	if len(out.InForce) > 0 {
		applyDurations.Observe("in_force", time.Since(in.Now))
	}
	status := out.Status
	r.status.Store(&status)
	for _, p := range out.InForce {
		r.opts.OnInForce(p)
	}
	r.confirmCurrent(in.PlatformReply, out.CurrentAsOf)
	for _, e := range out.Events {
		r.opts.Events.Publish(e)
	}
	r.sendNotifications(out.Notifications)
	for _, c := range out.Calls {
		r.startCall(ctx, c)
	}
	if out.CancelPlatformRequests {
		r.cancelPlatform()
		r.platformContext, r.cancelPlatform = context.WithCancel(ctx)
	}
	if out.PlatformRequest != nil {
		r.requestPlatform(ctx, *out.PlatformRequest)
	}
	wake.Reset(max(time.Until(out.Wake), 0))
}

// confirmCurrent passes on what a reply of the platform shows about the policies in force.
func (r *Runner) confirmCurrent(reply *distribution.PlatformReply, currentAsOf uint64) {
	if reply == nil || r.opts.Freshness == nil {
		return
	}
	if sentAt, ok := r.sentAt[reply.ID]; ok && currentAsOf == reply.ID {
		r.opts.Freshness.ConfirmFromPlatform(sentAt)
	}
	delete(r.sentAt, reply.ID)
}

// sendNotifications groups the notifications by version and sends them to their peers.
func (r *Runner) sendNotifications(notifications []distribution.Notification) {
	peers := make(map[distribution.Version][]registry.NodeID)
	texts := make(map[distribution.Version][]byte)
	for _, n := range notifications {
		peers[n.Version] = append(peers[n.Version], n.To)
		if len(n.Text) > 0 {
			texts[n.Version] = n.Text
		}
	}
	for version, to := range peers {
		r.opts.SendNotification(version, texts[version], to)
	}
}

func (r *Runner) startCall(ctx context.Context, c distribution.Call) {
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		r.deliver(ctx, distribution.Input{Replies: []distribution.Reply{r.call(ctx, c)}})
	}()
}

// deliver passes a reply to the core. It waits for space in the ring, because a call whose
// reply is dropped would stay open in the core.
func (r *Runner) deliver(ctx context.Context, in distribution.Input) {
	for !r.inputs.Offer(in) {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) requestPlatform(parent context.Context, req distribution.PlatformRequest) {
	timeout := listTimeout
	if req.Watch {
		timeout = req.Wait + watchMargin
	}
	ctx, cancel := context.WithTimeout(r.platformContext, timeout)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		r.inputs.Offer(distribution.Input{PlatformProgress: req.ID})
	}})
	if r.opts.Freshness != nil {
		r.sentAt[req.ID] = r.opts.Freshness.Now()
	}
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		defer cancel()
		start := time.Now()
		reply := distribution.PlatformReply{ID: req.ID}
		if req.Watch {
			reply.Objects, reply.Revision, reply.Err = r.opts.Platform.Watch(ctx, policyPrefix, req.Since, req.Wait)
		} else {
			reply.Objects, reply.Revision, reply.Err = r.opts.Platform.List(ctx, policyPrefix)
		}
		platformCallDurations.Observe(outcome(&reply), time.Since(start))
		r.deliver(parent, distribution.Input{PlatformReply: &reply})
	}()
}

// platformCallDurations records the durations of platform requests for policies by outcome.
var platformCallDurations = metrics.NewHistograms("platform_policy_call")

// applyDurations are the times to put received policies in force, and pullDurations those to
// fetch policies from a peer.
var (
	applyDurations = metrics.NewHistograms("policy_apply")
	pullDurations  = metrics.NewHistograms("policy_pull")
)

func outcome(r *distribution.PlatformReply) string {
	switch {
	case errors.Is(r.Err, platform.ErrRestored):
		return "restored"
	case errors.Is(r.Err, platform.ErrCompacted):
		return "history_gone"
	case r.Err != nil:
		return "failed"
	case len(r.Objects) > 0:
		return "changes"
	}
	return "no_change"
}
