package events

import (
	"context"
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"golang.org/x/time/rate"

	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/ring"
	"wigeonspring.example/wigeonspring/internal/state/event"
)

// Topic is the watermill topic of the events.
const Topic = "decisions"

var (
	drops = expvar.NewMap("event_drops")
	// suppressed counts the events above the rate limit of their kind.
	suppressed = expvar.NewMap("events_suppressed")
)

// Options configures a Bus.
type Options struct {
	// Node is the node id for events that have none.
	Node string
	// Capacity is the length of each ring. The default is 1024.
	Capacity int
	// Rate is the maximum number of events of one kind per second, and Burst the
	// maximum number at once. A Rate of 0 means no limit. Events above the limit are
	// counted and dropped, so that a burst of one kind neither fills the log nor
	// displaces the others.
	Rate, Burst int
}

// Bus accepts events and delivers them to its consumers through a watermill router.
type Bus struct {
	opts   Options
	input  *ring.Ring[event.Event]
	router *message.Router
	// limiters holds a *rate.Limiter for each kind.
	limiters sync.Map

	mu          sync.Mutex
	subscribers []*subscriber
}

// New returns a bus. Add the consumers before Run.
func New(opts Options) (*Bus, error) {
	if opts.Capacity == 0 {
		opts.Capacity = 1024
	}
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: time.Second}, watermill.NopLogger{})
	if err != nil {
		return nil, fault.New("create event router", "", err)
	}
	return &Bus{opts: opts, input: ring.New[event.Event](opts.Capacity), router: router}, nil
}

// Publish implements event.Sink. It never blocks. If the ring is full, the event is
// dropped and counted.
func (b *Bus) Publish(e event.Event) {
	if e.Node == "" {
		e.Node = b.opts.Node
	}
	if e.Time.IsZero() {
		e.Time = time.Now()
	}
	if !b.allow(e.Kind) {
		suppressed.Add(string(e.Kind), 1)
		return
	}
	if !b.input.Offer(e) {
		drops.Add("bus", 1)
	}
}

func (b *Bus) allow(kind event.Kind) bool {
	if b.opts.Rate == 0 {
		return true
	}
	limiter, ok := b.limiters.Load(kind)
	if !ok {
		limiter, _ = b.limiters.LoadOrStore(kind, rate.NewLimiter(rate.Limit(b.opts.Rate), b.opts.Burst))
	}
	return limiter.(*rate.Limiter).Allow()
}

// AddConsumer adds a consumer with its own goroutine and ring. It must be called
// before Run.
func (b *Bus) AddConsumer(name string, consume func(event.Event)) {
	s := &subscriber{name: name, ring: ring.New[*message.Message](b.opts.Capacity)}
	b.mu.Lock()
	b.subscribers = append(b.subscribers, s)
	b.mu.Unlock()
	b.router.AddConsumerHandler(name, Topic, s, func(msg *message.Message) error {
		var e event.Event
		if err := json.Unmarshal(msg.Payload, &e); err != nil {
			drops.Add(name, 1)
			return nil
		}
		consume(e)
		return nil
	})
}

// Run delivers events until ctx is canceled.
func (b *Bus) Run(ctx context.Context) error {
	go b.dispatch(ctx)
	return fault.New("run event router", "", b.router.Run(ctx))
}

func (b *Bus) dispatch(ctx context.Context) {
	for {
		e, ok := b.input.Take(ctx)
		if !ok {
			return
		}
		payload, err := json.Marshal(e)
		if err != nil {
			drops.Add("encode", 1)
			continue
		}
		b.deliver(payload)
	}
}

func (b *Bus) deliver(payload []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.subscribers {
		if !s.ring.Offer(message.NewMessage(watermill.NewULID(), payload)) {
			drops.Add(s.name, 1)
		}
	}
}

// subscriber implements message.Subscriber on a ring.
type subscriber struct {
	name string
	ring *ring.Ring[*message.Message]
}

// Subscribe implements message.Subscriber.
func (s *subscriber) Subscribe(ctx context.Context, _ string) (<-chan *message.Message, error) {
	out := make(chan *message.Message)
	go func() {
		defer close(out)
		for {
			msg, ok := s.ring.Take(ctx)
			if !ok {
				return
			}
			select {
			case out <- msg:
			case <-ctx.Done():
				return
			}
			select {
			case <-msg.Acked():
			case <-msg.Nacked():
			case <-ctx.Done():
				return
			}
		}
	}()
	return out, nil
}

// Close implements message.Subscriber. It does nothing, because the subscription
// ends with the context of Subscribe.
func (s *subscriber) Close() error { return nil }
