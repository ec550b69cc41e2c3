// Package events carries the decisions of a node to their consumers: the JSON
// log, the metrics and the explain store. It is built on watermill with a
// publisher and subscriber over bounded rings. A producer never blocks; a slow
// consumer loses events, which are counted.
package events
