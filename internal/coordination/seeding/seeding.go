// Package seeding decides which nodes of a failure domain are listed as its seeds: the addresses by
// which starting nodes find the fleet. The list is an object on the platform. It must name live nodes
// although all VMs are replaced in the course of time, at a number of calls that does not grow with
// the fleet.
//
// The package reads no clock and makes no calls: the list and the members are passed in.
package seeding

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Entry is a seed.
type Entry struct {
	Node registry.NodeID `json:"node"`
	// Addr is the address for nodes (IP:port).
	Addr string `json:"addr"`
}

// Status is what a node knows of another one.
type Status uint8

// Statuses, the least useful seeds first.
const (
	// Gone: the node has left or was declared dead.
	Gone Status = iota
	// Unknown: the node may be alive in a part of the fleet that is not known.
	Unknown
	// Live: the node is a member.
	Live
)

// Options configures the list of a failure domain.
type Options struct {
	// Want is the number of live seeds to be listed.
	Want int
	// Limit is the largest number of entries. Room beyond Want keeps unknown nodes, so that the
	// parts of a divided fleet do not remove each other's seeds.
	Limit int
}

// Needs reports whether the list should get the entry self because it names too few live nodes.
func Needs(o Options, list []Entry, self Entry, status func(registry.NodeID) Status) bool {
	live := 0
	for _, e := range list {
		if e == self {
			return false
		}
		if e.Node != self.Node && status(e.Node) == Live {
			live++
		}
	}
	return live < o.Want
}

// Candidate reports whether self is one of the nodes of the failure domain that are to add
// themselves to a list that needs entries. All nodes that know the same members select the same
// ones, so that the others make no calls.
func Candidate(o Options, self registry.NodeID, members []registry.NodeID) bool {
	before := 0
	own := rank(self)
	for _, id := range members {
		if id == self {
			continue
		}
		if r := rank(id); r < own || r == own && id < self {
			before++
		}
	}
	return before < o.Want
}

func rank(id registry.NodeID) uint64 { return xxhash.Sum64String("seed\x00" + string(id)) }

// Add returns the list with the entry self, sorted by node. If it gets too long, it loses the nodes
// that are gone first, then those that are unknown.
func Add(o Options, list []Entry, self Entry, status func(registry.NodeID) Status) []Entry {
	others := slices.DeleteFunc(slices.Clone(list), func(e Entry) bool { return e.Node == self.Node })
	slices.SortStableFunc(others, func(a, b Entry) int { return int(status(b.Node)) - int(status(a.Node)) })
	others = others[:min(len(others), o.Limit-1)]
	list = append(others, self)
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return list
}
