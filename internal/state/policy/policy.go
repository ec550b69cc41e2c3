// Package policy defines the routing policy of a service, a document that is validated
// as a whole, and the table of the policies in force on a node.
package policy

import (
	"math"
	"time"
)

// MaxDocumentBytes is the largest accepted document.
const MaxDocumentBytes = 256 << 10

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Document is the policy of one service.
type Document struct {
	Service Service `toml:"service"`
}

// Service is the body of a policy document.
type Service struct {
	Name string `toml:"name"`
	// Hosts are the HTTP host names that select this service, in lower case and
	// without a port.
	Hosts []string `toml:"hosts"`
	// Floor is the minimum number of backend servers that ejection must leave in
	// service. It has no default, because a missing floor would permit the ejection
	// of all backend servers.
	Floor int `toml:"floor"`
	// FloorShare is the floor as a share of the known backend servers, 0 to 1. The
	// larger of the two floors applies. Only a fleet document sets it.
	FloorShare float64 `toml:"-"`
	// DetectionWeight trades fast detection (1) against few false ejections (0). The
	// default is 0.5.
	DetectionWeight float64 `toml:"detection_weight"`
	// Timeout bounds a request without a deadline of its own. The default is 10 s.
	Timeout Duration `toml:"timeout"`
	Limits  Limits   `toml:"limits"`
	Routes  []Route  `toml:"route"`
}

// Limits bounds the work that reaches the backend servers of a service.
type Limits struct {
	// MaxSlots caps the concurrency announced by a backend server; 0 means no cap.
	MaxSlots int `toml:"max_slots"`
	// Queue is the maximum number of requests that wait for one backend server; 0,
	// the default, means twice its slots and at most 64.
	Queue int `toml:"queue"`
	// MaxAttempts is the maximum number of attempts of an idempotent request. The
	// default is 3.
	MaxAttempts int `toml:"max_attempts"`
	// RetryPercent is the share of requests that may be retried. The default is 10,
	// which is also the maximum, so that the number of attempts is at most 1.1 times
	// the number of requests.
	RetryPercent float64 `toml:"retry_percent"`
	// SpillPercent is the share of requests that may go to another region. The
	// default is 5.
	SpillPercent float64 `toml:"spill_percent"`
	// SpillBytesPerSecond bounds the traffic of one node to other regions. The
	// default is 65536.
	SpillBytesPerSecond int64 `toml:"spill_bytes_per_second"`
	// CallerInFlight bounds the requests of one caller in flight at one backend
	// server; 0 means no bound.
	CallerInFlight int `toml:"caller_in_flight"`
	// MaxBodyBytes bounds the body of a request; 0 means no bound.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
}

// Route selects the backend servers that may take a kind of request.
type Route struct {
	Name string `toml:"name"`
	// Methods are the HTTP methods of the route; none means every method.
	Methods []string `toml:"methods,omitempty"`
	// Path is matched exactly, or as a prefix if it ends in "/*". The prefix "/a/*"
	// matches "/a/" and all paths below it, but not "/a".
	Path string `toml:"path"`
	// Selector lists labels that a backend server must carry.
	Selector map[string]string `toml:"selector,omitempty"`
	// Idempotent allows a request to be repeated. The default is false. An idempotent
	// route must name its methods.
	Idempotent bool `toml:"idempotent"`
	// Timeout overrides the timeout of the service; 0 keeps it.
	Timeout Duration `toml:"timeout,omitempty"`
	// Objective is the latency objective: the time within which a response is fully
	// useful; 0 means none. Rank is the priority of the requests that compete for
	// slots, 0 being the highest. MaxAttempts overrides the limit of the service; 0
	// keeps it. Only a fleet document sets these three.
	Objective   Duration `toml:"-"`
	Rank        int      `toml:"-"`
	MaxAttempts int      `toml:"-"`
	// Public requests need no key of a team. Only a fleet document sets it.
	Public bool `toml:"-"`
}

// EffectiveFloor returns the number of backend servers that must stay in service. known
// is the number of those that are neither draining nor gone.
func (s *Service) EffectiveFloor(known int) int {
	return max(s.Floor, int(math.Ceil(s.FloorShare*float64(known)-floorRounding)))
}

// floorRounding prevents a share such as 0.7 of 10 from being rounded up to 8.
const floorRounding = 1e-9
