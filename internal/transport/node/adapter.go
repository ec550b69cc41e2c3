package node

import (
	"net/http"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/platform"
)

// Adapter translates between the node and a platform with its own protocols. It makes
// no decisions. A nil Adapter selects the project's own protocols.
type Adapter struct {
	// Platform is the object store.
	Platform platform.Client
	// Dialect names the headers of callers and backend servers.
	Dialect *header.Dialect
	// Announcements returns the handler for the announcements of backend servers.
	Announcements func(announce func(time.Time, ownership.Announcement) ownership.Result) http.Handler
	// Ready returns the handler that tells the platform whether the node accepts
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

// acceptsRequests reports whether the node knows the policies well enough to serve. With
// an adapter, it must also know at least one policy. The platform always has a
// configuration then, and as long as the node has not received it, it cannot tell an
// invalid path from one that it does not know yet.
func (n *Node) acceptsRequests() bool {
	if !n.sync.Status().Ready {
		return false
	}
	return n.opts.Adapter == nil || len(n.policies.All()) > 0
}
