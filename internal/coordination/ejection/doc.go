// Package ejection decides which backend servers of this owner node are ejected
// and when they return to service. The Core has no goroutines, sockets or clock.
// Its inputs are observations, the time and the view of the services, and its
// outputs are typed decisions.
//
// A Detector judges a backend server by the outcomes of its requests. A failing
// backend server is ejected only with a permit of the service and only if the
// remaining capacity is at least the floor. Otherwise it is degraded: its weight
// is lowered to DegradedWeight.
package ejection
