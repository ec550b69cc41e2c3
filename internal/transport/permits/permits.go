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

var counters = expvar.NewMap("permits")

// KeyPrefix is the prefix of the keys of the ledgers on the platform.
const KeyPrefix = "ledger/"

var errBusy = errors.New("queue of calls to the platform and to peers is full")

// Options configures a Manager. Node, View, Platform and PeerAddress are required.
type Options struct {
	Node        registry.NodeID
	Incarnation uint64
	// View returns the local view of a service. It is called on the goroutine of Run.
	View func(registry.ServiceID) (floor.View, bool)
	// Platform stores the ledgers.
	Platform platform.Client
	// PeerAddress returns the address (host:port) of a node, or false if it is unknown.
	PeerAddress func(registry.NodeID) (string, bool)
	// PeerClient is used for RPCs to peers. The default is http.DefaultClient.
	PeerClient *http.Client
	// OnRevoked is called when the permit of a backend server is no longer valid. It must
	// not block.
	OnRevoked func(service registry.ServiceID, backend registry.BackendID)
	// TickInterval is the interval between calls of Holder.Tick. The default is 250 ms.
	TickInterval time.Duration
	// Workers is the number of concurrent calls. The default is 4.
	Workers int
	// PlatformTimeout and PeerTimeout bound a single call. The defaults are 2 s and 500 ms.
	PlatformTimeout, PeerTimeout time.Duration
	// RefreshInterval is the mean time between two reads of a ledger without requests; see
	// floor.Options.
	RefreshInterval time.Duration
}

// Manager obtains, holds and transfers the ejection permits of a node. It implements
// health.PermitSource and floorpb.Floor.
type Manager struct {
	opts    Options
	holder  *floor.Holder
	calls   *ring.Ring[floor.Output]
	pending map[backendKey]func(health.PermitResult)

	mu       sync.Mutex
	commands []func(now time.Time)
	wake     chan struct{}
}

type backendKey struct {
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
	instanceID, count := rand.Text(), 0
	return &Manager{
		opts: o,
		holder: floor.NewHolder(floor.Options{
			Node: o.Node, Incarnation: o.Incarnation, View: o.View, Jitter: mathrand.Float64, Refresh: o.RefreshInterval,
			NewID: func() string {
				count++
				return fmt.Sprintf("%s/%s/%d", o.Node, instanceID[:8], count)
			},
		}),
		calls:   ring.New[floor.Output](256),
		pending: make(map[backendKey]func(health.PermitResult)),
		wake:    make(chan struct{}, 1),
	}
}

// Track maintains reservations of permits for the services. The daemon calls it for the
// services of its backend servers.
func (m *Manager) Track(services ...registry.ServiceID) {
	m.enqueue(func(now time.Time) {
		for _, s := range services {
			m.holder.Track(now, s)
		}
	})
}

// Request implements health.PermitSource.
func (m *Manager) Request(service registry.ServiceID, backend registry.BackendID, done func(health.PermitResult)) {
	m.enqueue(func(now time.Time) {
		m.pending[backendKey{service, backend}] = done
		m.holder.Request(now, service, backend)
	})
}

// Release implements health.PermitSource.
func (m *Manager) Release(service registry.ServiceID, backend registry.BackendID) {
	m.enqueue(func(now time.Time) {
		delete(m.pending, backendKey{service, backend})
		m.holder.Release(now, service, backend)
	})
}

