// Package control serves the Control RPCs of a node: the announcements of backend servers,
// and the queries and drains of operators.
package control
