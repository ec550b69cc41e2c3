package backend

import (
	"context"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
	// leaseMargin covers the time that an owner needs to notice that it was paused
	// (500 ms) and the network delay of an announcement without a lease token
	// (500 ms). The lease of such an announcement counts from its receipt.
	leaseMargin = time.Second
	// failuresBeforeSwitch is the number of failed announcements after which the
	// announcer switches to the next node.
	failuresBeforeSwitch = 2
)

// announcer keeps the backend server announced to exactly one node. Before it
// switches to another node it waits until the lease of the current one has lapsed,
// so that two nodes never own the backend server at the same time.
type announcer struct {
	nodes    []string
	current  int
	failures int
	// lastSent is when the last announcement that the current node may have received
	// was sent.
	lastSent time.Time
	client   *http.Client
	// mu guards token, the lease token of the last response of the current node, and the
	// last announcement with the node that it was sent to.
	mu         sync.Mutex
	token      []byte
	last       *controlpb.AnnounceRequest
	lastNode   string
	newRequest func() *controlpb.AnnounceRequest
}

func newAnnouncer(nodes []string, newRequest func() *controlpb.AnnounceRequest) *announcer {
	return &announcer{
		nodes:      nodes,
		client:     &http.Client{Timeout: announceTimeout},
		newRequest: newRequest,
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
	refused, reason, err := a.send(ctx, a.newRequest())
	if err == nil && refused && reason == string(ownership.StaleAnnouncement) {
		// The refusal carried a new token, which the next announcement sends.
		refused, _, err = a.send(ctx, a.newRequest())
	}
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
// next one. If the current node refused, it holds no lease and there is no wait.
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
	a.setToken(nil)
}

func (a *announcer) send(ctx context.Context, req *controlpb.AnnounceRequest) (refused bool, reason string, err error) {
	a.lastSent = time.Now()
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	service := controlpb.NewControlProtobufClient("http://"+a.nodes[a.current], a.client)
	a.mu.Lock()
	req.LeaseToken = a.token
	a.last, a.lastNode = req, a.nodes[a.current]
	a.mu.Unlock()
	resp, err := service.Announce(ctx, req)
	if err != nil {
		return false, "", err
	}
	a.setToken(resp.LeaseToken)
	return resp.Refused, resp.Reason, nil
}

func (a *announcer) setToken(token []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.token = token
}

// lastAnnouncement returns the last announcement in its wire format, and its node.
func (a *announcer) lastAnnouncement() (node string, data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	data, err := proto.Marshal(a.last)
	if err != nil {
		return "", nil
	}
	return a.lastNode, data
}

// announceNow announces outside the schedule, for a drain or a release. It reports whether
// the node accepted the announcement.
func (a *announcer) announceNow(ctx context.Context) bool {
	refused, _, err := a.send(ctx, a.newRequest())
	return err == nil && !refused
}
