// Package quota runs the quotas of teams on a node. It admits the requests of callers, reports
// them to the aggregators of other nodes, and aggregates the reports of others. Its datagrams
// share the socket of the membership protocol.
package quota
