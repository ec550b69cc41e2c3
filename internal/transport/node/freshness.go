package node

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"wigeonspring.example/wigeonspring/internal/coordination/freshness"
	"wigeonspring.example/wigeonspring/internal/ring"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/policysync"
)

const (
	freshnessRingSize = 64
	// freshnessMembersInterval is the interval at which the members are read again.
	freshnessMembersInterval = time.Second
)

// confirmations counts what showed that the policies in force are the newest.
var confirmations = expvar.NewMap("key_confirmations")

// bootTime returns the time since the VM was started. Unlike the clock of package time, it also
// counts while the VM is suspended.
func bootTime() freshness.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // Linux has had this clock since 2.6.39.
	}
	return freshness.Instant(ts.Nano())
}

// keyFreshness keeps track of whether the keys of the policies in force are current. A nil
// keyFreshness stands for a platform that does not demand it.
type keyFreshness struct {
	node   *Node
	core   *freshness.Core
	now    func() freshness.Instant
	inputs *ring.Ring[freshness.Input]
}

// newKeyFreshness returns nil if keys that were taken away may work at a node that cannot hear
// of it.
func (n *Node) newKeyFreshness() *keyFreshness {
	bound, strict := n.opts.Settings.RevokeWithin()
	if !strict {
		return nil
	}
	return &keyFreshness{
		node: n,
		core: freshness.New(freshness.Options{
			Self:          n.ID(),
			FailureDomain: n.opts.Settings.Node.FailureDomain,
			Region:        n.opts.Settings.Node.Region,
			Bound:         bound,
			Rand:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		now:    n.bootTime(),
		inputs: ring.New[freshness.Input](freshnessRingSize),
	}
}

// bootTime returns the clock of the keys' freshness.
func (n *Node) bootTime() func() freshness.Instant {
	if n.opts.BootTime != nil {
		return n.opts.BootTime
	}
	return bootTime
}

// keysCurrent returns the function that reports whether keys are current, or nil if they always
// are.
func (f *keyFreshness) keysCurrent() func() bool {
	if f == nil {
		return nil
	}
	return func() bool { return f.core.Confirmation().Current(f.now()) }
}

// forPolicies returns the interface to the distribution of policies.
func (f *keyFreshness) forPolicies() policysync.Freshness {
	if f == nil {
		return nil
	}
	return f
}

// Now implements policysync.Freshness.
func (f *keyFreshness) Now() freshness.Instant { return f.now() }

// Age implements policysync.Freshness.
func (f *keyFreshness) Age() (time.Duration, bool) { return f.core.Confirmation().Age(f.now()) }

// ConfirmFromPlatform implements policysync.Freshness.
func (f *keyFreshness) ConfirmFromPlatform(sentAt freshness.Instant) {
	f.core.Confirmation().Confirm(sentAt)
	confirmations.Add("platform", 1)
	// The core may wait for the time at which the keys would have been outdated.
	f.inputs.Offer(freshness.Input{})
}

// policiesChanged makes the core check at once whether the policies in force have keys.
func (f *keyFreshness) policiesChanged() {
	if f != nil {
		f.inputs.Offer(freshness.Input{})
	}
}

// run keeps the keys current until ctx is done.
func (f *keyFreshness) run(ctx context.Context) error {
	if f == nil {
		return nil
	}
	members := time.NewTicker(freshnessMembersInterval)
	defer members.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	in := freshness.Input{Members: f.members()}
	for {
		f.step(ctx, in, wake)
		in = freshness.Input{}
		select {
		case <-ctx.Done():
			return nil
		case in = <-f.inputs.Items():
		case <-members.C:
			in.Members = f.members()
		case <-wake.C:
		}
	}
}

// step passes an input to the core and carries out the resulting actions.
func (f *keyFreshness) step(ctx context.Context, in freshness.Input, wake *time.Timer) {
	in.Now = f.now()
	in.Active = f.node.policies.Teams() != nil
	in.Watching = f.node.sync.Status().Watcher
	out := f.core.Step(in)
	confirmations.Add("peer", int64(out.Confirmed))
	if out.Change != nil {
		f.publish(out.Change)
	}
	for _, id := range out.Mismatches {
		f.node.sync.CompareWith(id)
	}
	if out.ReadPlatform {
		confirmations.Add("platform_reads", 1)
		f.node.sync.ReadPlatform()
	}
	for _, c := range out.Calls {
		go f.ask(ctx, c)
	}
	wake.Reset(out.Wake.Sub(in.Now))
}

func (f *keyFreshness) publish(c *freshness.Change) {
	kind, reason := event.KeysOutdated, "no proof within the bound that the policies in force are the newest"
	if c.Current {
		kind, reason = event.KeysCurrent, "the policies in force are the newest"
	}
	age := "never"
	if c.Known {
		age = c.Age.Round(time.Millisecond).String()
	}
	f.node.bus.Publish(event.Event{Kind: kind, Reason: reason, Evidence: []event.Field{{Key: "confirmed", Value: age}}})
}

// ask sends a request to a peer and passes the reply to the core.
func (f *keyFreshness) ask(ctx context.Context, c freshness.Call) {
	reply := freshness.Reply{ID: c.ID}
	resp, err := f.node.sync.AskCurrent(ctx, c.To)
	if err != nil {
		f.node.log.Debug("a peer did not confirm the policies", zap.String("peer", string(c.To)), zap.Error(err))
		reply.Err = err
	} else {
		reply.Known, reply.Age = resp.Known, time.Duration(resp.AgeMicros)*time.Microsecond
		f.node.observeGeneration(resp.PlatformGeneration)
		reply.SamePolicies = resp.Digest == f.node.policies.Digest()
	}
	// The core needs a reply to each call.
	for !f.inputs.Offer(freshness.Input{Replies: []freshness.Reply{reply}}) {
		if !sleep(ctx, 10*time.Millisecond) {
			return
		}
	}
}

// members returns the live members, this node included.
func (f *keyFreshness) members() []freshness.Member {
	list := make([]freshness.Member, 0, f.node.directory.Snapshot().Len())
	for _, m := range f.node.directory.Snapshot().Nodes() {
		if m.Status == registry.Alive && m.ID != f.node.ID() {
			list = append(list, freshness.Member{ID: m.ID, FailureDomain: m.FailureDomain, Region: m.Region})
		}
	}
	s := f.node.opts.Settings.Node
	return append(list, freshness.Member{ID: f.node.ID(), FailureDomain: s.FailureDomain, Region: s.Region})
}