// TransferPermit implements floorpb.Floor.
func (m *Manager) TransferPermit(ctx context.Context, req *floorpb.TransferPermitRequest) (*floorpb.TransferPermitResponse, error) {
	responses := make(chan floor.TransferResponse, 1)
	m.enqueue(func(now time.Time) {
		responses <- m.holder.HandleTransfer(now, floor.TransferRequest{
			ID: req.RequestId, Service: registry.ServiceID(req.Service), Node: registry.NodeID(req.NodeId),
		})
	})
	select {
	case resp := <-responses:
		return &floorpb.TransferPermitResponse{Permit: resp.Permit, Position: int32(resp.Position), Reason: resp.Reason}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (m *Manager) enqueue(f func(now time.Time)) {
	m.mu.Lock()
	m.commands = append(m.commands, f)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run drives the Holder until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	var workers errgroup.Group
	for range m.opts.Workers {
		workers.Go(func() error {
			for {
				o, ok := m.calls.Take(ctx)
				if !ok {
					return nil
				}
				m.call(ctx, o)
			}
		})
	}
	ticker := time.NewTicker(m.opts.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return workers.Wait()
		case <-m.wake:
			m.mu.Lock()
			commands := m.commands
			m.commands = nil
			m.mu.Unlock()
			for _, f := range commands {
				f(time.Now())
			}
		case <-ticker.C:
			m.holder.Tick(time.Now())
		}
		m.dispatch()
	}
}

// dispatch passes the outputs of the Holder to the workers and to the daemon.
func (m *Manager) dispatch() {
	for _, o := range m.holder.TakeOutputs() {
		switch o.Kind {
		case floor.ReadLedger, floor.WriteLedger, floor.RequestTransfer:
			if !m.calls.Offer(o) {
				m.callDone(o, platform.Object{}, floor.TransferResponse{}, errBusy)
			}
		case floor.Granted:
			counters.Add("granted", 1)
			m.finishRequest(o, health.PermitResult{Permit: ejection.Permit{ID: o.Permit, Position: o.Position}})
		case floor.Refused:
			counters.Add("refused", 1)
			m.finishRequest(o, health.PermitResult{Reason: o.Reason})
		case floor.Revoked:
			counters.Add("revoked", 1)
			m.opts.OnRevoked(o.Service, o.Backend)
		}
	}
}

func (m *Manager) finishRequest(o floor.Output, result health.PermitResult) {
	key := backendKey{o.Service, o.Backend}
	if done := m.pending[key]; done != nil {
		delete(m.pending, key)
		done(result)
	}
}

// call makes one call on the goroutine of a worker.
func (m *Manager) call(ctx context.Context, o floor.Output) {
	var (
		obj  platform.Object
		resp floor.TransferResponse
		err  error
	)
	switch o.Kind {
	case floor.ReadLedger:
		counters.Add("platform_calls", 1)
		ctx, cancel := context.WithTimeout(ctx, m.opts.PlatformTimeout)
		defer cancel()
		obj, err = m.opts.Platform.Get(ctx, KeyPrefix+string(o.Service))
	case floor.WriteLedger:
		counters.Add("platform_calls", 1)
		ctx, cancel := context.WithTimeout(ctx, m.opts.PlatformTimeout)
		defer cancel()
		obj, err = m.opts.Platform.Put(ctx, KeyPrefix+string(o.Service), o.Value, o.Version)
	case floor.RequestTransfer:
		counters.Add("transfer_calls", 1)
		resp, err = m.transfer(ctx, o)
	}
	m.callDone(o, obj, resp, err)
}

func (m *Manager) transfer(ctx context.Context, o floor.Output) (floor.TransferResponse, error) {
	address, ok := m.opts.PeerAddress(o.Peer)
	if !ok {
		return floor.TransferResponse{}, fault.Newf("transfer permit", string(o.Peer), "address is not known")
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.PeerTimeout)
	defer cancel()
	resp, err := floorpb.NewFloorProtobufClient("http://"+address, m.opts.PeerClient).TransferPermit(ctx,
		&floorpb.TransferPermitRequest{
			RequestId: o.RequestID, Service: string(o.Service), NodeId: string(m.opts.Node),
		})
	if err != nil {
		return floor.TransferResponse{}, fault.New("transfer permit", address, err)
	}
	return floor.TransferResponse{Permit: resp.Permit, Position: int(resp.Position), Reason: resp.Reason}, nil
}

// callDone reports the result of a call to the Holder.
func (m *Manager) callDone(o floor.Output, obj platform.Object, resp floor.TransferResponse, err error) {
	m.enqueue(func(now time.Time) {
		switch o.Kind {
		case floor.ReadLedger:
			m.holder.ReadDone(now, o.Service, obj.Value, obj.Version, err)
		case floor.WriteLedger:
			m.holder.WriteDone(now, o.Service, obj.Version, err)
		case floor.RequestTransfer:
			m.holder.TransferDone(now, o.Service, o.RequestID, resp, err)
		}
	})
}
