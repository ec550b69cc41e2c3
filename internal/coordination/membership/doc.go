// Package membership decides which nodes are members of the fleet and keeps
// the records that they publish about themselves.
//
// The protocol is SWIM-like: each node probes one member a second in a
// shuffled round, asks other members to probe on its behalf when no ack
// arrives, suspects a member that does not answer and declares it dead after the
// suspicion timeout. A member refutes a suspicion by raising its incarnation.
//
// Changes travel as short versions (id, incarnation, sequence, content hash).
// A node that sees a version whose content it lacks asks the sender for the
// full record, so a record crosses the network about once per node instead of
// once per transmission.
//
// Core has no clock, network or goroutines of its own. The caller passes in time
// and messages through Tick, Receive and the other input methods, and collects
// datagrams, changes and events from Ready.
package membership
