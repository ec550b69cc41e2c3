// Package gossip runs the membership protocol over UDP and the directory sync over
// twirp, and keeps a directory up to date.
//
// One goroutine reads the socket, one runs the membership core and sends datagrams,
// and one runs directory syncs. They communicate through bounded rings.
package gossip
