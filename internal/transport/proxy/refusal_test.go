package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
)

// Guards against a request that waits for the body of a refusal on a connection that falls
// silent, although it is known not to have run.
func TestRefusalIsNotDelayedBySilentBody(t *testing.T) {
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.FreeRefusals = 8 })
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + header.BackendNotRun + ": 1\r\nContent-Length: 10\r\n\r\n"
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	addr := serveRaw(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 4096)) // The request.
		_, _ = io.WriteString(conn, refusal)
		<-ended // The body never comes.
	})
	f.own(1, "b1", addr, 4)
	start := time.Now()
	got := f.send(0, http.MethodPost, "/", strings.NewReader("x"))
	if took := time.Since(start); got.outcome != header.NotRun || took > time.Second {
		t.Errorf("%s, %s after %s", got.outcome, got.reason, took)
	}
}
