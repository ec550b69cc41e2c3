package main

import (
	"fmt"
	"os"
	"runtime"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

type memoryCommand struct {
	Nodes    int `long:"nodes" default:"2100" description:"nodes in the directory"`
	PerNode  int `long:"per-node" default:"12" description:"backend servers of each node"`
	Services int `long:"services" default:"650" description:"services with a policy"`
	Routes   int `long:"routes" default:"42" description:"routes of each service"`
}

// Execute fills the directory and the policy table of a node and prints their size in
// memory.
func (c *memoryCommand) Execute([]string) error {
	initial := heapBytes()
	directory := registry.NewDirectory()
	labels := map[string]string{"pool": "main"}
	for i := range c.Nodes {
		directory.Apply(c.node(i, labels))
	}
	withDirectory := heapBytes()
	table := policy.NewTable(policy.TableOptions{Now: time.Now})
	for i := range c.Services {
		doc := newPolicy(i, c.Routes, 1)
		if _, err := table.Set(policy.VersionedDocument{Service: doc.Service.Name, Epoch: 1, Text: policy.Encode(doc)}); err != nil {
			return err
		}
	}
	withPolicies := heapBytes()
	_, rss, err := readProcess(os.Getpid())
	if err != nil {
		return err
	}
	fmt.Println("nodes,backend_servers,services,routes,directory_heap_mb,policies_heap_mb,process_rss_mb")
	fmt.Printf("%d,%d,%d,%d,%.1f,%.1f,%.1f\n", c.Nodes, c.Nodes*c.PerNode, c.Services, c.Services*c.Routes,
		float64(withDirectory-initial)/1e6, float64(withPolicies-withDirectory)/1e6, float64(rss)/1e6)
	runtime.KeepAlive(directory)
	runtime.KeepAlive(table)
	return nil
}

func (c *memoryCommand) node(i int, labels map[string]string) registry.Node {
	n := registry.Node{
		ID:            registry.NodeID(fmt.Sprintf("node-%04d", i)),
		Incarnation:   uint64(1_700_000_000_000 + i),
		PeerAddr:      fmt.Sprintf("10.%d.%d.1:8081", i/250, i%250),
		OperatorAddr:  fmt.Sprintf("10.%d.%d.1:8082", i/250, i%250),
		FailureDomain: fmt.Sprintf("domain-%d", i%12),
		Region:        fmt.Sprintf("region-%d", i%3),
	}
	for k := range c.PerNode {
		backendIndex := i*c.PerNode + k
		n.Backends = append(n.Backends, registry.Backend{
			ID:      registry.BackendID(fmt.Sprintf("backend-%05d", backendIndex)),
			Service: registry.ServiceID(fmt.Sprintf("service-%03d", backendIndex%c.Services)),
			Slots:   5,
			Labels:  labels,
			Weight:  1,
		})
	}
	return n
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
