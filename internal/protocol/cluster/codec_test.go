package cluster

import (
	"reflect"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

func sample(id string, backends, n uint64) *membership.Message {
	m := &membership.Message{
		Kind: membership.Ping, Probe: n, From: registry.NodeID(id), FromIncarnation: 1_700_000_000_000 + n,
		Target: "b", TargetAddr: "10.0.0.1:7946", TargetIncarnation: n, PolicyDigest: n, DirectoryDigest: ^n,
		Versions:      []membership.Version{{ID: registry.NodeID(id + "x"), Incarnation: n, Sequence: n, Status: registry.Suspect}},
		PolicyNotices: []membership.PolicyNotice{{Service: "booking", Epoch: n, Hash: strings.Repeat("h", int(n%70))}},
		Want:          []registry.NodeID{"c"},
	}
	node := registry.Node{
		ID: registry.NodeID(id), Incarnation: n, Sequence: 7, PeerAddr: "10.0.0.2:7946", OperatorAddr: "10.0.0.2:7947",
		FailureDomain: "domain-1", Region: "west", Status: registry.Leaving,
	}
	for i := range backends {
		node.Backends = append(node.Backends, registry.Backend{
			ID: registry.BackendID(strings.Repeat("b", int(i%200)+1)), Service: "photo", Slots: int(n % 100),
			Labels: map[string]string{"zone": "a", "tier": id}, State: registry.BackendState(i % 4), Weight: float64(i) / 10, LeaseStartMillis: n,
		})
	}
	m.Records = []registry.Node{node}
	m.Parts = []membership.RecordPart{{Node: node, Index: 1, Count: 3, ContentHash: n}}
	return m
}

// Guards against fields that are lost in the encoding, and against a size estimate below
// the encoded size, which would let a node exceed its send budget.
func TestEncodeDecode(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(proptest.Seed(t))
	properties := gopter.NewProperties(params)
	properties.Property("a decoded message equals the encoded one and fits the estimate", prop.ForAll(
		func(id string, backends, n uint64) bool {
			m := sample("n"+id, backends, n)
			data, err := Encode(m)
			if err != nil {
				t.Log(err)
				return false
			}
			got, err := NewDecoder().Decode(data)
			if err != nil || !reflect.DeepEqual(m, got) {
				t.Logf("%v: %+v became %+v", err, m, got)
				return false
			}
			if len(data) > m.Size() {
				t.Logf("encoded %d bytes, estimated %d", len(data), m.Size())
				return false
			}
			return membership.ContentHash(&m.Records[0]) == membership.ContentHash(&got.Records[0])
		},
		gen.AlphaString(), gen.UInt64Range(1, 40), gen.UInt64Range(1, 1<<40),
	))
	properties.TestingRun(t)
}

// Guards against a panic or an invalid message for input that is not a datagram.
func TestDecodeMalformed(t *testing.T) {
	for _, data := range [][]byte{nil, {0xff, 0xff}, []byte("GET / HTTP/1.1"), {0x08, 0x63}} {
		if m, err := NewDecoder().Decode(data); err == nil {
			t.Errorf("%x decoded as %+v", data, m)
		}
	}
}
