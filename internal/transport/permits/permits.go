package permits

import (
	"context"
	"crypto/rand"
	"errors"
	"expvar"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wigeonspring.example/wigeonspring/internal/coordination/ejection"
	"wigeonspring.example/wigeonspring/internal/coordination/floor"
	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/protocol/floorpb"
	"wigeonspring.example/wigeonspring/internal/ring"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/health"
)

var metrics = expvar.NewMap("permits")

// KeyPrefix is the prefix of the ledger keys in the platform.
const KeyPrefix = "ledger/"

var errBusy = errors.New("too many calls under way")

// Options configures a Manager. Node, View, Platform and Peer are required.
type Options struct {
	Node        registry.NodeID
	Incarnation uint64
	// View returns the local view of a service. It is called on the goroutine of
	// Run.
	View func(registry.ServiceID) (floor.View, bool)
	// Platform holds the ledgers.
	Platform platform.Client
	// PeerAddress returns the address (host:port) of a node, or false if it is unknown.
	PeerAddress func(registry.NodeID) (string, bool)
	// PeerClient carries the RPCs to peers; the default is http.DefaultClient.
	PeerClient *http.Client
	// OnRevoked is called when the permit of a backend server is no longer valid.
	// It must not block.
	OnRevoked func(service registry.ServiceID, backend registry.BackendID)
	// TickInterval is the interval of the core's timers. The default is 250 ms.
	TickInterval time.Duration
	// Workers is the number of calls under way at once. The default is 4.
	Workers int
	// PlatformTimeout and PeerTimeout bound one call. The defaults are 2 s and
	// 500 ms.
	PlatformTimeout, PeerTimeout time.Duration
	// RefreshInterval is the mean time between two readings of a ledger in which nothing
	// was requested; see floor.Options.
	RefreshInterval time.Duration
}

// Manager obtains, holds and gives away the ejection permits of a node. It
// implements health.PermitSource and floorpb.Floor.
type Manager struct {
	opts    Options
	holder  *floor.Holder
	calls   *ring.Ring[floor.Output]
	waiting map[waitKey]func(health.PermitResult)

	mu       sync.Mutex
	commands []func(now time.Time)
	wake     chan struct{}
}

type waitKey struct {
	service registry.ServiceID
	backend registry.BackendID
}

// New returns a Manager; Run starts it.
func New(o Options) *Manager {
	if o.PeerClient == nil {
		o.PeerClient = http.DefaultClient
	}
	if o.OnRevoked == nil {
		o.OnRevoked = func(registry.ServiceID, registry.BackendID) {}
	}
	if o.TickInterval <= 0 {
		o.TickInterval = 250 * time.Millisecond
	}
	if o.Workers <= 0 {
		o.Workers = 4
	}
	if o.PlatformTimeout <= 0 {
		o.PlatformTimeout = 2 * time.Second
	}
	if o.PeerTimeout <= 0 {
		o.PeerTimeout = 500 * time.Millisecond
	}
	process, count := rand.Text(), 0
	return &Manager{
		opts: o,
		holder: floor.NewHolder(floor.Options{
			Node: o.Node, Incarnation: o.Incarnation, View: o.View, Jitter: mathrand.Float64, Refresh: o.RefreshInterval,
			NewID: func() string {
				count++
				return fmt.Sprintf("%s/%s/%d", o.Node, process[:8], count)
			},
		}),
		calls:   ring.New[floor.Output](256),
		waiting: make(map[waitKey]func(health.PermitResult)),
		wake:    make(chan struct{}, 1),
	}
}

// Track keeps reservations of the services. The daemon calls it for the
// services of its backend servers.
func (p *Manager) Track(services ...registry.ServiceID) {
	p.enqueue(func(now time.Time) {
		for _, s := range services {
			p.holder.Track(now, s)
		}
	})
}

// Request implements health.PermitSource.
func (p *Manager) Request(service registry.ServiceID, backend registry.BackendID, done func(health.PermitResult)) {
	p.enqueue(func(now time.Time) {
		p.waiting[waitKey{service, backend}] = done
		p.holder.Request(now, service, backend)
	})
}

// Release implements health.PermitSource.
func (p *Manager) Release(service registry.ServiceID, backend registry.BackendID) {
	p.enqueue(func(now time.Time) {
		delete(p.waiting, waitKey{service, backend})
		p.holder.Release(now, service, backend)
	})
}

