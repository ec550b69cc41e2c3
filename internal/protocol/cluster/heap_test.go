package cluster

import (
	"fmt"
	"maps"
	"runtime"
	"testing"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// directoryHeap decodes the records of 2,084 nodes with 12 backend servers each into a
// directory. It returns the directory and its heap size.
func directoryHeap(t testing.TB, shareLabels bool) (d *registry.Directory, heap uint64) {
	const nodes, perNode, services = 2084, 12, 650
	heapInUse := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before, dec := heapInUse(), NewDecoder()
	d = registry.NewDirectory()
	for i := range nodes {
		n := registry.Node{
			ID: registry.NodeID(fmt.Sprintf("node-%04d", i)), Incarnation: 1, Sequence: 1, PeerAddr: fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250),
			FailureDomain: fmt.Sprintf("domain-%02d", i%12), Region: fmt.Sprintf("region-%d", i%3),
		}
		for k := range perNode {
			number := i*perNode + k
			n.Backends = append(n.Backends, registry.Backend{
				ID: registry.BackendID(fmt.Sprintf("backend-%05d", number)), Service: registry.ServiceID(fmt.Sprintf("service-%03d", number%services)),
				Slots: 5, Weight: 1, LeaseStartMillis: 1, Labels: map[string]string{"pool": fmt.Sprint("pool-", k%4), "zone": n.FailureDomain},
			})
		}
		data, err := Encode(&membership.Message{Kind: membership.Ping, From: n.ID, Records: []registry.Node{n}})
		if err != nil {
			t.Fatal(err)
		}
		m, err := dec.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		for j := range m.Records[0].Backends {
			if b := &m.Records[0].Backends[j]; !shareLabels {
				b.Labels = maps.Clone(b.Labels)
			}
		}
		d.Apply(m.Records[0])
	}
	d.Snapshot()
	heap = heapInUse() - before
	runtime.KeepAlive(dec)
	return d, heap
}

// Guards against a directory in which each record has its own copy of its label set,
// which more than doubles the heap size.
func TestDirectoryHeap(t *testing.T) {
	shared, sharedHeap := directoryHeap(t, true)
	unshared, unsharedHeap := directoryHeap(t, false)
	t.Logf("directory of 25,008 backend servers: %.1f MB, %.1f MB without shared label sets", float64(sharedHeap)/1e6, float64(unsharedHeap)/1e6)
	if sharedHeap >= unsharedHeap*3/4 {
		t.Errorf("%d bytes with shared label sets, %d without", sharedHeap, unsharedHeap)
	}
	runtime.KeepAlive(shared)
	runtime.KeepAlive(unshared)
}
