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
	// shortTick is the tick interval of every core while faults are injected, and
	// longTick the interval while the simulation only waits.
	//
	// deathTimeout is the time after which a node without a new record is dead in
	// a view. viewSettleTime is the time after which the view of every connected
	// node must reflect a crash, drain or pause.
	shortTick      = 500 * time.Millisecond
	longTick       = 2500 * time.Millisecond
	deathTimeout   = 5 * time.Second
	viewSettleTime = deathTimeout + 2*longTick
)

// stubDetector reports the last sample as its verdict.
type stubDetector struct{ failing bool }

func (d *stubDetector) SetWeight(float64)         {}
func (d *stubDetector) Observe(s ejection.Sample) { d.failing = s.Failure }
func (d *stubDetector) Failing(time.Time) bool    { return d.failing }
func (d *stubDetector) Reset()                    { d.failing = false }
func (d *stubDetector) Verdict(time.Time) ejection.Verdict {
	return ejection.Verdict{Failing: d.failing, Score: 1, Evidence: []event.Field{}}
}

// server is the actual state of a backend server.
type server struct {
	id      registry.BackendID
	owner   *owner
	failing bool
	// unavailable is set while the server is crashed or draining.
	unavailable      bool
	unavailableSince time.Time
}

// nodeRecord is what a node publishes about itself.
type nodeRecord struct {
	incarnation uint64
	receivedAt  time.Time
	// servers holds the servers that are neither crashed nor draining. The value
	// reports whether the server is ejected.
	servers map[registry.BackendID]bool
}

type owner struct {
	id          registry.NodeID
	domain      string
	incarnation uint64
	holder      *Holder
	core        *ejection.Core
	// paused stops all processing of the node until resume is called.
	paused      bool
	pausedSince time.Time
	inbox       []func()
	// consideredDead is set once another node has considered this running node dead
	// for ReclaimAfterDead. The node may continue to use a permit that the other node
	// reclaimed. This is safe, because its servers are not in the view that the
	// reclaim is based on.
	consideredDead bool
	records        map[registry.NodeID]nodeRecord
	deadSince      map[registry.NodeID]time.Time
}

// simulation runs six owner nodes against one ledger object in the platform, with
// faults.
type simulation struct {
	rng      *rand.Rand
	now      time.Time
	floor    int
	owners   []*owner
	servers  []*server
	blocked  map[[2]registry.NodeID]bool
	disabled Check
	lastID   int

	platformDown   bool
	lossRate       float64
	staleRate      float64
	ledgerVersions [][]byte
	scheduled      []delivery

	permitUses map[string]string
	violations map[string]string
	ejections  int
}

type delivery struct {
	at time.Time
	to *owner
	f  func()
}

func newSimulation(seed int64, disabled Check) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewSource(seed)), now: time.Unix(1_700_000_000, 0), disabled: disabled,
		blocked: map[[2]registry.NodeID]bool{}, permitUses: map[string]string{}, violations: map[string]string{},
	}
	sim.floor = 7 + sim.rng.Intn(4)
	for i := range 6 {
		o := &owner{id: registry.NodeID(fmt.Sprint("n", i)), domain: fmt.Sprint("d", i/2), incarnation: 1}
		sim.owners = append(sim.owners, o)
		sim.startProcess(o)
		for j := range 2 {
			sim.servers = append(sim.servers, &server{id: registry.BackendID(fmt.Sprint("b", 2*i+j)), owner: o})
		}
	}
	return sim
}

// startProcess replaces the process of a node, as a restart does.
func (sim *simulation) startProcess(o *owner) {
	o.consideredDead = false
	o.records, o.deadSince, o.inbox = map[registry.NodeID]nodeRecord{}, map[registry.NodeID]time.Time{}, nil
	o.core = ejection.New(ejection.Options{
		NewDetector:  func() ejection.Detector { return &stubDetector{} },
		ConfirmShort: -1, ConfirmLong: -1, ConfirmSamples: -1,
		IgnorePermitPosition: sim.disabled&CheckPosition != 0,
	})
	o.holder = NewHolder(Options{
		Node: o.id, Incarnation: o.incarnation, Disabled: sim.disabled, Jitter: sim.rng.Float64, Refresh: time.Minute,
		View:  func(registry.ServiceID) (View, bool) { return sim.view(o), true },
		NewID: func() string { sim.lastID++; return fmt.Sprint(o.id, "/", sim.lastID) },
	})
	o.holder.Track(sim.now, service)
}

