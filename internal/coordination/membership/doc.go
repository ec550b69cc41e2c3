// Package membership decides which nodes are members of the fleet and keeps
// the records that they publish about themselves.
//
// The protocol is SWIM-like: each node probes one member a second in a
// shuffled round, asks other members to probe on its behalf when no ack
// arrives, suspects a member that stays silent and declares it dead after the
// suspicion timeout. A member refutes a suspicion by raising its incarnation.
//
// Changes travel as short versions (id, incarnation, sequence, content hash).
// A node that sees a version whose content it lacks asks the sender for the
// full record, so a record crosses the network about once per node instead of
// once per transmission.
//
// Core has no clock, network or goroutine. Time and messages come in by Tick,
// Receive and the other inputs; datagrams, changes and events go out by Ready.
package membership
