package routing

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against the refusal of nearly all requests of a service that has no serving
// backend server in the local region: none is known, all are ejected, or the owner is
// dead. The byte limit still applies, and so does the percentage once the region has a
// serving backend server again.
func TestSpillWithoutLocalBackends(t *testing.T) {
	rng := proptest.Rand(t)
	ejected, dead := nodes("r0a", "r1a"), nodes("r0a", "r1a")
	change(ejected, "n0", func(n *registry.Node) {
		n.Backends[0].State, n.Backends[1].State = registry.Ejected, registry.Draining
	})
	change(dead, "n0", func(n *registry.Node) { n.Status = registry.Dead })
	run := func(b *Balancer, d *registry.Directory, r Request) (remote int) {
		for range 1000 {
			if target, err := b.Pick(t0, rng, d.Snapshot(), r); err == nil {
				if target.Locality == OtherRegion {
					remote++
				}
				b.Done(t0, target, Result{Outcome: Abandoned, Bytes: initialResponseBytes})
			}
		}
		return remote
	}
	cases := []struct {
		name       string
		d          *registry.Directory
		percent    float64
		bytes      int64
		least, top int
	}{
		{"none known", nodes("r1a"), 5, 1 << 30, 1000, 1000},
		{"none serving", ejected, 5, 1 << 30, 1000, 1000},
		{"owner dead", dead, 5, 1 << 30, 1000, 1000},
		{"byte limit", nodes("r1a"), 5, 64 << 10, 8, 8},
		{"no bytes allowed", nodes("r1a"), 5, 0, 0, 0},
		{"no requests allowed", nodes("r1a"), 0, 1 << 30, 0, 0},
	}
	for _, c := range cases {
		r := request()
		r.Limits = policy.Limits{SpillPercent: c.percent, SpillBytesPerSecond: c.bytes}
		if got := run(balancer(), c.d, r); got < c.least || got > c.top {
			t.Errorf("%s: %d of 1000 requests went to the other region, want %d to %d", c.name, got, c.least, c.top)
		}
	}
	b := balancer()
	run(b, ejected, request())
	change(ejected, "n0", func(n *registry.Node) { n.Backends[0].State = registry.Active })
	fill(b, t0, ejected.Snapshot(), SameDomain)
	b.service(serviceID).overflow[SameDomain] = overflow{share: 1, at: t0}
	if got := run(b, ejected, request()); got > 53 {
		t.Errorf("%d of 1000 requests left a region that is full but serving, want at most 53", got)
	}
}

// Guards against transfers between regions above the byte rate. In 20 s at 64 KB/s, the
// limit allows for a burst of one second and for the requests in flight, whose number
// is bounded too.
func TestSpillBytes(t *testing.T) {
	rng, snap := proptest.Rand(t), nodes("r1a").Snapshot()
	r := request()
	r.Limits = policy.Limits{SpillPercent: 100, SpillBytesPerSecond: DefaultSpillBytesPerSecond}
	for _, c := range []struct{ body, response int64 }{{100 << 10, 1000}, {1000, 30 << 10}} {
		b, size := balancer(), c.body+c.response
		r.BodyBytes = c.body
		var sent, most int64
		var open []Target
		for now := t0; now.Before(t0.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
			if target, err := b.Pick(now, rng, snap, r); err == nil {
				sent += size
				open = append(open, target)
				most = max(most, int64(len(open)))
			}
			if now.Sub(t0)%(200*time.Millisecond) == 0 { // Round trips overlap.
				for _, target := range open {
					b.Done(now, target, Result{Bytes: size})
				}
				open = open[:0]
			}
		}
		low, high := int64(18*DefaultSpillBytesPerSecond), 21*DefaultSpillBytesPerSecond+most*size
		if sent < low || sent > high || most > 8 {
			t.Errorf("%d bytes in 20 s, want %d to %d; %d in flight", sent, low, high, most)
		}
	}
}