func (sim *simulation) recordViolation(name, detail string) {
	if _, ok := sim.violations[name]; !ok {
		sim.violations[name] = fmt.Sprintf("at %s: %s", sim.now.UTC().Format("15:04:05.0"), detail)
	}
}

// deliver runs f at a node after a delay of up to a second. A paused node runs it
// when it resumes.
func (sim *simulation) deliver(to *owner, f func()) {
	holder := to.holder
	sim.scheduled = append(sim.scheduled, delivery{sim.now.Add(time.Duration(sim.rng.Intn(1000)) * time.Millisecond), to, func() {
		if to.holder == holder {
			f()
		}
	}})
}

func (sim *simulation) runDue() {
	due := sim.scheduled
	sim.scheduled = nil
	slices.SortStableFunc(due, func(a, b delivery) int { return a.at.Compare(b.at) })
	for _, d := range due {
		switch {
		case d.at.After(sim.now):
			sim.scheduled = append(sim.scheduled, d)
		case d.to.paused:
			d.to.inbox = append(d.to.inbox, d.f)
		default:
			d.f()
		}
	}
}

// dispatch processes the outputs of a holder.
func (sim *simulation) dispatch(o *owner) {
	for _, out := range o.holder.TakeOutputs() {
		switch out.Kind {
		case ReadLedger:
			version := len(sim.ledgerVersions)
			if sim.rng.Float64() < sim.staleRate {
				version = max(0, version-1-sim.rng.Intn(5))
			}
			err := error(nil)
			var value []byte
			switch {
			case sim.platformDown:
				err = platform.ErrUnavailable
			case version == 0:
				err = platform.ErrNotFound
			default:
				value = sim.ledgerVersions[version-1]
			}
			sim.deliver(o, func() { o.holder.ReadDone(sim.now, service, value, uint64(version), err) })
		case WriteLedger:
			err := error(nil)
			switch {
			case sim.platformDown:
				err = platform.ErrUnavailable
			case out.Version != uint64(len(sim.ledgerVersions)):
				err = platform.ErrConflict
			default:
				sim.ledgerVersions = append(sim.ledgerVersions, out.Value)
				if sim.rng.Float64() < sim.lossRate {
					err = platform.ErrUnavailable
				}
			}
			version := uint64(len(sim.ledgerVersions))
			sim.deliver(o, func() { o.holder.WriteDone(sim.now, service, version, err) })
		case RequestTransfer:
			sim.transfer(o, out)
		case Granted:
			o.core.PermitGranted(sim.now, out.Backend, ejection.Permit{ID: out.Permit, Position: out.Position})
		case Refused:
			o.core.PermitRefused(sim.now, out.Backend, out.Reason)
		case Revoked:
			o.core.PermitRevoked(sim.now, out.Backend)
		}
	}
}

// transfer simulates one RPC to a peer. The request or the response may be lost.
func (sim *simulation) transfer(from *owner, out Output) {
	to := sim.owners[slices.IndexFunc(sim.owners, func(o *owner) bool { return o.id == out.Peer })]
	lost := errors.New("no response")
	responded := false
	respond := func(resp TransferResponse, err error) {
		if !responded {
			responded = true
			from.holder.TransferDone(sim.now, service, out.RequestID, resp, err)
		}
	}
	sim.deliver(from, func() { sim.deliver(from, func() { respond(TransferResponse{}, lost) }) })
	if sim.blocked[[2]registry.NodeID{from.id, to.id}] {
		return
	}
	sim.deliver(to, func() {
		resp := to.holder.HandleTransfer(sim.now, TransferRequest{ID: out.RequestID, Service: service, Node: from.id})
		if !sim.blocked[[2]registry.NodeID{to.id, from.id}] && sim.rng.Float64() >= sim.lossRate {
			sim.deliver(from, func() { respond(resp, nil) })
		}
	})
}

