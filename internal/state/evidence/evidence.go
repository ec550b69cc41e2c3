// Package evidence holds the observations about backend servers that travel
// between the decision cores: outcomes of real work, load and the normal
// behaviour of a service.
package evidence

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Load is the load of a backend server as its owner sees it.
type Load struct {
	// Slots is the number of requests that the owner admits at once.
	Slots  int
	InUse  int
	Queued int
	// Weight scales the share of work, 0 to 1.
	Weight float64
}

// Baseline is the recent behaviour of a service as one ingress node sees it,
// without the backend server that is being judged.
type Baseline struct {
	// FailureRate is the share of failed requests, 0 to 1.
	FailureRate float64
	// Median is the median latency of successful requests.
	Median time.Duration
	// Samples is the number of requests behind the figures.
	Samples int
}

// Kind is the outcome of one exchange with a backend server.
type Kind uint8

// Outcomes of an exchange.
const (
	Success Kind = iota
	// ServerError is a complete answer with a 5xx status other than 503.
	ServerError
	// Shed is a complete answer with status 503: the backend server refused work.
	Shed
	// Timeout means that the deadline passed without a complete answer.
	Timeout
	// Reset means that the connection failed before the answer began.
	Reset
	// Truncated means that the answer ended before its declared end.
	Truncated
	// Overdue means that the exchange goes on, but has lasted far longer than is
	// normal for the service. Its end as a Timeout or Reset is not reported again.
	Overdue
	// Canceled means that the caller went away; it is no evidence.
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

// Observation is one exchange with a backend server, reported by its owner.
type Observation struct {
	Backend  registry.BackendID
	Service  registry.ServiceID
	Route    string
	Kind     Kind
	Latency  time.Duration
	At       time.Time
	Baseline Baseline
}
