// Package console serves the operators' console: pages about services and
// nodes, and a form that edits the policy of one service. It is rendered on the
// server and needs no JavaScript. Its Guard protects every operator endpoint.
package console
