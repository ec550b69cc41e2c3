// Package cluster converts the messages of the membership core to and from
// their encoding in clusterpb.
package cluster
