// Package console serves the operators' console: pages that show services and
// nodes, and a form that edits the policy of one service. The pages are rendered
// on the server and need no JavaScript. Guard protects every operator endpoint.
package console
