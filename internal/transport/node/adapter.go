package node

import (
	"net/http"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/platform"
)

// Adapter translates between the node and a platform that speaks in a form of its
// own. It decides nothing. A nil Adapter selects the project's own interfaces.
type Adapter struct {
	// Platform is the object store.
	Platform platform.Client
	// Dialect names the headers of callers and backend servers.
	Dialect *header.Dialect
	// Announcements returns the handler of the announcements of backend servers.
	Announcements func(announce func(time.Time, ownership.Announcement) ownership.Result) http.Handler
	// Ready returns the handler that tells the platform whether the node takes
	// requests.
	Ready func(ready func() bool) http.Handler
}

func (n *Node) dialect() *header.Dialect {
	if n.opts.Adapter != nil {
		return n.opts.Adapter.Dialect
	}
	return header.DefaultDialect()
}

func (n *Node) platformClient() platform.Client {
	if n.opts.Adapter != nil {
		return n.opts.Adapter.Platform
	}
	s := n.opts.Settings.Platform
	return platform.NewHTTP(platform.Options{URL: s.Address, Timeout: time.Duration(s.Timeout)})
}

// takesRequests reports whether the node knows the policies well enough to serve.
// A platform with an adapter always has a configuration, so without one the node
// cannot tell a wrong path from one that it has not heard of.
func (n *Node) takesRequests() bool {
	if !n.sync.Status().Ready {
		return false
	}
	return n.opts.Adapter == nil || len(n.policies.All()) > 0
}
