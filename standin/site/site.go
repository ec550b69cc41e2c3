// Package site describes a deployment for a fault soak: its services, their routes, the calls
// between them and the traffic of each.
package site

import (
	"fmt"
	"strings"
	"time"

	"wigeonspring.example/wigeonspring/standin/caller"
)

// MaxAttempts is the largest number of backend servers that may run a request.
const MaxAttempts = 3

// segmentPause is the longest pause between two segments of a body. It keeps slots free at the
// rates of the traffic.
const segmentPause = 80 * time.Millisecond

// Service is a service of the deployment.
type Service struct {
	Name string
	// Calls is the service that the runs of requests call whose path begins with CallingPath.
	// It is empty for none.
	Calls, CallingPath string
	// Traffic has the mix of the service's operations.
	Traffic caller.Options
}

// Services are the services. Each VM runs a backend server of one of them, in turn.
var Services = []Service{
	{"catalogue", "reservations", "/items/", caller.Options{BookingPercent: 20, HoldPercent: 15, FeedPercent: 15, UploadPercent: 5, SegmentPause: segmentPause}},
	{"reservations", "returns", "/bookings/", caller.Options{BookingPercent: 70, HoldPercent: 10, FeedPercent: 5, SegmentPause: segmentPause}},
	{"returns", "", "", caller.Options{BookingPercent: 20, UploadPercent: 40, HoldPercent: 10, FeedPercent: 5, SegmentPause: segmentPause}},
}

// TrafficWithoutReads has only operations that must not be repeated, so that only these test
// suspect backend servers.
var TrafficWithoutReads = caller.Options{BookingPercent: 60, UploadPercent: 40}

// Route is a route that each service has. The prefix ends with a slash.
type Route struct {
	Name, Method, Prefix string
	Idempotent           bool
}

// Routes are the routes of each service.
var Routes = []Route{
	{"items", "GET", "/items/", true}, {"feeds", "GET", "/feeds/", true}, {"holds", "POST", "/holds/", true},
	{"bookings", "POST", "/bookings/", false}, {"photos", "POST", "/photos/", false},
}

// Host returns the HTTP host name of a service.
func Host(service string) string { return service + ".plechovka.example" }

// Host returns the HTTP host name of the service.
func (s Service) Host() string { return Host(s.Name) }

// Policy returns the policy document of the service, with the number of slots of a backend
// server.
func (s Service) Policy(timeout time.Duration, slots int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[service]\nname = %q\nhosts = [%q]\nfloor = 2\ndetection_weight = 0.8\ntimeout = %q\n\n"+
		"[service.limits]\nmax_slots = %d\nqueue = 20\nmax_attempts = %d\nretry_percent = 10.0\nmax_body_bytes = 33554432\n",
		s.Name, s.Host(), timeout, slots, MaxAttempts)
	for _, r := range Routes {
		fmt.Fprintf(&b, "\n[[service.route]]\nname = %q\nmethods = [%q]\npath = %q\nidempotent = %t\n", r.Name, r.Method, r.Prefix+"*", r.Idempotent)
	}
	return b.String()
}
