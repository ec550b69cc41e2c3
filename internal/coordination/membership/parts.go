package membership

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// assembly collects the parts of one version of a record.
type assembly struct {
	hash     uint64
	parts    [][]registry.Backend
	missing  int
	lastPart time.Time
}

// assemblyTimeout is how long the parts of an incomplete record are kept after the
// last part arrived. A record is requested at most 4 times, and all parts are sent
// for each request.
const assemblyTimeout = 4 * recordRequestRetry

// maxAssemblies limits the memory for incomplete records.
const maxAssemblies = 256

// sendRecord sends a full record, in parts if it does not fit one datagram.
func (c *Core) sendRecord(to Peer, m *member) {
	if RecordBytes(&m.node) <= c.opts.MaxRecordBytes {
		reply := c.message(Gossip)
		reply.Records = []registry.Node{m.node}
		if c.send(to, reply, reserveRecord) {
			c.stats.RecordsSent++
		}
		return
	}
	parts := split(&m.node, c.opts.MaxRecordBytes)
	for i, backends := range parts {
		part := RecordPart{Node: m.node, Index: i, Count: len(parts), ContentHash: m.hash}
		part.Node.Backends = backends
		reply := c.message(Gossip)
		reply.Parts = []RecordPart{part}
		if !c.send(to, reply, reserveRecord) {
			// The receiver keeps the parts that it has and requests the record again.
			return
		}
	}
	c.stats.RecordsSent++
}

// split divides the backend servers of a record so that no part exceeds the limit,
// unless a single backend server does or MaxParts is reached.
func split(n *registry.Node, limit int) [][]registry.Backend {
	head := *n
	head.Backends = nil
	base := RecordBytes(&head)
	var parts [][]registry.Backend
	start, size := 0, base
	for i := range n.Backends {
		head.Backends = n.Backends[i : i+1]
		one := RecordBytes(&head) - base
		if i > start && size+one > limit && len(parts) < MaxParts-1 {
			parts = append(parts, n.Backends[start:i])
			start, size = i, base
		}
		size += one
	}
	return append(parts, n.Backends[start:])
}

// applyPart stores a part and applies the record once all parts have arrived.
func (c *Core) applyPart(from Peer, p *RecordPart) {
	if p.Count < 1 || p.Count > MaxParts || p.Index < 0 || p.Index >= p.Count || p.Node.ID == "" {
		return
	}
	m := c.members[p.Node.ID]
	if m != nil && m != c.self && !supersedes(p.Node.Incarnation, p.Node.Sequence, m) {
		return
	}
	a := c.assemblies[p.Node.ID]
	if a == nil || a.hash != p.ContentHash || len(a.parts) != p.Count {
		if a == nil && len(c.assemblies) >= maxAssemblies {
			return
		}
		a = &assembly{hash: p.ContentHash, parts: make([][]registry.Backend, p.Count), missing: p.Count}
		c.assemblies[p.Node.ID] = a
	}
	a.lastPart = c.now
	if a.parts[p.Index] == nil {
		a.parts[p.Index] = p.Node.Backends
		a.missing--
	}
	if a.missing > 0 {
		return
	}
	delete(c.assemblies, p.Node.ID)
	n := p.Node
	n.Backends = nil
	for _, b := range a.parts {
		n.Backends = append(n.Backends, b...)
	}
	if ContentHash(&n) == p.ContentHash {
		c.applyRecord(from, &n)
	}
}

// tickAssemblies deletes incomplete records after assemblyTimeout.
func (c *Core) tickAssemblies() {
	for id, a := range c.assemblies {
		if c.now.Sub(a.lastPart) > assemblyTimeout {
			delete(c.assemblies, id)
		}
	}
}
