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

// Topic is the watermill topic of decisions.
const Topic = "decisions"

var (
	drops = expvar.NewMap("event_drops")
	// suppressed counts the events beyond the budget of their kind.
	suppressed = expvar.NewMap("events_suppressed")
)

// Options configures a Bus.
type Options struct {
	// Node is set on events that name no node.
	Node string
	// Capacity is the length of each ring; the default is 1024.
	Capacity int
	// Rate and Burst bound the events of one kind in a second and at once; 0 means no
	// bound. Events beyond them are counted and dropped, so that a storm of one kind
	// neither fills the log nor hides the others.
	Rate, Burst int
}

// Bus accepts events and delivers them to the handlers of a watermill router.
type Bus struct {
	opts   Options
	in     *ring.Ring[event.Event]
	router *message.Router
	// budgets holds a *rate.Limiter for each kind.
	budgets sync.Map

	mu          sync.Mutex
	subscribers []*subscriber
}

// New returns a bus. Add handlers before Run.
func New(opts Options) (*Bus, error) {
	if opts.Capacity == 0 {
		opts.Capacity = 1024
	}
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: time.Second}, watermill.NopLogger{})
	if err != nil {
		return nil, fault.New("create event router", "", err)
	}
	return &Bus{opts: opts, in: ring.New[event.Event](opts.Capacity), router: router}, nil
}

// Publish implements event.Sink. It never blocks; a full ring drops the event.
func (b *Bus) Publish(e event.Event) {
	if e.Node == "" {
		e.Node = b.opts.Node
	}
	if e.Time.IsZero() {
		e.Time = time.Now()
	}
	if !b.withinBudget(e.Kind) {
		suppressed.Add(string(e.Kind), 1)
		return
	}
	if !b.in.Offer(e) {
		drops.Add("bus", 1)
	}
}

func (b *Bus) withinBudget(kind event.Kind) bool {
	if b.opts.Rate == 0 {
		return true
	}
	limiter, ok := b.budgets.Load(kind)
	if !ok {
		limiter, _ = b.budgets.LoadOrStore(kind, rate.NewLimiter(rate.Limit(b.opts.Rate), b.opts.Burst))
	}
	return limiter.(*rate.Limiter).Allow()
}

// AddConsumer adds a consumer. Each consumer has a goroutine and a ring of its own.
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

// Run delivers events until ctx ends.
func (b *Bus) Run(ctx context.Context) error {
	go b.dispatch(ctx)
	return fault.New("run event router", "", b.router.Run(ctx))
}

func (b *Bus) dispatch(ctx context.Context) {
	for {
		e, ok := b.in.Take(ctx)
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

// subscriber implements message.Subscriber over a ring.
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

// Close implements message.Subscriber. The context of Subscribe ends it.
func (s *subscriber) Close() error { return nil }
