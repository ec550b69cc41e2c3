package floor

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ejection"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	service registry.ServiceID = "booking"
	// step is the tick of every core, and stride its longest value, used while
	// no fault is due; lapse is the time after which a silent
	// node is dead in a view; grace is the time after which every view of a
	// connected node must have seen a crash, drain or pause.
	step   = 500 * time.Millisecond
	stride = 2500 * time.Millisecond
	lapse  = 5 * time.Second
	grace  = lapse + 2*stride
)

// sick is a detector that is told its verdict.
type sick struct{ failing bool }

func (d *sick) SetWeight(float64)         {}
func (d *sick) Observe(s ejection.Sample) { d.failing = s.Failure }
func (d *sick) Failing(time.Time) bool    { return d.failing }
func (d *sick) Reset()                    { d.failing = false }
func (d *sick) Verdict(time.Time) ejection.Verdict {
	return ejection.Verdict{Failing: d.failing, Score: 1, Evidence: []event.Field{}}
}

// server is a backend server in truth.
type server struct {
	id    registry.BackendID
	owner *owner
	sick  bool
	// out is set while it has crashed or drains, since the given time.
	out   bool
	since time.Time
}

// record is what a node publishes about itself.
type record struct {
	incarnation uint64
	heard       time.Time
	// servers maps the servers that are neither crashed nor draining to whether
	// they are ejected.
	servers map[registry.BackendID]bool
}

type owner struct {
	id          registry.NodeID
	domain      string
	incarnation uint64
	holder      *Holder
	core        *ejection.Core
	// paused stops all processing of the node until it wakes.
	paused bool
	since  time.Time
	inbox  []func()
	// cutOff is set while the node ran and another node held it for vanished. It
	// may go on using a permit that the other node reclaimed; this is safe,
	// because its servers are not in the view that the reclaim is based on.
	cutOff bool
	views  map[registry.NodeID]record
	gone   map[registry.NodeID]time.Time
}

// world runs owner cores against one platform object, with faults.
type world struct {
	rng      *rand.Rand
	now      time.Time
	floor    int
	owners   []*owner
	servers  []*server
	blocked  map[[2]registry.NodeID]bool
	disabled Check
	ids      int

	down     bool
	lossRate float64
	stale    float64
	history  [][]byte
	later    []delivery

	usedFor    map[string]string
	violations map[string]string
	ejections  int
}

type delivery struct {
	at time.Time
	to *owner
	f  func()
}

func newWorld(seed int64, disabled Check) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), now: time.Unix(1_700_000_000, 0), disabled: disabled,
		blocked: map[[2]registry.NodeID]bool{}, usedFor: map[string]string{}, violations: map[string]string{},
	}
	w.floor = 7 + w.rng.Intn(4)
	for i := range 6 {
		o := &owner{id: registry.NodeID(fmt.Sprint("n", i)), domain: fmt.Sprint("d", i/2), incarnation: 1}
		w.owners = append(w.owners, o)
		w.start(o)
		for j := range 2 {
			w.servers = append(w.servers, &server{id: registry.BackendID(fmt.Sprint("b", 2*i+j)), owner: o})
		}
	}
	return w
}

// start gives a node a new process.
func (w *world) start(o *owner) {
	o.cutOff = false
	o.views, o.gone, o.inbox = map[registry.NodeID]record{}, map[registry.NodeID]time.Time{}, nil
	o.core = ejection.New(ejection.Options{
		NewDetector:  func() ejection.Detector { return &sick{} },
		ConfirmShort: -1, ConfirmLong: -1, ConfirmSamples: -1,
		IgnorePermitPosition: w.disabled&CheckPosition != 0,
	})
	o.holder = NewHolder(Options{
		Node: o.id, Incarnation: o.incarnation, Disabled: w.disabled, Jitter: w.rng.Float64, Refresh: time.Minute,
		View:  func(registry.ServiceID) (View, bool) { return w.view(o), true },
		NewID: func() string { w.ids++; return fmt.Sprint(o.id, "/", w.ids) },
	})
	o.holder.Track(w.now, service)
}

func (w *world) violated(name, detail string) {
	if _, ok := w.violations[name]; !ok {
		w.violations[name] = fmt.Sprintf("at %s: %s", w.now.UTC().Format("15:04:05.0"), detail)
	}
}

// deliver runs f at a node after a delay of up to a second. A node that is
// paused runs it when it wakes.
func (w *world) deliver(to *owner, f func()) {
	holder := to.holder
	w.later = append(w.later, delivery{w.now.Add(time.Duration(w.rng.Intn(1000)) * time.Millisecond), to, func() {
		if to.holder == holder {
			f()
		}
	}})
}

func (w *world) flush() {
	due := w.later
	w.later = nil
	slices.SortStableFunc(due, func(a, b delivery) int { return a.at.Compare(b.at) })
	for _, d := range due {
		switch {
		case d.at.After(w.now):
			w.later = append(w.later, d)
		case d.to.paused:
			d.to.inbox = append(d.to.inbox, d.f)
		default:
			d.f()
		}
	}
}

