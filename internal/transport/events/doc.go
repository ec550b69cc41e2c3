// Package events delivers the events of a node to their consumers: the JSON log,
// the metrics and the explain store. It uses the watermill router with a subscriber
// on a bounded ring for each consumer. A producer never blocks. A slow consumer
// loses events, which are counted.
package events
