package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// TeamKey identifies a team in messages. It is a hash of the team's name.
type TeamKey uint64

// KeyOf returns the key of a team.
func KeyOf(team string) TeamKey { return TeamKey(xxhash.Sum64String(team)) }

// Limit is the quota of a team over all nodes, in requests.
type Limit struct {
	Team          string
	RatePerSecond float64
	Burst         float64
}

// MaxUsages and MaxDirectives bound a report and a reply, so that each fits into a packet.
const (
	MaxUsages     = 80
	MaxDirectives = MaxUsages + maxUnrequested
)

// Usage is the number of requests of one team at one node.
type Usage struct {
	Team TeamKey
	// Admitted is less than 0 if more requests were refunded than admitted.
	Admitted int64
	Refused  uint64
}

// Report contains the requests at a node since the last acknowledged report.
type Report struct {
	// Session identifies the process that reports.
	Session   uint64
	Partition Partition
	// Seq numbers the reports of a session from 1. Base is the last acknowledged one; the
	// usages begin after it.
	Seq, Base uint64
	Usages    []Usage
}

// Directive tells an ingress node to admit a fraction of the requests of a team.
type Directive struct {
	Team TeamKey
	// Fraction is between 0 and 1.
	Fraction float64
	// RetryAfter is when a refused request has a chance of being admitted.
	RetryAfter time.Duration
}

// Reply is sent by an aggregator to an ingress node.
type Reply struct {
	// Session and Seq are those of the acknowledged report. Seq is 0 if the reply
	// acknowledges none.
	Session, Seq uint64
	Partition    Partition
	// Directives replaces the directives of the reported teams if the reply acknowledges a
	// report, and those of all others too if it has less than maxUnrequested; otherwise, it
	// adds to them.
	Directives []Directive
}

// OutgoingReport is a report and its destination.
type OutgoingReport struct {
	To     registry.NodeID
	Report Report
}
