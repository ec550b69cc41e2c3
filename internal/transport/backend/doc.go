// Package backend is the HTTP/1.1 client with which an owner sends requests to its backend
// servers. It keeps a bounded pool of connections per backend server, sends every request
// at most once, and classifies each failure as evidence about the backend server.
package backend
