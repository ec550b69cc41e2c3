package gossip

import (
	"expvar"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/state/event"
)

// headerBytes is the size of the IPv4 and UDP headers of a datagram. They count
// against the send budget of a node.
const headerBytes = 28

// counters counts bytes and datagrams by direction and kind, and drops by cause.
var counters = expvar.NewMap("gossip")

func kindName(k membership.Kind) string {
	switch k {
	case membership.Ping:
		return "ping"
	case membership.Ack:
		return "ack"
	case membership.PingRequest:
		return "ping_request"
	case membership.Gossip:
		return "gossip"
	}
	return "unknown"
}

var eventKinds = map[membership.EventKind]event.Kind{
	membership.EventJoined:     event.NodeJoined,
	membership.EventSuspected:  event.NodeSuspected,
	membership.EventDead:       event.NodeDead,
	membership.EventLeaving:    event.NodeLeaving,
	membership.EventRevived:    event.NodeRevived,
	membership.EventRefuted:    event.NodeRefuted,
	membership.EventPaused:     event.NodePaused,
	membership.EventSuperseded: event.NodeSuperseded,
	membership.EventFilled:     event.NodeJoined,
}

// publish publishes and logs an event of the core.
func (t *Transport) publish(e membership.Event) {
	kind := eventKinds[e.Kind]
	t.opts.Events.Publish(event.Event{
		Time:   time.Now(),
		Kind:   kind,
		Node:   string(e.Node),
		Reason: e.Reason,
		Evidence: []event.Field{
			{Key: "incarnation", Value: strconv.FormatUint(e.Incarnation, 10)},
			{Key: "observer", Value: string(t.opts.Self.ID)},
		},
	})
	t.opts.Logger.Info("membership changed", zap.String("kind", string(kind)), zap.String("node", string(e.Node)),
		zap.Uint64("incarnation", e.Incarnation), zap.String("reason", e.Reason))
	if e.Kind == membership.EventSuperseded {
		t.opts.OnSuperseded()
	}
}