// dispatch carries out the outputs of a holder.
func (w *world) dispatch(o *owner) {
	for _, out := range o.holder.TakeOutputs() {
		switch out.Kind {
		case ReadLedger:
			version := len(w.history)
			if w.rng.Float64() < w.stale {
				version = max(0, version-1-w.rng.Intn(5))
			}
			err := error(nil)
			var value []byte
			switch {
			case w.down:
				err = platform.ErrUnavailable
			case version == 0:
				err = platform.ErrNotFound
			default:
				value = w.history[version-1]
			}
			w.deliver(o, func() { o.holder.ReadDone(w.now, service, value, uint64(version), err) })
		case WriteLedger:
			err := error(nil)
			switch {
			case w.down:
				err = platform.ErrUnavailable
			case out.Version != uint64(len(w.history)):
				err = platform.ErrConflict
			default:
				w.history = append(w.history, out.Value)
				if w.rng.Float64() < w.lossRate {
					err = platform.ErrUnavailable
				}
			}
			version := uint64(len(w.history))
			w.deliver(o, func() { o.holder.WriteDone(w.now, service, version, err) })
		case RequestTransfer:
			w.transfer(o, out)
		case Granted:
			o.core.PermitGranted(w.now, out.Backend, ejection.Permit{ID: out.Permit, Position: out.Position})
		case Refused:
			o.core.PermitRefused(w.now, out.Backend, out.Reason)
		case Revoked:
			o.core.PermitRevoked(w.now, out.Backend)
		}
	}
}

// transfer carries one RPC; it may reach the peer without an answer coming back.
func (w *world) transfer(from *owner, out Output) {
	to := w.owners[slices.IndexFunc(w.owners, func(o *owner) bool { return o.id == out.Peer })]
	lost := errors.New("no answer")
	answered := false
	answer := func(a TransferResponse, err error) {
		if !answered {
			answered = true
			from.holder.TransferDone(w.now, service, out.RequestID, a, err)
		}
	}
	w.deliver(from, func() { w.deliver(from, func() { answer(TransferResponse{}, lost) }) })
	if w.blocked[[2]registry.NodeID{from.id, to.id}] {
		return
	}
	w.deliver(to, func() {
		a := to.holder.HandleTransfer(w.now, TransferRequest{ID: out.RequestID, Service: service, Node: from.id})
		if !w.blocked[[2]registry.NodeID{to.id, from.id}] && w.rng.Float64() >= w.lossRate {
			w.deliver(from, func() { answer(a, nil) })
		}
	})
}

// wait advances the world by d in long steps.
func (w *world) wait(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.tick(stride)
	}
}

// tick advances every running node by one step.
func (w *world) tick(step time.Duration) {
	w.now = w.now.Add(step)
	w.gossip()
	w.flush()
	order := w.rng.Perm(len(w.owners))
	decisions := make([][]ejection.Decision, len(w.owners))
	// All cores decide on the same gossip before any decision is known.
	for _, i := range order {
		if o := w.owners[i]; !o.paused {
			for _, s := range w.servers {
				if s.owner == o && !s.out && o.core.State(s.id) != ejection.Ejected {
					kind := evidence.Success
					if s.sick {
						kind = evidence.Timeout
					}
					for range 3 {
						o.core.Observe(evidence.Observation{Backend: s.id, Service: service, Kind: kind, At: w.now})
					}
				}
			}
			o.holder.Tick(w.now)
			w.dispatch(o)
			v := w.view(o)
			decisions[i] = o.core.Tick(w.now, ejection.View{service: {
				Floor: v.Floor, Serving: v.Serving, Ejected: len(v.Ejected), Capacity: float64(v.Serving)}})
		}
	}
	for _, i := range order {
		for _, d := range decisions[i] {
			w.apply(w.owners[i], d)
		}
	}
}

func (w *world) apply(o *owner, d ejection.Decision) {
	switch d.Action {
	case ejection.RequestPermit:
		o.holder.Request(w.now, service, d.Backend)
	case ejection.ReleasePermit:
		o.holder.Release(w.now, service, d.Backend)
	case ejection.Eject:
		w.ejections++
		use := string(o.id) + " for " + string(d.Backend)
		if old := cmp.Or(w.usedFor[d.Permit.ID], use); old != use {
			w.violated("permit_once", d.Permit.ID+" used by "+old+" and by "+use)
		}
		w.usedFor[d.Permit.ID] = use
		if l := w.ledger(); l.Position(d.Permit.ID) == 0 && !o.cutOff {
			w.violated("permit_listed", d.Permit.ID+" is not in the ledger, used by "+use)
		}
		if n := w.trueServing(); n < w.floor {
			w.violated("floor", fmt.Sprintf("ejecting %s leaves %d serving, floor %d", d.Backend, n, w.floor))
		}
	}
	w.dispatch(o)
}

// trueServing counts what serves, including servers that left so recently that
// a view may not show it yet.
func (w *world) trueServing() int {
	n := 0
	for _, s := range w.servers {
		gone := s.out && w.now.Sub(s.since) >= grace || s.owner.paused && w.now.Sub(s.owner.since) >= grace
		if !gone && s.owner.core.State(s.id) != ejection.Ejected {
			n++
		}
	}
	return n
}

// ledger returns the true ledger.
func (w *world) ledger() Ledger {
	if len(w.history) == 0 {
		return Ledger{}
	}
	l, err := Parse(w.history[len(w.history)-1])
	if err != nil {
		panic(err)
	}
	return l
}

// leaked returns the permits in the ledger that nobody knows. A reservation in
// quarantine, or so shortly after that no node has read the ledger, is known.
func (w *world) leaked() []string {
	var out []string
	l := w.ledger()
	known := map[string]bool{}
	for _, o := range w.owners {
		for id := range maps.Keys(o.holder.book(w.now, service).held) {
			known[id] = true
		}
	}
	for _, e := range l.Entries {
		over := w.now.Sub(time.UnixMilli(e.ReclaimedUnixMillis)) >= quarantine+3*time.Minute
		if !known[e.Permit] && (e.State != Reclaimed || over) {
			out = append(out, fmt.Sprintf("%+v", e))
		}
	}
	return out
}
