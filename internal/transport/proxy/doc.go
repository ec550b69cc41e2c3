// Package proxy is the request path of a node. Ingress takes the requests of
// callers, chooses a backend server and passes each request to the owner of that
// backend server. Owner admits requests and runs them on its backend servers.
package proxy
