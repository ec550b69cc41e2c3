package policy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"time"
)

// FleetName is the name under which a fleet document is distributed. It is not a valid
// service name, because of the leading tilde.
const FleetName = "~fleet"

// MaxFleetBytes is the largest accepted fleet document. It leaves room for the document to
// be longer than the stored value from which it was made, which has 1 MiB at most.
const MaxFleetBytes = 4 << 20

// Fleet is a routing document that covers all services. It takes effect as a whole, so
// that a route that moves between services never belongs to both or to neither of them.
// While a fleet document is in force, per-service policies are ignored.
type Fleet struct {
	Routes   []FleetRoute   `json:"routes"`
	Services []FleetService `json:"services"`
	// Teams are the teams of callers; none means that requests need no key.
	Teams  []FleetTeam  `json:"teams,omitempty"`
	Limits CallerLimits `json:"limits"`
}

// FleetRoute sends the requests for a host below a path prefix to one service, or to
// several services in proportion to their weights.
type FleetRoute struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash. The longest match wins.
	Prefix string `json:"prefix"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Public requests need no key, also if the document has teams.
	Public bool `json:"public,omitempty"`
	// Timeout bounds a request regardless of the caller's deadline; 0 means no bound.
	Timeout Duration `json:"timeout"`
	// Objective is the time within which a response is fully useful to the caller.
	Objective Duration `json:"objective"`
	// Rank is the priority of requests that compete for slots, 0 being the highest.
	Rank int `json:"rank"`
	// MaxAttempts is the maximum number of backend servers that may run a request.
	MaxAttempts int      `json:"max_attempts"`
	Targets     []Target `json:"targets"`
}

// Target is one destination of a route.
type Target struct {
	Service string `json:"service"`
	// Weight is the relative share of the requests.
	Weight float64 `json:"weight"`
}

// FleetService names a service that routes may refer to.
type FleetService struct {
	Name string `json:"name"`
	// MaxConnections bounds the connections to one backend server; 0 means no bound.
	MaxConnections int `json:"max_connections,omitempty"`
}

// CallerLimits bounds what a caller may send; 0 means no bound.
type CallerLimits struct {
	MaxHeaderBytes int64    `json:"max_header_bytes,omitempty"`
	MaxBodyBytes   int64    `json:"max_body_bytes,omitempty"`
	HeaderTimeout  Duration `json:"header_timeout,omitempty"`
	IdleTimeout    Duration `json:"idle_timeout,omitempty"`
}

// ServiceDefaults are the settings of services that a fleet document does not contain.
type ServiceDefaults struct {
	// FloorShare is the share of a service's backend servers that ejection leaves
	// in service, 0 to 1.
	FloorShare      float64
	DetectionWeight float64
	Limits          Limits
}

// DefaultServiceDefaults returns defaults that let every request go to every region: a
// served request is worth more than the traffic between regions that it costs.
func DefaultServiceDefaults() ServiceDefaults {
	d := defaults().Service
	limits := d.Limits
	limits.SpillPercent = 100
	limits.SpillBytesPerSecond = maxSpillBytesPerSecond
	return ServiceDefaults{FloorShare: 0.7, DetectionWeight: d.DetectionWeight, Limits: limits}
}

// EncodeFleet encodes a document in the format that ParseFleet decodes.
func EncodeFleet(f *Fleet) ([]byte, error) { return json.Marshal(f) }

// ParseFleet decodes and validates a fleet document. The error contains all problems.
func ParseFleet(text []byte) (*Fleet, error) {
	if len(text) > MaxFleetBytes {
		return nil, fmt.Errorf("fleet document has %d bytes, at most %d are allowed", len(text), MaxFleetBytes)
	}
	f := &Fleet{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(f); err != nil {
		return nil, fmt.Errorf("fleet document: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("fleet document: data after the document")
	}
	if err := f.validate(); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *Fleet) validate() error {
	var problems []error
	add := func(format string, args ...any) { problems = append(problems, fmt.Errorf(format, args...)) }
	services := map[string]bool{}
	for _, s := range f.Services {
		if s.Name == "" || s.Name == FleetName || services[s.Name] {
			add("service %q: name is empty, reserved or not unique", s.Name)
		}
		if s.MaxConnections < 0 {
			add("service %q: max_connections is negative", s.Name)
		}
		services[s.Name] = true
	}
	names := map[string]bool{}
	seen := map[[2]string]bool{}
	for i := range f.Routes {
		r := &f.Routes[i]
		if r.Name == "" || names[r.Name] {
			add("route %q: name is empty or not unique", r.Name)
		}
		names[r.Name] = true
		location := [2]string{r.Host, r.Prefix}
		if seen[location] {
			add("route %q: another route has the same host and prefix", r.Name)
		}
		seen[location] = true
		if err := r.validate(services); err != nil {
			add("route %q: %w", r.Name, err)
		}
	}
	problems = append(problems, validateTeams(f.Teams)...)
	if l := f.Limits; min(l.MaxBodyBytes, l.MaxHeaderBytes, int64(l.HeaderTimeout), int64(l.IdleTimeout)) < 0 {
		add("limits: negative value")
	}
	return errors.Join(problems...)
}

func (r *FleetRoute) validate(services map[string]bool) error {
	timeout := time.Duration(r.Timeout)
	switch {
	case r.Host == "" || strings.ToLower(r.Host) != r.Host:
		return fmt.Errorf("host %q: must be a host name in lower case", r.Host)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q: must begin and end with a slash", r.Prefix)
	case timeout < 0 || timeout > MaxTimeout:
		return fmt.Errorf("timeout %s: must be 0s to %s", timeout, MaxTimeout)
	case r.Objective < 0:
		return errors.New("negative objective")
	case r.Rank < 0:
		return errors.New("negative rank")
	case r.MaxAttempts < 1 || r.MaxAttempts > MaxAttempts:
		return fmt.Errorf("max_attempts %d: must be 1 to %d", r.MaxAttempts, MaxAttempts)
	case len(r.Targets) == 0:
		return errors.New("no service")
	}
	total := 0.0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return fmt.Errorf("unknown service %q", t.Service)
		}
		if t.Weight < 0 || math.IsNaN(t.Weight) || math.IsInf(t.Weight, 0) {
			return fmt.Errorf("weight of service %q: must be a finite number of at least 0", t.Service)
		}
		total += t.Weight
	}
	if total <= 0 {
		return errors.New("no service has a weight above 0")
	}
	return nil
}

// fleetTable is a fleet document indexed for lookups.
type fleetTable struct {
	limits CallerLimits
	// longestTimeout is the longest timeout of a route; 0 if a route has none.
	longestTimeout time.Duration
	services       map[string]*InForce
	teams          *Teams
	// hosts holds the routes of each host by prefix. The cost of a lookup depends on
	// the number of segments of the path and not on the number of routes.
	hosts map[string]map[string]*Match
}

// Match is the route of a request and the services that may take it.
type Match struct {
	Route *Route
	// Targets has one entry unless the route splits its requests.
	Targets []MatchTarget
	// Epoch is the epoch of the document that contains the route.
	Epoch uint64
	// Teams are those of the same document; nil if the request needs no key.
	Teams *Teams
}

// MatchTarget is a service that may take a request.
type MatchTarget struct {
	Policy *InForce
	Weight float64
}

func newFleetTable(f *Fleet, in *InForce, d ServiceDefaults) *fleetTable {
	t := &fleetTable{
		limits: f.Limits, teams: newTeams(f.Teams),
		services: map[string]*InForce{}, hosts: map[string]map[string]*Match{},
	}
	for _, s := range f.Services {
		limits := d.Limits
		if f.Limits.MaxBodyBytes > 0 {
			limits.MaxBodyBytes = f.Limits.MaxBodyBytes
		}
		doc := &Document{Service: Service{
			Name: s.Name, FloorShare: d.FloorShare, DetectionWeight: d.DetectionWeight, Limits: limits,
		}}
		t.services[s.Name] = &InForce{
			Service: s.Name, Epoch: in.Epoch, Hash: in.Hash, Document: doc, Since: in.Since,
		}
	}
	for i := range f.Routes {
		r := &f.Routes[i]
		if i == 0 || r.Timeout == 0 || t.longestTimeout > 0 && time.Duration(r.Timeout) > t.longestTimeout {
			t.longestTimeout = time.Duration(r.Timeout)
		}
		m := &Match{Route: &Route{
			Name: r.Name, Path: r.Prefix + "*", Idempotent: r.Idempotent, Timeout: r.Timeout,
			Objective: r.Objective, Rank: r.Rank, MaxAttempts: r.MaxAttempts, Public: r.Public,
		}, Teams: t.teams}
		for _, target := range r.Targets {
			if target.Weight > 0 {
				m.Targets = append(m.Targets, MatchTarget{Policy: t.services[target.Service], Weight: target.Weight})
			}
		}
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = map[string]*Match{}
		}
		t.hosts[r.Host][r.Prefix] = m
	}
	return t
}

// match returns the route with the longest prefix of the path. A path with "."
// or ".." segments matches none, as in Document.Match.
func (t *fleetTable) match(host, path string) (Match, error) {
	routes, ok := t.hosts[host]
	if !ok {
		return Match{}, ErrUnknownHost
	}
	if hasDotSegment(path) {
		return Match{}, ErrNoRoute
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if m := routes[path[:end+1]]; m != nil {
			return *m, nil
		}
	}
	return Match{}, ErrNoRoute
}
