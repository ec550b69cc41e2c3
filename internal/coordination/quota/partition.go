package quota

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// nodesPerPartition bounds the reports that one aggregator gets from a growing fleet.
const nodesPerPartition = 128

// Partition is a set of teams with a common aggregator. Its number also tells how many
// partitions there are: n partitions, n being a power of two, have the numbers n to 2n-1.
type Partition uint32

// partitionCount returns the number of partitions of a fleet. It is a power of two, so that
// nodes whose views of the fleet differ a little mostly agree on it.
func partitionCount(members int) int {
	return 1 << (bits.Len(uint(max(members/nodesPerPartition, 1))) - 1)
}

// partitionOf returns the partition of a team.
func partitionOf(team TeamKey, count int) Partition {
	return Partition(uint64(count) + uint64(team)%uint64(count))
}

// rank returns the rendezvous hash of a member for a partition.
func rank(p Partition, id registry.NodeID) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint32([]byte(id), uint32(p)))
}

// aggregatorOf returns the member with the highest rendezvous hash that is not excluded, or ""
// if there is none.
func aggregatorOf(p Partition, members []registry.NodeID, excluded func(registry.NodeID) bool) registry.NodeID {
	var best registry.NodeID
	var highest uint64
	for _, id := range members {
		if excluded(id) {
			continue
		}
		if h := rank(p, id); best == "" || h > highest {
			best, highest = id, h
		}
	}
	return best
}
