// Package distribution distributes the policies of the services from the platform to every
// node, and decides when a starting node may serve.
//
// Core is a state machine without goroutines, clock or sockets. Step takes the time,
// received messages, the live members and the replies of the platform. It returns the
// datagrams, calls and platform request to send and the events to publish.
//
// A new epoch reaches a node in one of three ways:
//
//   - Two members of each failure domain watch the platform. While they get no replies,
//     other members take over the watch.
//   - Each node sends a Notification to peers once the policy is in force on it.
//   - A node syncs with any peer whose table has a different digest.
package distribution
