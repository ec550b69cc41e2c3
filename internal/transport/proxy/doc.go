// Package proxy is the request path of a node. Ingress receives the requests of
// callers, chooses a backend server and forwards each request to the node that owns
// this backend server. Owner admits requests and runs them on its backend servers.
package proxy
