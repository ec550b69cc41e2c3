package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a hop without a span, against a trace that does not continue across a
// hop, and against a query string, credential or payload in spans, events or logs.
func TestTraceContinuesAcrossHopsWithoutSecrets(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	provider := sdk.NewTracerProvider(sdk.WithSyncer(exporter))
	defer func() { _ = provider.Shutdown(t.Context()) }()
	core, logs := observer.New(zap.DebugLevel)
	events := &eventRecorder{}
	f := newFleet(t, 2, func(o *OwnerOptions, in *IngressOptions) {
		o.Tracing, in.Tracing = provider, provider
		o.Logger, in.Logger = zap.New(core), zap.New(core)
		o.Events, in.Events = events, events
	})
	var parent string
	f.serve(1, "b1", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		parent = r.Header.Get("Traceparent")
		_, _ = io.WriteString(w, "secret")
	})
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	send := func() result {
		return f.send(0, "POST", "/?token=secret", strings.NewReader("secret"), func(r *http.Request) {
			r.Header.Set("Authorization", "Bearer secret")
			r.Header.Set("Traceparent", "00-"+trace+"-00f067aa0ba902b7-01")
		})
	}
	if res := send(); res.body != "secret" {
		t.Fatalf("got %+v", res)
	}
	spans := exporter.GetSpans()
	names := map[string]string{} // span name by id
	for _, s := range spans {
		names[s.SpanContext.SpanID().String()] = s.Name
		if s.SpanContext.TraceID().String() != trace {
			t.Errorf("span %s is in trace %s", s.Name, s.SpanContext.TraceID())
		}
	}
	var chain []string
	for _, s := range spans {
		chain = append(chain, names[s.Parent.SpanID().String()]+">"+s.Name)
	}
	want := []string{">ingress", "ingress>peer hop", "peer hop>owner", "owner>backend exchange"}
	for _, w := range want {
		if !strings.Contains(fmt.Sprint(chain), w) {
			t.Errorf("no %q in %v", w, chain)
		}
	}
	if id := strings.Split(parent, "-"); len(id) != 4 || id[1] != trace || names[id[2]] != "backend exchange" {
		t.Errorf("the backend server got traceparent %q", parent)
	}

	f.nodes[1].leases.ReleaseAll()
	send()
	_ = f.nodes[1].peerServer.Close()
	send()
	if len(events.seen) < 3 || logs.Len() == 0 {
		t.Errorf("%d events, %d log lines", len(events.seen), logs.Len())
	}
	if s := fmt.Sprintf("%+v %+v %+v", exporter.GetSpans(), events.seen, logs.All()); strings.Contains(s, "secret") {
		t.Error("a secret was recorded")
	}
}
