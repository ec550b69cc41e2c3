// Package cluster encodes and decodes the messages of the membership core as messages
// of package clusterpb.
package cluster
