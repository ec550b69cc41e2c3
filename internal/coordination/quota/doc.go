// Package quota bounds the requests of each team over all nodes.
//
// Each team belongs to a partition, and each partition has an aggregator, which is the live
// member with the highest rendezvous hash. Ingress nodes count the requests that they admit
// and report the counts a few times a second. The aggregator keeps a token bucket for each
// team. If the bucket of a team runs short, the aggregator tells the ingress nodes which
// fraction of the team's requests to admit. Requests admitted in the meantime become a debt
// of the bucket, which lowers the fraction until it is paid off.
//
// A node without contact to an aggregator admits by a local bucket with an equal part of each
// quota. The aggregator leaves the parts of the members that it does not hear of unused.
//
// Limiter is the side of an ingress node, Aggregator that of an aggregator. Neither has a
// clock, network or goroutines of its own, and neither stores anything: all state is rebuilt
// from the reports of about a second. They are not safe for concurrent use.
package quota
