package cluster

import (
	"google.golang.org/protobuf/proto"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/protocol/clusterpb"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Encode encodes a message as a datagram.
func Encode(m *membership.Message) ([]byte, error) {
	d := &clusterpb.Datagram{
		Kind:              clusterpb.Datagram_Kind(m.Kind),
		Probe:             m.Probe,
		From:              string(m.From),
		FromIncarnation:   m.FromIncarnation,
		Target:            string(m.Target),
		TargetAddress:     m.TargetAddr,
		TargetIncarnation: m.TargetIncarnation,
		PolicyDigest:      m.PolicyDigest,
		DirectoryDigest:   m.DirectoryDigest,
		Records:           records(m.Records),
		Versions:          versions(m.Versions),
		Want:              ids(m.Want),
	}
	for _, n := range m.PolicyNotices {
		d.Have = append(d.Have, EncodePolicyNotice(n))
	}
	for i := range m.Parts {
		part := &m.Parts[i]
		d.Parts = append(d.Parts, &clusterpb.RecordPart{
			Record: records([]registry.Node{part.Node})[0],
			Index:  uint32(part.Index), Count: uint32(part.Count), ContentHash: part.ContentHash,
		})
	}
	data, err := proto.Marshal(d)
	return data, fault.New("encode datagram", "", err)
}

// Decoder decodes messages. Records share equal strings and label sets, because
// thousands of backend servers have the same few. It is not safe for concurrent use.
type Decoder struct{ intern interner }

// NewDecoder returns an empty decoder.
func NewDecoder() *Decoder { return &Decoder{intern: newInterner()} }

// Decode decodes a datagram.
func (d *Decoder) Decode(data []byte) (*membership.Message, error) {
	var p clusterpb.Datagram
	if err := proto.Unmarshal(data, &p); err != nil {
		return nil, fault.New("decode datagram", "", err)
	}
	if p.Kind <= clusterpb.Datagram_KIND_UNSPECIFIED || p.Kind > clusterpb.Datagram_GOSSIP {
		return nil, fault.Newf("decode datagram", p.From, "unknown kind %d", p.Kind)
	}
	m := &membership.Message{
		Kind:              membership.Kind(p.Kind),
		Probe:             p.Probe,
		From:              registry.NodeID(p.From),
		FromIncarnation:   p.FromIncarnation,
		Target:            registry.NodeID(p.Target),
		TargetAddr:        p.TargetAddress,
		TargetIncarnation: p.TargetIncarnation,
		PolicyDigest:      p.PolicyDigest,
		DirectoryDigest:   p.DirectoryDigest,
		Records:           d.records(p.Records),
		Versions:          d.versions(p.Versions),
		Want:              nodeIDs(p.Want),
	}
	for _, part := range p.Parts {
		if part.Record == nil {
			continue
		}
		for _, n := range d.records([]*clusterpb.NodeRecord{part.Record}) {
			m.Parts = append(m.Parts, membership.RecordPart{
				Node: n, Index: int(part.Index), Count: int(part.Count), ContentHash: part.ContentHash,
			})
		}
	}
	for _, n := range p.Have {
		m.PolicyNotices = append(m.PolicyNotices, DecodePolicyNotice(n))
	}
	return m, nil
}

// EncodePolicyNotice encodes a policy notice.
func EncodePolicyNotice(n membership.PolicyNotice) *clusterpb.PolicyVersion {
	return &clusterpb.PolicyVersion{Service: string(n.Service), Epoch: n.Epoch, Hash: n.Hash, Text: n.Text}
}

// DecodePolicyNotice decodes a policy notice.
func DecodePolicyNotice(p *clusterpb.PolicyVersion) membership.PolicyNotice {
	return membership.PolicyNotice{Service: registry.ServiceID(p.GetService()), Epoch: p.GetEpoch(), Hash: p.GetHash(), Text: p.GetText()}
}

// EncodeSyncRequest encodes a sync request.
func EncodeSyncRequest(r *membership.SyncRequest) *clusterpb.SyncDirectoryRequest {
	return &clusterpb.SyncDirectoryRequest{
		From: string(r.From), FromIncarnation: r.FromIncarnation, Fill: r.Fill, Digests: r.Digests,
		Want: ids(r.Want), Records: records(r.Records), Versions: versions(r.Versions),
	}
}

// DecodeSyncRequest decodes a sync request.
func (d *Decoder) DecodeSyncRequest(p *clusterpb.SyncDirectoryRequest) *membership.SyncRequest {
	return &membership.SyncRequest{
		From: registry.NodeID(p.From), FromIncarnation: p.FromIncarnation, Fill: p.Fill, Digests: p.Digests,
		Want: nodeIDs(p.Want), Records: d.records(p.Records), Versions: d.versions(p.Versions),
	}
}

// EncodeSyncResponse encodes a sync response.
func EncodeSyncResponse(r *membership.SyncResponse) *clusterpb.SyncDirectoryResponse {
	p := &clusterpb.SyncDirectoryResponse{
		From: string(r.From), FromIncarnation: r.FromIncarnation,
		Versions: versions(r.Versions), Records: records(r.Records),
	}
	for _, b := range r.Buckets {
		p.Buckets = append(p.Buckets, uint32(b))
	}
	return p
}

// DecodeSyncResponse decodes a sync response.
func (d *Decoder) DecodeSyncResponse(p *clusterpb.SyncDirectoryResponse) *membership.SyncResponse {
	r := &membership.SyncResponse{
		From: registry.NodeID(p.From), FromIncarnation: p.FromIncarnation,
		Versions: d.versions(p.Versions), Records: d.records(p.Records),
	}
	for _, b := range p.Buckets {
		r.Buckets = append(r.Buckets, int(b))
	}
	return r
}

func ids(in []registry.NodeID) []string {
	var out []string
	for _, id := range in {
		out = append(out, string(id))
	}
	return out
}

func nodeIDs(in []string) []registry.NodeID {
	var out []registry.NodeID
	for _, id := range in {
		out = append(out, registry.NodeID(id))
	}
	return out
}

func versions(in []membership.Version) []*clusterpb.MemberVersion {
	var out []*clusterpb.MemberVersion
	for i := range in {
		v := &in[i]
		out = append(out, &clusterpb.MemberVersion{
			Id: string(v.ID), Incarnation: v.Incarnation, Sequence: v.Sequence,
			Status: clusterpb.MemberStatus(v.Status), ContentHash: v.ContentHash,
		})
	}
	return out
}

func (d *Decoder) versions(in []*clusterpb.MemberVersion) []membership.Version {
	var out []membership.Version
	for _, v := range in {
		if v.Id == "" || v.Status < 0 || v.Status > clusterpb.MemberStatus_DEAD {
			continue
		}
		out = append(out, membership.Version{
			ID: registry.NodeID(v.Id), Incarnation: v.Incarnation, Sequence: v.Sequence,
			Status: registry.MemberStatus(v.Status), ContentHash: v.ContentHash,
		})
	}
	return out
}