// wait advances the simulation by d in long ticks.
func (sim *simulation) wait(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.tick(longTick)
	}
}

// tick advances every running node by one step.
func (sim *simulation) tick(step time.Duration) {
	sim.now = sim.now.Add(step)
	sim.gossip()
	sim.runDue()
	order := sim.rng.Perm(len(sim.owners))
	decisions := make([][]ejection.Decision, len(sim.owners))
	// All cores decide on the same records before any decision is applied.
	for _, i := range order {
		if o := sim.owners[i]; !o.paused {
			for _, s := range sim.servers {
				if s.owner == o && !s.unavailable && o.core.State(s.id) != ejection.Ejected {
					kind := evidence.Success
					if s.failing {
						kind = evidence.Timeout
					}
					for range 3 {
						o.core.Observe(evidence.Observation{Backend: s.id, Service: service, Kind: kind, At: sim.now})
					}
				}
			}
			o.holder.Tick(sim.now)
			sim.dispatch(o)
			v := sim.view(o)
			decisions[i] = o.core.Tick(sim.now, ejection.View{service: {
				Floor: v.Floor, Serving: v.Serving, Ejected: len(v.Ejected), Capacity: float64(v.Serving)}})
		}
	}
	for _, i := range order {
		for _, d := range decisions[i] {
			sim.apply(sim.owners[i], d)
		}
	}
}

func (sim *simulation) apply(o *owner, d ejection.Decision) {
	switch d.Action {
	case ejection.RequestPermit:
		o.holder.Request(sim.now, service, d.Backend)
	case ejection.ReleasePermit:
		o.holder.Release(sim.now, service, d.Backend)
	case ejection.Eject:
		sim.ejections++
		use := string(o.id) + " for " + string(d.Backend)
		if old := cmp.Or(sim.permitUses[d.Permit.ID], use); old != use {
			sim.recordViolation("permit_once", d.Permit.ID+" used by "+old+" and by "+use)
		}
		sim.permitUses[d.Permit.ID] = use
		if l := sim.ledger(); l.Position(d.Permit.ID) == 0 && !o.consideredDead {
			sim.recordViolation("permit_listed", d.Permit.ID+" is not in the ledger, used by "+use)
		}
		if n := sim.actuallyServing(); n < sim.floor {
			sim.recordViolation("floor", fmt.Sprintf("ejecting %s leaves %d serving, floor %d", d.Backend, n, sim.floor))
		}
	}
	sim.dispatch(o)
}

// actuallyServing counts the servers that serve. A server that became unavailable
// within viewSettleTime counts too, because a view may not show this yet.
func (sim *simulation) actuallyServing() int {
	n := 0
	for _, s := range sim.servers {
		gone := s.unavailable && sim.now.Sub(s.unavailableSince) >= viewSettleTime || s.owner.paused && sim.now.Sub(s.owner.pausedSince) >= viewSettleTime
		if !gone && s.owner.core.State(s.id) != ejection.Ejected {
			n++
		}
	}
	return n
}

// ledger returns the ledger as stored in the platform.
func (sim *simulation) ledger() Ledger {
	if len(sim.ledgerVersions) == 0 {
		return Ledger{}
	}
	l, err := Parse(sim.ledgerVersions[len(sim.ledgerVersions)-1])
	if err != nil {
		panic(err)
	}
	return l
}

// leakedPermits returns the permits in the ledger that no node holds. A reclaimed
// reservation counts as leaked only some time after its quarantine, because a
// node must read the ledger to remove it.
func (sim *simulation) leakedPermits() []string {
	var out []string
	l := sim.ledger()
	known := map[string]bool{}
	for _, o := range sim.owners {
		for id := range maps.Keys(o.holder.serviceState(sim.now, service).held) {
			known[id] = true
		}
	}
	for _, e := range l.Entries {
		expired := sim.now.Sub(time.UnixMilli(e.ReclaimedUnixMillis)) >= reclaimQuarantine+3*time.Minute
		if !known[e.Permit] && (e.State != Reclaimed || expired) {
			out = append(out, fmt.Sprintf("%+v", e))
		}
	}
	return out
}
