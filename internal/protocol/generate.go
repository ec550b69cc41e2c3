// Package protocol contains the definitions of the messages between processes. The
// generated code is committed. Run "make generate" after a change of a .proto file.
package protocol
