package proxy

import (
	"sync"

	"wigeonspring.example/wigeonspring/internal/coordination/admission"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// throttles holds a throttle for each route whose requests have failed at a call that
// found no slot. Most routes make no calls and have none.
type throttles struct{ byRoute sync.Map }

type throttledRoute struct {
	service registry.ServiceID
	route   string
}

// of returns the throttle of a route, or nil if there is none and create is not set.
func (t *throttles) of(service registry.ServiceID, route string, create bool) *admission.Throttle {
	key := throttledRoute{service, route}
	if found, ok := t.byRoute.Load(key); ok {
		return found.(*admission.Throttle)
	}
	if !create {
		return nil
	}
	found, _ := t.byRoute.LoadOrStore(key, &admission.Throttle{})
	return found.(*admission.Throttle)
}
