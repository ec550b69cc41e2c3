package floor

import (
	"maps"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Reasons of a refused permit.
const (
	ReasonAllowance = "allowance"
	ReasonPlatform  = "platform_unavailable"
	ReasonNoView    = "service_unknown"
	ReasonPaused    = "holder_unconfirmed"
	ReasonNoReserve = "no_reserve"
	ReasonExpired   = "transfer_unconfirmed"
	ReasonFenced    = "fenced"
	ReasonContended = "ledger_contended"
)

const (
	// pauseLimit is the gap between ticks after which a holder counts as paused.
	// Its permits may have been reclaimed meanwhile.
	pauseLimit = 3 * time.Second
	// confirmWithin is how long a permit received from a peer may be used without
	// a record in the ledger, counted from before the last request to the holder
	// that gave it. It is shorter than the quarantine of a reclaimed reservation.
	confirmWithin = 5 * time.Minute
	// renewAfter is the age at which such a permit is confirmed again.
	renewAfter = 4 * time.Minute
	// freshFor is the age up to which a cached ledger is written to without
	// reading it again.
	freshFor = 5 * time.Second
	// idleFactor lengthens the refresh of a node that holds and should hold no
	// permit. It still reads now and then: the first reading after a start may
	// have been stale and have hidden an entry of the previous process.
	idleFactor = 12
	// maxCalls bounds the platform calls made for one request.
	maxCalls = 4
)

// Check names a safety mechanism, so that tests can show what it prevents.
type Check uint8

// Safety mechanisms.
const (
	CheckAllowance Check = 1 << iota
	CheckPause
	CheckReadBack
	CheckGiveOnce
	CheckPosition
)

// Options configures a Holder. Node, View and NewID are required.
type Options struct {
	Node registry.NodeID
	// Incarnation is the incarnation at the start of the process.
	Incarnation uint64
	// View returns the local view of a service, or false if it is unknown.
	View func(registry.ServiceID) (View, bool)
	// NewID returns an id that no other call in the fleet returns.
	NewID func() string
	// Jitter returns a number in [0, 1); the default is always 0.5.
	Jitter func() float64
	// Refresh is the mean time between two readings of a ledger in which nothing
	// was requested. The default is 5 min.
	Refresh time.Duration
	// BackoffMin and BackoffMax bound the wait after a platform error. The
	// defaults are 0.5 s and 30 s.
	BackoffMin, BackoffMax time.Duration
	// MaxPeers bounds the peers asked for one permit. The default is 3.
	MaxPeers int
	// Disabled switches safety mechanisms off; for tests only.
	Disabled Check
}

// OutputKind is the type of an output.
type OutputKind uint8

// Kinds of outputs.
const (
	// ReadLedger asks for the ledger; answered by ReadDone.
	ReadLedger OutputKind = iota
	// WriteLedger asks for a conditional update; answered by WriteDone.
	WriteLedger
	// RequestTransfer asks a peer for a permit; answered by TransferDone.
	RequestTransfer
	// Granted reports that a permit is held for a backend server.
	Granted
	// Refused reports that no permit could be had.
	Refused
	// Revoked reports that the permit of a backend server is no longer valid.
	Revoked
)

// Output is one step for the driver of a Holder.
type Output struct {
	Kind    OutputKind
	Service registry.ServiceID
	Backend registry.BackendID
	// Value and Version belong to Write.
	Value   []byte
	Version uint64
	// Peer and RequestID belong to Transfer.
	Peer      registry.NodeID
	RequestID string
	// Permit and Position belong to Granted.
	Permit   string
	Position int
	Reason   string
}

// held is a permit in the hands of this node.
type held struct {
	permit string
	// backend is the server it is used for; empty while in reserve.
	backend registry.BackendID
	// recorded says that the ledger lists the present use.
	recorded bool
	// from is the peer that gave the permit and request the id it was given for.
	from    registry.NodeID
	request string
	// confirmed is the time before the last request that from confirmed.
	confirmed time.Time
	// renewed is the time of the request for confirmation under way.
	renewed  time.Time
	renewing bool
	// given is the id of the request for which this node gave the permit away,
	// and givenAt the time of the last answer to it.
	given    string
	givenAt  time.Time
	position int
}

// request is a wanted permit.
type request struct {
	// id is the id of the permit if it is created in the ledger, and the request
	// id towards peers.
	id      string
	backend registry.BackendID
	calls   int
	// toPeers says that the ledger cannot help; reason says why.
	toPeers bool
	reason  string
	peers   []registry.NodeID
	listed  bool
	// asked is the peer whose answer is awaited.
	asked   registry.NodeID
	asking  bool
	askedAt time.Time
}

// book is the state of one service.
type book struct {
	service  registry.ServiceID
	ledger   Ledger
	version  uint64
	readAt   time.Time
	known    bool
	held     map[string]*held
	requests map[registry.BackendID]*request
	// minted holds the ids of reservations that this process wrote or may have
	// written.
	minted   map[string]bool
	released map[string]bool
	busy     bool
	// writing is the ledger in the write under way.
	writing *Ledger
	// readBack asks for one reading in spite of the backoff, because the answer
	// to a write was lost.
	readBack bool
	dirty    bool
	// paused says that the permits must be confirmed by a conditional update. A
	// read does not suffice, because its answer may be stale.
	paused bool
	// pauses counts the pauses, and writingAt is their number at the start of
	// the write under way: only a write that began after a pause confirms.
	pauses, writingAt int
	// refresh is the time of the next reading without a request, and hold the
	// time before which nothing but a request leads to a call.
	refresh, hold time.Time
	missing       map[registry.NodeID]time.Time
}

// Holder obtains, holds and gives away the permits of one node.
type Holder struct {
	opts     Options
	self     Actor
	books    map[registry.ServiceID]*book
	out      []Output
	lastTick time.Time
	backoff  time.Duration
	// retryAt is the time before which the platform is left alone.
	retryAt time.Time
}

// NewHolder returns a holder without permits.
func NewHolder(o Options) *Holder {
	if o.Jitter == nil {
		o.Jitter = func() float64 { return 0.5 }
	}
	if o.Refresh <= 0 {
		o.Refresh = 5 * time.Minute
	}
	if o.BackoffMin <= 0 {
		o.BackoffMin = 500 * time.Millisecond
	}
	if o.BackoffMax <= 0 {
		o.BackoffMax = 30 * time.Second
	}
	if o.MaxPeers <= 0 {
		o.MaxPeers = 3
	}
	return &Holder{opts: o, self: Actor{o.Node, o.Incarnation}, books: make(map[registry.ServiceID]*book)}
}

func (h *Holder) enabled(c Check) bool { return h.opts.Disabled&c == 0 }

func (h *Holder) book(now time.Time, id registry.ServiceID) *book {
	b := h.books[id]
	if b == nil {
		b = &book{
			service: id, held: make(map[string]*held), requests: make(map[registry.BackendID]*request),
			minted: make(map[string]bool), released: make(map[string]bool),
			missing: make(map[registry.NodeID]time.Time),
			// The first reading is spread out, so that a start of all nodes does
			// not reach the platform at once.
			refresh: now.Add(time.Duration(h.opts.Jitter() * float64(10*time.Second))),
		}
		h.books[id] = b
	}
	return b
}

// Track makes the holder keep reservations of a service. The daemon calls it
// for the services of its backend servers.
func (h *Holder) Track(now time.Time, service registry.ServiceID) { h.book(now, service) }

// TakeOutputs returns the outputs since the last call.
func (h *Holder) TakeOutputs() []Output {
	out := h.out
	h.out = nil
	return out
}

func (h *Holder) emit(o Output) { h.out = append(h.out, o) }

// checkPause notices that the process was paused since the last tick.
func (h *Holder) checkPause(now time.Time) {
	if h.lastTick.IsZero() || now.Sub(h.lastTick) <= pauseLimit {
		return
	}
	h.lastTick = now
	if !h.enabled(CheckPause) {
		return
	}
	for _, b := range h.books {
		b.paused = true
		b.pauses++
		b.known = false
	}
}

// Request asks for a permit to eject a backend server. The answer is a Granted
// or Refused output. A permit that is held for the server already is granted
// again, after a confirmation if the process was paused.
func (h *Holder) Request(now time.Time, service registry.ServiceID, backend registry.BackendID) {
	h.checkPause(now)
	b := h.book(now, service)
	if b.requests[backend] != nil {
		return
	}
	b.requests[backend] = &request{id: h.opts.NewID(), backend: backend}
	h.step(now, b)
}

// Release gives the permit of a backend server back and withdraws its request.
func (h *Holder) Release(now time.Time, service registry.ServiceID, backend registry.BackendID) {
	h.checkPause(now)
	b := h.book(now, service)
	delete(b.requests, backend)
	for _, p := range b.sorted() {
		if p.backend != backend {
			continue
		}
		delete(b.held, p.permit)
		b.released[p.permit] = true
		b.dirty = true
	}
	h.step(now, b)
}

// Tick advances time.
func (h *Holder) Tick(now time.Time) {
	h.checkPause(now)
	h.lastTick = now
	for _, id := range slices.Sorted(maps.Keys(h.books)) {
		b := h.books[id]
		h.expire(now, b)
		h.step(now, b)
	}
}

// sorted returns the held permits in a fixed order.
func (b *book) sorted() []*held {
	out := make([]*held, 0, len(b.held))
	for _, id := range slices.Sorted(maps.Keys(b.held)) {
		out = append(out, b.held[id])
	}
	return out
}

// pending returns the requests in a fixed order.
func (b *book) pending() []*request {
	out := make([]*request, 0, len(b.requests))
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		out = append(out, b.requests[id])
	}
	return out
}

func (b *book) heldFor(backend registry.BackendID) *held {
	for _, p := range b.held {
		if p.backend == backend && p.given == "" {
			return p
		}
	}
	return nil
}

// free returns a permit in reserve that the allowance covers.
func (h *Holder) free(b *book, view View) *held {
	for _, p := range b.sorted() {
		if h.enabled(CheckPosition) && p.position > view.Allowance() {
			continue
		}
		if p.backend == "" && p.given == "" && p.recorded {
			return p
		}
	}
	return nil
}
