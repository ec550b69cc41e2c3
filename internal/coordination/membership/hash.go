package membership

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Buckets is the number of buckets of the directory digest.
const Buckets = 64

type hasher struct {
	d   xxhash.Digest
	buf [8]byte
}

func (h *hasher) str(s string) {
	h.num(uint64(len(s)))
	_, _ = h.d.WriteString(s)
}

func (h *hasher) num(v uint64) {
	binary.LittleEndian.PutUint64(h.buf[:], v)
	_, _ = h.d.Write(h.buf[:])
}

// ContentHash returns the hash of the content of a record, which excludes its
// version and status. It is never 0.
func ContentHash(n *registry.Node) uint64 {
	var h hasher
	h.d.Reset()
	h.str(string(n.ID))
	h.str(n.PeerAddr)
	h.str(n.OperatorAddr)
	h.str(n.FailureDomain)
	h.str(n.Region)
	var keys []string
	for i := range n.Backends {
		b := &n.Backends[i]
		h.str(string(b.ID))
		h.str(string(b.Service))
		h.num(uint64(b.Slots))
		h.num(uint64(b.State))
		h.num(math.Float64bits(b.Weight))
		h.num(b.LeaseStartMillis)
		h.num(uint64(len(b.Labels)))
		keys = keys[:0]
		for k := range b.Labels {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			h.str(k)
			h.str(b.Labels[k])
		}
	}
	if sum := h.d.Sum64(); sum != 0 {
		return sum
	}
	return 1
}

// Bucket returns the bucket of the directory digest that a member belongs to.
func Bucket(id registry.NodeID) int { return int(xxhash.Sum64String(string(id)) % Buckets) }

// entryHash returns the hash that a member adds to the directory digest. Suspicion is
// excluded because it is short-lived. Dead members are excluded because nodes delete
// them at different times.
func entryHash(n *registry.Node, content uint64) uint64 {
	if n.Status == registry.Dead {
		return 0
	}
	var h hasher
	h.d.Reset()
	h.str(string(n.ID))
	h.num(n.Incarnation)
	h.num(n.Sequence)
	h.num(content)
	if n.Status == registry.Leaving {
		h.num(1)
	}
	return h.d.Sum64()
}
