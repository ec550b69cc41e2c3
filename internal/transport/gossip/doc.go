// Package gossip carries the membership protocol over UDP and the directory
// sync over twirp, and keeps a directory up to date.
//
// One goroutine reads the socket, one runs the membership core and sends, and
// one runs directory syncs. They are joined by bounded rings.
package gossip
