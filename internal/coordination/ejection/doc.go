// Package ejection decides which backend servers of this owner node are taken
// out of service and when they return. The core has no goroutine, socket or
// clock: observations, time and the view of the service come in, and typed
// decisions go out.
//
// A backend server is judged by a Detector on the evidence of real work. A
// failing backend server is ejected only with a permit of the service and only
// if the capacity that remains is at least the floor. Otherwise it is degraded:
// it keeps a small share of the work.
package ejection
