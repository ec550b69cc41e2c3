package main

import (
	"context"
	"fmt"
	"net/http"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/policy"
)

type announceCommand struct {
	Peers    []string `long:"peer" required:"true" description:"peer address of a node; may be repeated"`
	PerNode  int      `long:"per-node" default:"12" description:"backend servers for each node"`
	Services int      `long:"services" default:"650" description:"services that the backend servers belong to"`
}

// Execute announces every backend server once per second until SIGTERM or SIGINT.
func (c *announceCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	var wg sync.WaitGroup
	for i, peer := range c.Peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.announceTo(ctx, controlpb.NewControlProtobufClient("http://"+peer, client), i)
		}()
	}
	wg.Wait()
	return nil
}

func (c *announceCommand) announceTo(ctx context.Context, client controlpb.Control, nodeIndex int) {
	incarnation := uint64(time.Now().UnixMilli())
	tokens := make([][]byte, c.PerNode)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		for k := range c.PerNode {
			backendIndex := nodeIndex*c.PerNode + k
			resp, err := client.Announce(ctx, &controlpb.AnnounceRequest{
				BackendId:   fmt.Sprintf("backend-%05d", backendIndex),
				Service:     fmt.Sprintf("service-%03d", backendIndex%c.Services),
				Address:     "127.0.0.1:9",
				Slots:       5,
				Incarnation: incarnation,
				LeaseToken:  tokens[k],
			})
			if err == nil {
				tokens[k] = resp.LeaseToken
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

type policiesCommand struct {
	Platform string `long:"platform" required:"true" description:"URL of the platform"`
	Services int    `long:"services" default:"650" description:"number of services"`
	Routes   int    `long:"routes" default:"42" description:"routes of each service"`
	From     int    `long:"from" default:"0" description:"number of the first service"`
	Base     uint64 `long:"base" default:"0" description:"epoch of the policies that are replaced; 0 creates them"`
}

// Execute stores one policy for each service.
func (c *policiesCommand) Execute([]string) error {
	client := platform.NewHTTP(platform.Options{URL: c.Platform})
	defer client.Close()
	for i := c.From; i < c.From+c.Services; i++ {
		doc := newPolicy(i, c.Routes, c.Base)
		_, err := policy.Apply(context.Background(), client, policy.Encode(doc), c.Base,
			policy.ApplyOptions{Operator: "wigeon-scale"})
		if err != nil {
			return fmt.Errorf("service %d: %w", i, err)
		}
	}
	return nil
}

// newPolicy returns the policy of a service. The timeout depends on base, so that each epoch
// has another text.
func newPolicy(service, routes int, base uint64) *policy.Document {
	doc := &policy.Document{Service: policy.Service{
		Name:            fmt.Sprintf("service-%03d", service),
		Hosts:           []string{fmt.Sprintf("service-%03d.example", service)},
		Floor:           1,
		DetectionWeight: 0.5,
		Timeout:         policy.Duration(2*time.Second + time.Duration(base)*time.Millisecond),
		Limits: policy.Limits{
			MaxSlots: 5, Queue: 10, MaxAttempts: 3, RetryPercent: 10, SpillPercent: 5, SpillBytesPerSecond: 64 << 10,
		},
	}}
	for r := range routes {
		doc.Service.Routes = append(doc.Service.Routes, policy.Route{
			Name:       fmt.Sprintf("route-%02d", r),
			Methods:    []string{http.MethodGet, http.MethodPost},
			Path:       fmt.Sprintf("/area-%02d/*", r),
			Idempotent: r%2 == 0,
		})
	}
	return doc
}
