package main

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"syscall"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/clusterpb"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/gossip"
)

// socketNode is a node with real sockets on loopback.
type socketNode struct {
	transport *gossip.Transport
	server    *http.Server
}

func startSocketNode(ctx context.Context, i, backends int, seed string) (*socketNode, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	self := newRecord(i, i*backends, backends)
	self.PeerAddr = listener.Addr().String()
	opts := gossip.Options{Self: self, Directory: registry.NewDirectory()}
	if seed != "" {
		opts.Seeds = []string{seed}
	}
	transport, err := gossip.New(opts)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(clusterpb.ClusterPathPrefix, transport.Handler())
	n := &socketNode{transport: transport, server: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}}
	go func() { _ = n.server.Serve(listener) }()
	transport.Start(ctx)
	return n, nil
}

// processCPU returns the CPU time of this process, system calls included.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func gossipCounter(name string) float64 {
	if v, ok := expvar.Get("gossip").(*expvar.Map).Get(name).(*expvar.Int); ok {
		return float64(v.Value())
	}
	return 0
}

// measureSockets runs nodes with real sockets in real time. The rate of probes, and so the
// cost of a node in the steady state, does not depend on the size of the fleet.
func measureSockets(r *report, nodes, backends int, d time.Duration) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running []*socketNode
	defer func() {
		for _, n := range running {
			n.transport.Stop()
			_ = n.server.Close()
		}
	}()
	seed := ""
	for i := range nodes {
		n, err := startSocketNode(ctx, i, backends, seed)
		if err != nil {
			return err
		}
		running = append(running, n)
		if seed == "" {
			seed = n.transport.Addr()
		}
	}
	time.Sleep(d)
	cpu, sent, received := processCPU(), gossipCounter("bytes_sent"), gossipCounter("bytes_received")
	time.Sleep(d)
	nodeSeconds := float64(nodes) * d.Seconds()
	r.addWithTarget("sockets_steady_cpu", float64((processCPU()-cpu).Nanoseconds())/nodeSeconds, "ns/s", targetCPUNanosPerSecond)
	r.addWithTarget("sockets_steady_bytes_sent", (gossipCounter("bytes_sent")-sent)/nodeSeconds, "bytes/s", targetBytesPerSecond)
	r.addWithTarget("sockets_steady_bytes_received", (gossipCounter("bytes_received")-received)/nodeSeconds, "bytes/s", targetBytesPerSecond)
	return nil
}
