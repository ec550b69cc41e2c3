// Package distribution decides how the policies of the services spread from the
// platform to every node, and when a starting node may serve.
//
// Core is a decision core: time, messages, the members alive and the answers of
// the platform go into Step, and datagrams, calls, a platform request and events
// come out. It has no goroutine, clock or socket. Three paths bring an epoch to
// a node: a watch on the platform by two members of each failure domain, or by
// others while these get no answers, the Notification that each node passes on
// once it has the policy in force, and a sync with any peer whose table has
// another digest.
package distribution
