package node

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/metrics"
)

const (
	departurePrefix = "departures/"
	// keepDepartures is how long after a departure an outdated announcement may arrive
	// if backend servers do not change their owner.
	keepDepartures = time.Minute
	// departureWait bounds how long an announcement waits for the departures to be read
	// or written. The sender expects the acknowledgment within a second.
	departureWait = 600 * time.Millisecond
	// departureTimeout bounds a call. Its result serves later announcements even if the
	// announcement that caused it waits no longer.
	departureTimeout  = 2 * time.Second
	departureRetry    = 200 * time.Millisecond
	maxDepartureRetry = 10 * time.Second
)

// departureCalls are the durations of the calls to the platform that read and write the
// departures, by result.
var departureCalls = metrics.NewHistograms("departures")

// departures keeps the acknowledged departures of this node's backend servers, and the
// drains that operators requested, on the platform, so that they bind later processes of
// the node. A node reads them once at its start, unless the whole fleet starts for the first
// time, and writes them after each change.
type departures struct {
	platform platform.Client
	key      string
	log      *zap.Logger
	// wait bounds how long an announcement waits; 0 means that it does not wait.
	wait time.Duration
	// current returns the value to write, and recall applies a value that was read.
	current func() storedDepartures
	recall  func(storedDepartures)

	recalled chan struct{} // closed when the departures were read
	changed  chan struct{} // signals that waiters is not empty

	mu      sync.Mutex
	waiters []chan struct{} // each is closed when the change was written
	version uint64          // of the object on the platform; used by run only
	written time.Time       // when the object was last written
}

// storedDepartures is the value of the object on the platform.
type storedDepartures struct {
	Departures []storedDeparture `json:"departures"`
	// Drained are the backend servers that an operator drains, with their starts.
	Drained map[registry.BackendID]uint64 `json:"drained,omitempty"`
}

type storedDeparture struct {
	Backend     registry.BackendID `json:"backend"`
	Incarnation uint64             `json:"incarnation"`
	// Sequence is that of the announced drain; 0 stands for a release.
	Sequence uint64 `json:"sequence,omitempty"`
	AtMillis int64  `json:"at_millis"`
}

func storeDepartures(list []ownership.Departure) []storedDeparture {
	stored := make([]storedDeparture, 0, len(list))
	for _, d := range list {
		s := storedDeparture{Backend: d.Backend, Incarnation: d.Incarnation, Sequence: d.Sequence, AtMillis: d.At.UnixMilli()}
		if d.Released() {
			s.Sequence = 0
		}
		stored = append(stored, s)
	}
	return stored
}

func (s storedDepartures) list() []ownership.Departure {
	list := make([]ownership.Departure, 0, len(s.Departures))
	for _, d := range s.Departures {
		departure := ownership.Departure{Backend: d.Backend, Incarnation: d.Incarnation, Sequence: d.Sequence, At: time.UnixMilli(d.AtMillis)}
		if d.Sequence == 0 {
			departure.Sequence = math.MaxUint64
		}
		list = append(list, departure)
	}
	return list
}

func (n *Node) newDepartures() *departures {
	d := &departures{
		platform: n.platform, key: departurePrefix + string(n.ID()), log: n.log,
		current: n.records.departures, recall: n.recallDepartures,
		recalled: make(chan struct{}), changed: make(chan struct{}, 1),
	}
	if n.opts.Adapter != nil {
		d.wait = departureWait
	}
	if n.opts.Settings.FirstStart() {
		// If an object exists all the same, the first write conflicts with it and reads it.
		close(d.recalled)
	}
	return d
}

// recallDepartures applies the departures that earlier processes of this node have
// acknowledged.
func (n *Node) recallDepartures(stored storedDepartures) {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	for _, ended := range n.records.recall(stored) {
		n.removeBackend(ended)
	}
	for _, o := range n.records.leases.Owned() {
		n.upsertBackend(o.Announcement)
	}
	n.requestPublication()
}

// awaitRecall waits until the departures were read, as long as an announcement may wait.
func (d *departures) awaitRecall() { d.await(d.recalled) }

// save writes the departures and waits for it, as long as an announcement may wait. The
// write goes on until it succeeds.
func (d *departures) save() {
	written := make(chan struct{})
	d.mu.Lock()
	d.waiters = append(d.waiters, written)
	d.mu.Unlock()
	select {
	case d.changed <- struct{}{}:
	default:
	}
	if !d.await(written) && d.wait > 0 {
		d.log.Warn("departure acknowledged before it was written to the platform")
	}
}

// writeAgain writes the departures again if they were written so recently that they still bind.
func (d *departures) writeAgain() {
	d.mu.Lock()
	recent := !d.written.IsZero() && time.Since(d.written) < keepDepartures
	if recent {
		d.waiters = append(d.waiters, make(chan struct{}))
	}
	d.mu.Unlock()
	if recent {
		select {
		case d.changed <- struct{}{}:
		default:
		}
	}
}

// await waits for a channel to be closed, and reports whether it was.
func (d *departures) await(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
	}
	timer := time.NewTimer(d.wait)
	defer timer.Stop()
	select {
	case <-ch:
		return true
	case <-timer.C:
		return false
	}
}

// run reads the departures and writes them after each change, until ctx is done.
func (d *departures) run(ctx context.Context) error {
	delay := departureRetry
	for {
		err := d.step(ctx)
		if err == nil {
			delay = departureRetry
			select {
			case <-d.changed:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		if ctx.Err() != nil {
			return nil
		}
		d.log.Warn("cannot keep departures on the platform", zap.Error(err))
		if !sleep(ctx, delay/2+rand.N(delay)) {
			return nil
		}
		delay = min(2*delay, maxDepartureRetry)
	}
}

// step reads the departures if they are not known, and writes the changes.
func (d *departures) step(ctx context.Context) error {
	if !closedNow(d.recalled) {
		if err := d.read(ctx); err != nil {
			return err
		}
		close(d.recalled)
	}
	d.mu.Lock()
	waiters := d.waiters
	d.waiters = nil
	d.mu.Unlock()
	if len(waiters) == 0 {
		return nil
	}
	if err := d.write(ctx); err != nil {
		d.mu.Lock()
		d.waiters = append(waiters, d.waiters...)
		d.mu.Unlock()
		return err
	}
	for _, w := range waiters {
		close(w)
	}
	return nil
}

func closedNow(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// read reads the departures of earlier processes and applies them.
func (d *departures) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
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
	d.recall(stored)
	return nil
}

// write writes the departures. After a conflict it reads those of the other writer, which
// is an earlier process of this node or a write of its own whose answer was lost.
func (d *departures) write(ctx context.Context) error {
	value, err := json.Marshal(d.current())
	if err != nil {
		return fault.New("encode departures", d.key, err)
	}
	callCtx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	start := time.Now()
	object, err := d.platform.Put(callCtx, d.key, value, d.version)
	observeDepartureCall("write", start, err)
	if err == nil {
		d.version = object.Version
		d.mu.Lock()
		d.written = start
		d.mu.Unlock()
		return nil
	}
	if errors.Is(err, platform.ErrConflict) {
		return errors.Join(err, d.read(ctx))
	}
	return err
}

func observeDepartureCall(call string, start time.Time, err error) {
	if err != nil {
		call += "_failed"
	}
	departureCalls.Observe(call, time.Since(start))
}
