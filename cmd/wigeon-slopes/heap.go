package main

import (
	"runtime"

	"google.golang.org/protobuf/proto"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/coordination/membership/simnet"
	"wigeonspring.example/wigeonspring/internal/protocol/cluster"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

func wireSize(m proto.Message) int { return proto.Size(m) }

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// nodeHeapBytes returns the size on the heap of the membership core and the directory of
// one node. Both are filled from encoded records, as when these arrive from the network.
func nodeHeapBytes(nodes, backends int) float64 {
	resp := &membership.SyncResponse{From: "fill"}
	for i := 1; i < nodes; i++ {
		n := newRecord(i, i*backends, backends)
		n.Incarnation, n.Sequence = startMillis, 1
		resp.Records = append(resp.Records, n)
	}
	data, err := proto.Marshal(cluster.EncodeSyncResponse(resp))
	if err != nil {
		panic(err)
	}
	resp = nil
	before := heapBytes()
	net := simnet.New(simnet.Options{})
	self := net.Add(membership.Options{Self: newRecord(0, 0, backends), Seeds: []string{"10.0.0.1:1"}})
	dir := registry.NewDirectory()
	var p syncResponse
	if err := proto.Unmarshal(data, &p); err != nil {
		panic(err)
	}
	fill := membership.Sync{Fill: true}
	self.Core.SyncContinue(net.Now(), fill, cluster.NewDecoder().DecodeSyncResponse(&p))
	self.Core.SyncDone(net.Now(), fill, nil)
	p.Reset()
	for _, ch := range self.Core.Ready().Changes {
		dir.Apply(ch.Node)
	}
	after := heapBytes()
	runtime.KeepAlive(self)
	runtime.KeepAlive(dir)
	runtime.KeepAlive(data)
	return after - before
}

// measureHeap reports the heap use of one node and its growth per node record and per
// backend server.
func measureHeap(r *report, nodes, backends int) {
	empty := nodeHeapBytes(1, 0)
	withoutBackends := nodeHeapBytes(nodes, 0)
	withBackends := nodeHeapBytes(nodes, backends)
	r.addWithTarget("heap_per_node", withBackends, "bytes", targetHeapBytes)
	r.addWithTarget("heap_per_node_record", (withoutBackends-empty)/float64(nodes-1), "bytes", targetHeapBytesPerNodeRecord)
	r.addWithTarget("heap_per_backend_server", (withBackends-withoutBackends)/float64((nodes-1)*backends), "bytes", targetHeapBytesPerBackend)
	var size int
	n := newRecord(1, 0, backends)
	n.Incarnation, n.Sequence = startMillis, 1
	size = proto.Size(cluster.EncodeSyncResponse(&membership.SyncResponse{Records: []registry.Node{n}}))
	r.add("encoded_record", float64(size), "bytes")
}
