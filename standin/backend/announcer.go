package backend

import (
	"context"
	"net/http"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
	// leaseMargin covers the time that an owner needs to notice a lapsed lease.
	leaseMargin = 500 * time.Millisecond
	// failuresBeforeSwitch is the number of failed announcements after which the
	// announcer turns to the next node.
	failuresBeforeSwitch = 2
)

// announcer keeps the backend server announced to exactly one node. Before it
// turns to another node it waits until the lease of the last one has lapsed,
// so that two nodes never own the backend server together.
type announcer struct {
	nodes    []string
	current  int
	failures int
	// lastSent is when the last announcement was sent to the current node that
	// may have been received.
	lastSent time.Time
	client   *http.Client
	request  func() *controlpb.AnnounceRequest
}

func newAnnouncer(nodes []string, request func() *controlpb.AnnounceRequest) *announcer {
	return &announcer{
		nodes:   nodes,
		client:  &http.Client{Timeout: announceTimeout},
		request: request,
	}
}

// run announces until ctx ends.
func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		a.announceOnce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *announcer) announceOnce(ctx context.Context) {
	refused, err := a.send(ctx, a.request())
	if err == nil && !refused {
		a.failures = 0
		return
	}
	a.failures++
	if a.failures < failuresBeforeSwitch && !refused {
		return
	}
	if len(a.nodes) < 2 {
		return
	}
	a.switchNode(ctx, refused)
}

// switchNode waits for the lease of the current node to lapse and selects the
// next one. A node that refused holds no lease.
func (a *announcer) switchNode(ctx context.Context, refused bool) {
	if !refused {
		wait := time.Until(a.lastSent.Add(registry.LeaseDuration + leaseMargin))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
	a.current = (a.current + 1) % len(a.nodes)
	a.failures = 0
}

func (a *announcer) send(ctx context.Context, req *controlpb.AnnounceRequest) (refused bool, err error) {
	a.lastSent = time.Now()
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	service := controlpb.NewControlProtobufClient("http://"+a.nodes[a.current], a.client)
	resp, err := service.Announce(ctx, req)
	if err != nil {
		return false, err
	}
	return resp.Refused, nil
}

// sendNow announces outside the schedule, for a drain or a release.
func (a *announcer) sendNow(ctx context.Context) { _, _ = a.send(ctx, a.request()) }
