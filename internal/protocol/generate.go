// Package protocol holds the messages between processes. Generated code is
// committed; run "make generate" after a change of a .proto file.
package protocol
