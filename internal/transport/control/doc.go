// Package control serves the Control RPCs of a node: announcements of backend
// servers, and what operators ask about the fleet.
package control
