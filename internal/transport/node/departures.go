package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/durable"
	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/transport/metrics"
)

const (
	departurePrefix = "departures/"
	// keepDepartures is how long after a departure an outdated announcement may arrive
	// if backend servers do not change their owner.
	keepDepartures = time.Minute
	// announcementWait bounds how long an announcement waits for the departures to be read or
	// written. The sender expects the acknowledgment within a second.
	announcementWait = 600 * time.Millisecond
	// operatorWait bounds how long the request of an operator waits for it. A node that forwards
	// the request waits for 1.5 s.
	operatorWait = time.Second
	// departureTimeout bounds a call. Its result serves later announcements even if the
	// announcement that caused it waits no longer.
	departureTimeout = 2 * time.Second
	departureRetry   = 200 * time.Millisecond
	// maxDepartureRetry bounds the delay of a repeated call that nothing waits for.
	maxDepartureRetry = time.Second
	// generationCheckInterval bounds how long a lost departure stays unnoticed. A check costs a
	// tenth of a read.
	generationCheckInterval = time.Second
	// departureRewriteSpread spreads the writes of the nodes that have recent departures. All
	// 2,100 nodes together stay below the 1,200 writes a second of the platform.
	departureRewriteSpread = 2 * time.Second
	// idleRewriteSpread spreads the writes of 2,100 nodes without recent departures, which only
	// state that nothing is missing.
	idleRewriteSpread = 5 * time.Second
)

// departureCalls are the durations of the calls to the platform that read and write the
// departures, by result, and of the waits of acknowledgments.
var departureCalls = metrics.NewHistograms("departures")

// departures keeps the departures of this node's backend servers, and the drains that
// operators requested, on the platform, so that they bind later processes of the node. What is
// called when, and what may be acknowledged, is decided by durable.Core.
type departures struct {
	platform platform.Client
	key      string
	log      *zap.Logger
	// wait bounds how long an announcement waits; 0 means that it does not wait, because
	// announcements prove when they were sent.
	wait time.Duration
	// current returns the value to write. recall applies a value that was read; until
	// completeFrom, departures may be missing in it.
	current func() storedDepartures
	recall  func(stored storedDepartures, completeFrom time.Time)

	changed chan struct{} // signals that the next step of the core may have changed

	mu       sync.Mutex
	core     *durable.Core
	progress chan struct{} // closed and replaced after each call
	version  uint64        // of the object on the platform; used by run only
}

func (n *Node) newDepartures() *departures {
	d := &departures{
		platform: n.platform, key: departurePrefix + string(n.ID()), log: n.log,
		current: n.records.departures, recall: n.recallDepartures,
		changed: make(chan struct{}, 1), progress: make(chan struct{}),
		core: durable.New(durable.Options{
			Start: time.Now(),
			// If an object exists all the same, the first write conflicts with it and reads it.
			FirstStart:    n.opts.Settings.FirstStart(),
			Lateness:      keepDepartures,
			CheckInterval: generationCheckInterval,
			RewriteSpread: departureRewriteSpread,
			IdleSpread:    idleRewriteSpread,
			Rand:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
	}
	if n.opts.Adapter != nil {
		d.wait = announcementWait
	}
	return d
}

// recallDepartures applies the departures that earlier processes of this node have
// acknowledged.
func (n *Node) recallDepartures(stored storedDepartures, completeFrom time.Time) {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	for _, ended := range n.records.recall(stored, completeFrom) {
		n.removeBackend(ended)
	}
	for _, o := range n.records.leases.Owned() {
		n.upsertBackend(o.Announcement)
	}
	n.requestPublication()
}

// awaitRecall waits until the departures were read, as long as an announcement may wait.
func (d *departures) awaitRecall() { d.await(d.wait, d.core.Known) }

// changedNow requests a write of the departures.
func (d *departures) changedNow() {
	d.mu.Lock()
	d.core.Promise(time.Now())
	d.mu.Unlock()
	d.wake()
}

// awaitStored waits until the platform has stored all departures, at most for the given time.
// It reports whether they may be acknowledged.
func (d *departures) awaitStored(wait time.Duration) bool {
	start := time.Now()
	d.mu.Lock()
	d.core.Expedite(start)
	d.mu.Unlock()
	d.wake() // A call that has failed is repeated now.
	if d.await(wait, func() bool {
		d.observeLocked(d.generation())
		return d.core.Stored()
	}) {
		departureCalls.Observe("acknowledged", time.Since(start))
		return true
	}
	departureCalls.Observe("not_acknowledged", time.Since(start))
	return false
}

// observeGeneration reports the highest generation that was seen in a response of the platform.
func (d *departures) observeGeneration(generation uint64) {
	d.mu.Lock()
	d.observeLocked(generation)
	d.mu.Unlock()
	d.wake()
}

func (d *departures) observeLocked(generation uint64) {
	if !d.core.Observe(time.Now(), generation) {
		return
	}
	d.log.Warn("the platform returned to older data; this node checks its objects",
		zap.Uint64("generation", generation), zap.Bool("departures_may_be_lost", !d.core.Stored()))
}

func (d *departures) wake() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// await waits until a condition holds that changes with calls only, and reports whether it does.
func (d *departures) await(wait time.Duration, holds func() bool) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		d.mu.Lock()
		ok, progress := holds(), d.progress
		d.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-progress:
		case <-timer.C:
			return false
		}
	}
}

