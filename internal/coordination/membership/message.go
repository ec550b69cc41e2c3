package membership

import "wigeonspring.example/wigeonspring/internal/state/registry"

// Kind is the purpose of a message.
type Kind uint8

// Kinds of messages.
const (
	Ping Kind = iota + 1
	Ack
	// PingRequest asks the receiver to ping the target on behalf of the sender.
	PingRequest
	// Gossip carries updates only.
	Gossip
)

// Version is the short record of a member: its version and status without its
// content.
type Version struct {
	ID          registry.NodeID
	Incarnation uint64
	Sequence    uint64
	Status      registry.MemberStatus
	// ContentHash identifies the content of the full record. It is 0 for suspect
	// and dead members.
	ContentHash uint64
}

// PolicyNotice announces that the sender has a certain epoch of the policy of a
// service.
type PolicyNotice struct {
	Service registry.ServiceID
	Epoch   uint64
	Hash    string
	// Text is the compressed document, or empty if it is too large for a datagram.
	Text []byte
}

// RecordPart is a piece of a full record that does not fit one datagram.
type RecordPart struct {
	// Node is the record with a part of its backend servers.
	Node registry.Node
	// Index is the position of the part, from 0 to Count-1.
	Index, Count int
	// ContentHash is the hash of the whole record.
	ContentHash uint64
}

// MaxParts is the maximum number of parts of a record.
const MaxParts = 64

// Message is one datagram between two nodes.
type Message struct {
	Kind            Kind
	Probe           uint64
	From            registry.NodeID
	FromIncarnation uint64
	Target          registry.NodeID
	TargetAddr      string
	// TargetIncarnation is the incarnation of the target. In a ping and a ping
	// request it is the one that the sender knows, in a relayed ack the one that the
	// target reported.
	TargetIncarnation uint64
	// PolicyDigest and DirectoryDigest are 0 if unknown.
	PolicyDigest    uint64
	DirectoryDigest uint64
	Records         []registry.Node
	Parts           []RecordPart
	Versions        []Version
	PolicyNotices   []PolicyNotice
	// Want lists members whose full records the sender requests.
	Want []registry.NodeID
}

// The functions below return an upper bound of the encoded size of a message, so
// that the core can keep its byte limits without knowing the encoding. Varints of
// counters are assumed to have the size of a millisecond timestamp, 6 bytes; those of
// incarnations use all 64 bits.
const (
	tagLen           = 2
	varintBytes      = 7
	incarnationBytes = 11
	fixed64Bytes     = 9
)

func stringBytes(n int) int {
	if n == 0 {
		return 0
	}
	if n < 128 {
		return tagLen + n
	}
	return tagLen + 2 + n
}

func versionBytes(v *Version) int {
	n := 2 + stringBytes(len(v.ID)) + incarnationBytes + varintBytes
	if v.Status != registry.Alive {
		n += 2
	}
	if v.ContentHash != 0 {
		n += fixed64Bytes
	}
	return n
}

func noticeBytes(p *PolicyNotice) int {
	return 3 + stringBytes(len(p.Service)) + varintBytes + stringBytes(len(p.Hash)) + stringBytes(len(p.Text))
}

// RecordBytes returns an upper bound of the encoded size of a full record.
func RecordBytes(n *registry.Node) int {
	size := 4 + stringBytes(len(n.ID)) + incarnationBytes + varintBytes + 2 + stringBytes(len(n.PeerAddr)) +
		stringBytes(len(n.OperatorAddr)) + stringBytes(len(n.FailureDomain)) + stringBytes(len(n.Region))
	for i := range n.Backends {
		b := &n.Backends[i]
		size += 3 + stringBytes(len(b.ID)) + stringBytes(len(b.Service)) + 3
		if b.State != registry.Active {
			size += 2
		}
		if b.LeaseStartMillis != 0 {
			size += varintBytes
		}
		if b.Weight != 1 {
			size += fixed64Bytes
		}
		for k, v := range b.Labels {
			size += 3 + stringBytes(len(k)) + stringBytes(len(v))
		}
	}
	return size
}

// Size returns an upper bound of the encoded size of the message, without IP and
// UDP headers.
func (m *Message) Size() int {
	n := 2 + stringBytes(len(m.From)) + incarnationBytes + stringBytes(len(m.Target)) + stringBytes(len(m.TargetAddr))
	if m.Probe != 0 {
		n += varintBytes
	}
	if m.TargetIncarnation != 0 {
		n += incarnationBytes
	}
	if m.PolicyDigest != 0 {
		n += fixed64Bytes
	}
	if m.DirectoryDigest != 0 {
		n += fixed64Bytes
	}
	for i := range m.Records {
		n += RecordBytes(&m.Records[i])
	}
	for i := range m.Parts {
		n += RecordBytes(&m.Parts[i].Node) + 4 + 2*varintBytes + fixed64Bytes
	}
	for i := range m.Versions {
		n += versionBytes(&m.Versions[i])
	}
	for i := range m.PolicyNotices {
		n += noticeBytes(&m.PolicyNotices[i])
	}
	for _, id := range m.Want {
		n += stringBytes(len(id))
	}
	return n
}
