package cluster

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"wigeonspring.example/wigeonspring/internal/protocol/clusterpb"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

func records(in []registry.Node) []*clusterpb.NodeRecord {
	var out []*clusterpb.NodeRecord
	for i := range in {
		n := &in[i]
		p := &clusterpb.NodeRecord{
			Id: string(n.ID), Incarnation: n.Incarnation, Sequence: n.Sequence,
			Status: clusterpb.MemberStatus(n.Status), PeerAddress: n.PeerAddr, OperatorAddress: n.OperatorAddr,
			FailureDomain: n.FailureDomain, Region: n.Region,
		}
		for j := range n.Backends {
			b := &n.Backends[j]
			r := &clusterpb.BackendRecord{
				Id: string(b.ID), Service: string(b.Service), Slots: uint32(max(0, b.Slots)),
				Labels: b.Labels, State: uint32(b.State),
				Announced: b.LeaseStartMillis,
			}
			if b.Weight != 1 {
				r.Weight = proto.Float64(b.Weight)
			}
			p.Backends = append(p.Backends, r)
		}
		out = append(out, p)
	}
	return out
}

func (d *Decoder) records(in []*clusterpb.NodeRecord) []registry.Node {
	var out []registry.Node
	for _, p := range in {
		if p.Id == "" || p.PeerAddress == "" || p.Status < 0 || p.Status > clusterpb.MemberStatus_DEAD {
			continue
		}
		n := registry.Node{
			ID: registry.NodeID(p.Id), Incarnation: p.Incarnation, Sequence: p.Sequence,
			Status: registry.MemberStatus(p.Status), PeerAddr: p.PeerAddress, OperatorAddr: p.OperatorAddress,
			FailureDomain: d.intern.str(p.FailureDomain), Region: d.intern.str(p.Region),
		}
		if len(p.Backends) > 0 {
			n.Backends = make([]registry.Backend, 0, len(p.Backends))
		}
		for _, r := range p.Backends {
			b := registry.Backend{
				ID: registry.BackendID(r.Id), Service: registry.ServiceID(d.intern.str(r.Service)),
				Slots: int(r.Slots), Labels: d.intern.labels(r.Labels), State: registry.BackendState(r.State), Weight: 1,
				LeaseStartMillis: r.Announced,
			}
			if r.Weight != nil {
				b.Weight = *r.Weight
			}
			n.Backends = append(n.Backends, b)
		}
		out = append(out, n)
	}
	return out
}

// maxInterned is the maximum size of each table of shared values. A table that reaches
// it is cleared.
const maxInterned = 1 << 14

// interner returns one shared value for equal strings or label sets. Sharing is safe
// because the label sets of records are never changed.
type interner struct {
	strings map[string]string
	sets    map[string]map[string]string
}

func newInterner() interner {
	return interner{strings: make(map[string]string), sets: make(map[string]map[string]string)}
}

func (in *interner) str(s string) string {
	if v, ok := in.strings[s]; ok {
		return v
	}
	if len(in.strings) >= maxInterned {
		clear(in.strings)
	}
	s = strings.Clone(s)
	in.strings[s] = s
	return s
}

func (in *interner) labels(set map[string]string) map[string]string {
	if len(set) == 0 {
		return nil
	}
	keys := make([]string, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var b strings.Builder
	for _, k := range keys {
		b.WriteString(k)
		b.WriteByte(0)
		b.WriteString(set[k])
		b.WriteByte(0)
	}
	if v, ok := in.sets[b.String()]; ok {
		return v
	}
	if len(in.sets) >= maxInterned {
		clear(in.sets)
	}
	in.sets[b.String()] = set
	return set
}
