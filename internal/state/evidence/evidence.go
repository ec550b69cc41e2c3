// Package evidence defines the observations about backend servers that are passed
// between the decision cores: outcomes of exchanges, load, and the normal behaviour of
// a service.
package evidence

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Load is the load of a backend server as known to its owner.
type Load struct {
	// Slots is the number of requests that the owner admits concurrently.
	Slots  int
	InUse  int
	Queued int
	// Weight is the factor, 0 to 1, by which the backend server's share of the requests
	// is multiplied.
	Weight float64
}

// Baseline is the recent behaviour of a service as observed by one ingress node. It
// excludes the backend server to which it is compared.
type Baseline struct {
	// FailureRate is the fraction of failed requests, 0 to 1.
	FailureRate float64
	// Median is the median latency of successful requests.
	Median time.Duration
	// Samples is the number of requests from which the values were computed.
	Samples int
}

// Kind is the outcome of one exchange with a backend server.
type Kind uint8

// Outcomes of an exchange.
const (
	Success Kind = iota
	// ServerError is a complete response with a 5xx status other than 503.
	ServerError
	// Shed is a complete response with status 503: the backend server refused work.
	Shed
	// Timeout means that the deadline passed without a complete response.
	Timeout
	// Reset means that the connection failed before the response began.
	Reset
	// Truncated means that the response ended before its declared end.
	Truncated
	// Overdue means that the exchange is still running, but has lasted far longer than
	// is normal for the service. If it then ends as a Timeout or Reset, that end is not
	// reported.
	Overdue
	// Canceled means that the request was canceled, for example because the caller closed
	// the connection. It says nothing about the backend server.
	Canceled
)

var kindNames = [...]string{"success", "server_error", "shed", "timeout", "reset", "truncated", "overdue", "canceled"}

// String returns the name of the outcome.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Observation describes one exchange with a backend server, as reported by its owner.
type Observation struct {
	Backend  registry.BackendID
	Service  registry.ServiceID
	Route    string
	Kind     Kind
	Latency  time.Duration
	At       time.Time
	Baseline Baseline
}