// TransferPermit implements floorpb.Floor.
func (p *Manager) TransferPermit(ctx context.Context, req *floorpb.TransferPermitRequest) (*floorpb.TransferPermitResponse, error) {
	answer := make(chan floor.TransferResponse, 1)
	p.enqueue(func(now time.Time) {
		answer <- p.holder.HandleTransfer(now, floor.TransferRequest{
			ID: req.RequestId, Service: registry.ServiceID(req.Service), Node: registry.NodeID(req.NodeId),
		})
	})
	select {
	case a := <-answer:
		return &floorpb.TransferPermitResponse{Permit: a.Permit, Position: int32(a.Position), Reason: a.Reason}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *Manager) enqueue(f func(now time.Time)) {
	p.mu.Lock()
	p.commands = append(p.commands, f)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run drives the holder until ctx ends.
func (p *Manager) Run(ctx context.Context) error {
	var workers errgroup.Group
	for range p.opts.Workers {
		workers.Go(func() error {
			for {
				o, ok := p.calls.Take(ctx)
				if !ok {
					return nil
				}
				p.call(ctx, o)
			}
		})
	}
	ticker := time.NewTicker(p.opts.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return workers.Wait()
		case <-p.wake:
			p.mu.Lock()
			commands := p.commands
			p.commands = nil
			p.mu.Unlock()
			for _, f := range commands {
				f(time.Now())
			}
		case <-ticker.C:
			p.holder.Tick(time.Now())
		}
		p.dispatch()
	}
}

// dispatch hands the outputs of the core to workers and to the daemon.
func (p *Manager) dispatch() {
	for _, o := range p.holder.TakeOutputs() {
		switch o.Kind {
		case floor.ReadLedger, floor.WriteLedger, floor.RequestTransfer:
			if !p.calls.Offer(o) {
				p.done(o, platform.Object{}, floor.TransferResponse{}, errBusy)
			}
		case floor.Granted:
			metrics.Add("granted", 1)
			p.answer(o, health.PermitResult{Permit: ejection.Permit{ID: o.Permit, Position: o.Position}})
		case floor.Refused:
			metrics.Add("refused", 1)
			p.answer(o, health.PermitResult{Reason: o.Reason})
		case floor.Revoked:
			metrics.Add("revoked", 1)
			p.opts.OnRevoked(o.Service, o.Backend)
		}
	}
}

func (p *Manager) answer(o floor.Output, a health.PermitResult) {
	key := waitKey{o.Service, o.Backend}
	if done := p.waiting[key]; done != nil {
		delete(p.waiting, key)
		done(a)
	}
}

// call makes one call on a worker.
func (p *Manager) call(ctx context.Context, o floor.Output) {
	var (
		obj    platform.Object
		answer floor.TransferResponse
		err    error
	)
	switch o.Kind {
	case floor.ReadLedger:
		metrics.Add("platform_calls", 1)
		ctx, cancel := context.WithTimeout(ctx, p.opts.PlatformTimeout)
		defer cancel()
		obj, err = p.opts.Platform.Get(ctx, KeyPrefix+string(o.Service))
	case floor.WriteLedger:
		metrics.Add("platform_calls", 1)
		ctx, cancel := context.WithTimeout(ctx, p.opts.PlatformTimeout)
		defer cancel()
		obj, err = p.opts.Platform.Put(ctx, KeyPrefix+string(o.Service), o.Value, o.Version)
	case floor.RequestTransfer:
		metrics.Add("transfer_calls", 1)
		answer, err = p.transfer(ctx, o)
	}
	p.done(o, obj, answer, err)
}

func (p *Manager) transfer(ctx context.Context, o floor.Output) (floor.TransferResponse, error) {
	address, ok := p.opts.PeerAddress(o.Peer)
	if !ok {
		return floor.TransferResponse{}, fault.Newf("transfer permit", string(o.Peer), "address is not known")
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.PeerTimeout)
	defer cancel()
	a, err := floorpb.NewFloorProtobufClient("http://"+address, p.opts.PeerClient).TransferPermit(ctx,
		&floorpb.TransferPermitRequest{
			RequestId: o.RequestID, Service: string(o.Service), NodeId: string(p.opts.Node),
		})
	if err != nil {
		return floor.TransferResponse{}, fault.New("transfer permit", address, err)
	}
	return floor.TransferResponse{Permit: a.Permit, Position: int(a.Position), Reason: a.Reason}, nil
}

// done reports the end of a call to the core.
func (p *Manager) done(o floor.Output, obj platform.Object, a floor.TransferResponse, err error) {
	p.enqueue(func(now time.Time) {
		switch o.Kind {
		case floor.ReadLedger:
			p.holder.ReadDone(now, o.Service, obj.Value, obj.Version, err)
		case floor.WriteLedger:
			p.holder.WriteDone(now, o.Service, obj.Version, err)
		case floor.RequestTransfer:
			p.holder.TransferDone(now, o.Service, o.RequestID, a, err)
		}
	})
}
