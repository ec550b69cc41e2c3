package cluster

import (
	"math/rand/v2"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against a datagram that makes the decoder or the membership core panic, that
// violates an invariant of the core, or whose message cannot be encoded again.
func FuzzDatagram(f *testing.F) {
	for _, m := range []*membership.Message{
		sample("a", 3, 5), sample("self", 0, 1<<50), {Kind: membership.Ack, From: "a", Probe: 1},
		{Kind: membership.PingRequest, From: "a", Target: "b", TargetAddr: "10.0.0.3:1"},
	} {
		data, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	start := time.Unix(1_700_000_000, 0)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := NewDecoder().Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(m); err != nil {
			t.Fatalf("%+v: %v", m, err)
		}
		core := membership.New(start, membership.Options{
			Self:  registry.Node{ID: "self", Incarnation: 1, PeerAddr: "10.0.0.1:1"},
			Seeds: []string{"10.0.0.2:1"}, Rand: rand.New(rand.NewPCG(1, 2)),
		})
		known := sample("b", 1, 1)
		core.Receive(start, "10.0.0.2:1", known)
		now := start
		for range 2 {
			core.Receive(now, "10.0.0.3:1", m)
			for range 60 {
				now = now.Add(membership.TickInterval)
				core.Tick(now)
				ready := core.Ready()
				for i := range ready.Datagrams {
					if _, err := Encode(ready.Datagrams[i].Message); err != nil {
						t.Fatalf("outgoing message: %v", err)
					}
				}
			}
		}
	})
}