// run makes the calls that the core asks for, until ctx is done.
func (d *departures) run(ctx context.Context) error {
	for delay := departureRetry; ctx.Err() == nil; {
		d.mu.Lock()
		step := d.core.Next(time.Now())
		d.mu.Unlock()
		if !d.awaitStep(ctx, step) {
			continue
		}
		err := d.call(ctx, step.Action)
		if err == nil {
			delay = departureRetry
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		d.log.Warn("cannot keep departures on the platform", zap.Error(err))
		d.awaitRetry(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxDepartureRetry)
	}
	return nil
}

// awaitRetry waits before a failed call is repeated. An announcement or an operator that waits for
// it shortens the wait.
func (d *departures) awaitRetry(ctx context.Context, wait time.Duration) {
	atLeast := min(wait, departureRetry)
	if !sleep(ctx, atLeast) {
		return
	}
	timer := time.NewTimer(wait - atLeast)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.changed:
	case <-ctx.Done():
	}
}

// awaitStep waits until a step is due. It reports false if there may be another one.
func (d *departures) awaitStep(ctx context.Context, step durable.Step) bool {
	var due <-chan time.Time
	if step.Action != durable.Wait {
		timer := time.NewTimer(time.Until(step.At))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
		return true
	case <-d.changed:
	case <-ctx.Done():
	}
	return false
}

// call makes a call to the platform and reports its result to the core.
func (d *departures) call(ctx context.Context, action durable.Action) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	defer d.notify()
	switch action {
	case durable.Read:
		return d.read(ctx)
	case durable.Write:
		return d.write(ctx)
	default:
		return d.check(ctx)
	}
}

// notify lets the waiting announcements look again.
func (d *departures) notify() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.progress)
	d.progress = make(chan struct{})
}

// generation returns the highest generation of the platform's data in any response; 0 if the
// platform does not tell.
func (d *departures) generation() uint64 {
	if g, ok := d.platform.(platform.Generations); ok {
		return g.Generation()
	}
	return 0
}

// read reads the departures of earlier processes and applies them.
func (d *departures) read(ctx context.Context) error {
	start := time.Now()
	object, err := d.platform.Get(ctx, d.key)
	if errors.Is(err, platform.ErrNotFound) {
		object, err = platform.Object{}, nil
	}
	observeDepartureCall("read", start, err)
	if err != nil {
		return err
	}
	var stored storedDepartures
	if len(object.Value) > 0 {
		if err := json.Unmarshal(object.Value, &stored); err != nil {
			d.log.Warn("replacing malformed departures", zap.Error(err))
		}
	}
	d.version = object.Version
	d.mu.Lock()
	defer d.mu.Unlock()
	// A later generation than that of the response only makes the core more careful.
	d.core.Recalled(time.Now(), durable.Object{
		Complete: stored.Generation, Generation: d.generation(), Promises: !stored.empty(),
	})
	completeFrom := d.core.CompleteFrom()
	d.log.Info("read the departures of earlier processes", zap.Int("departures", len(stored.Departures)),
		zap.Int("drained", len(stored.Drained)), zap.Uint64("complete_in_generation", stored.Generation),
		zap.Bool("may_be_incomplete", !completeFrom.IsZero()))
	d.recall(stored, completeFrom)
	return nil
}

// write writes the departures. After a conflict it reads those of the other writer, which
// is an earlier process of this node, a write of its own whose answer was lost, or a write that
// the platform has lost.
func (d *departures) write(ctx context.Context) error {
	d.mu.Lock()
	pending := d.core.Begin(time.Now())
	d.mu.Unlock()
	stored := d.current()
	stored.Generation = pending.Complete
	value, err := json.Marshal(stored)
	if err != nil {
		return fault.New("encode departures", d.key, err)
	}
	start := time.Now()
	object, err := d.platform.Put(ctx, d.key, value, d.version)
	observeDepartureCall("write", start, err)
	if err == nil {
		d.version = object.Version
		d.mu.Lock()
		defer d.mu.Unlock()
		d.core.Written(time.Now(), pending, object.Generation)
		return nil
	}
	if errors.Is(err, platform.ErrConflict) {
		return errors.Join(err, d.read(ctx))
	}
	return err
}

// check reads the generation of the platform's data.
func (d *departures) check(ctx context.Context) error {
	start := time.Now()
	var err error
	if g, ok := d.platform.(platform.Generations); ok {
		err = g.RefreshGeneration(ctx, d.key)
	}
	observeDepartureCall("check", start, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Checked(time.Now())
	d.observeLocked(d.generation())
	return err
}

func observeDepartureCall(call string, start time.Time, err error) {
	if err != nil {
		call += "_failed"
	}
	departureCalls.Observe(call, time.Since(start))
}
