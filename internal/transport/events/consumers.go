package events

import (
	"expvar"

	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/state/event"
)

var counts = expvar.NewMap("events")

// Count increments the expvar counter of the event's kind.
func Count(e event.Event) { counts.Add(string(e.Kind), 1) }

// Logger returns a consumer that writes each event as one log line.
func Logger(log *zap.Logger) func(event.Event) {
	return func(e event.Event) {
		fields := []zap.Field{
			zap.Time("at", e.Time),
			zap.String("event_node", e.Node),
		}
		for _, f := range []event.Field{
			{Key: "service", Value: e.Service},
			{Key: "backend", Value: e.Backend},
			{Key: "request_id", Value: e.RequestID},
			{Key: "reason", Value: e.Reason},
		} {
			if f.Value != "" {
				fields = append(fields, zap.String(f.Key, f.Value))
			}
		}
		if len(e.Evidence) > 0 {
			fields = append(fields, zap.Any("evidence", e.Evidence))
		}
		log.Info(string(e.Kind), fields...)
	}
}
