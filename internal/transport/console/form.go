package console

import (
	"fmt"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// maxFormRoutes is the number of routes that a form holds. A route posts up to
// 12 values, and net/url refuses forms of more than 10,000 values. Longer
// policies are edited as files.
const maxFormRoutes = 800

type kind int

const (
	text kind = iota
	integer
	number
)

// scalar is one field of the form. Fields carry the keys of the policy
// document as their names, so that each problem finds its field.
type scalar struct {
	Key, Label, Hint string
	kind             kind
	value            func(*policy.Service) string
}

var scalars = []scalar{
	{"service.floor", "Floor", "healthy backend servers that removing sick ones never undercuts", integer,
		func(s *policy.Service) string { return strconv.Itoa(s.Floor) }},
	{"service.detection_weight", "Detection weight", "0 avoids false ejections, 1 detects fast; default 0.5", number,
		func(s *policy.Service) string { return decimal(s.DetectionWeight) }},
	{"service.timeout", "Timeout", "of a request without a deadline, such as 10s", text,
		func(s *policy.Service) string { return time.Duration(s.Timeout).String() }},
	{"service.limits.max_slots", "Slots of a backend server at most", "0 means as announced", integer,
		func(s *policy.Service) string { return strconv.Itoa(s.Limits.MaxSlots) }},
	{"service.limits.queue", "Queue", "requests that wait for one backend server; 0 means twice its slots", integer,
		func(s *policy.Service) string { return strconv.Itoa(s.Limits.Queue) }},
	{"service.limits.max_attempts", "Attempts", "of a request that may be repeated", integer,
		func(s *policy.Service) string { return strconv.Itoa(s.Limits.MaxAttempts) }},
	{"service.limits.retry_percent", "Retries (percent)", "share of requests that may be retried", number,
		func(s *policy.Service) string { return decimal(s.Limits.RetryPercent) }},
	{"service.limits.spill_percent", "Spill (percent)", "share of requests that may leave the region", number,
		func(s *policy.Service) string { return decimal(s.Limits.SpillPercent) }},
	{"service.limits.spill_bytes_per_second", "Spill (bytes/s)", "traffic of one node to other regions", integer,
		func(s *policy.Service) string { return strconv.FormatInt(s.Limits.SpillBytesPerSecond, 10) }},
	{"service.limits.caller_in_flight", "Requests of one caller in flight", "at one backend server; 0 means no bound", integer,
		func(s *policy.Service) string { return strconv.Itoa(s.Limits.CallerInFlight) }},
	{"service.limits.max_body_bytes", "Body of a request (bytes)", "0 means no bound", integer,
		func(s *policy.Service) string { return strconv.FormatInt(s.Limits.MaxBodyBytes, 10) }},
}

func decimal(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// form is the input of the operator, kept as typed.
type form struct {
	// Base is the epoch that the form is based on; 0 means a new service.
	Base uint64
	// Original is the document of that epoch.
	Original string
	Operator string
	Name     string
	Hosts    string
	Values   map[string]string
	Routes   []routeForm
}

type routeForm struct {
	Name, Path, Selector, Timeout string
	Methods                       []string
	Idempotent                    bool
}

func formOf(d *policy.Document) *form {
	s := &d.Service
	f := &form{Name: s.Name, Hosts: strings.Join(s.Hosts, "\n"), Values: map[string]string{}}
	for _, sc := range scalars {
		f.Values[sc.Key] = sc.value(s)
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		rf := routeForm{Name: r.Name, Path: r.Path, Methods: r.Methods, Idempotent: r.Idempotent}
		if r.Timeout != 0 {
			rf.Timeout = time.Duration(r.Timeout).String()
		}
		var lines []string
		for k, v := range r.Selector {
			lines = append(lines, k+"="+v)
		}
		slices.Sort(lines)
		rf.Selector = strings.Join(lines, "\n")
		f.Routes = append(f.Routes, rf)
	}
	return f
}

// routeKey is the key of a route's field in the document and in the form.
func routeKey(i int, field string) string { return fmt.Sprintf("service.route[%d].%s", i, field) }

// readForm reads posted values.
func readForm(v url.Values) (*form, error) {
	get := func(key string) string { return strings.ToValidUTF8(v.Get(key), "\uFFFD") }
	f := &form{
		Original: get("original"), Operator: get("operator"), Name: get("service.name"), Hosts: get("service.hosts"),
		Values: map[string]string{},
	}
	var err error
	if f.Base, err = strconv.ParseUint(get("base"), 10, 64); err != nil {
		return nil, fmt.Errorf("field base: %w", err)
	}
	for _, sc := range scalars {
		f.Values[sc.Key] = get(sc.Key)
	}
	n, err := strconv.Atoi(get("routes"))
	if err != nil || n < 0 || n > maxFormRoutes {
		return nil, fmt.Errorf("field routes: want 0 to %d", maxFormRoutes)
	}
	for i := range n {
		r := routeForm{
			Name: get(routeKey(i, "name")), Path: get(routeKey(i, "path")), Selector: get(routeKey(i, "selector")),
			Timeout: get(routeKey(i, "timeout")), Idempotent: get(routeKey(i, "idempotent")) != "",
		}
		for _, m := range v[routeKey(i, "methods")] {
			r.Methods = append(r.Methods, strings.ToValidUTF8(m, "\uFFFD"))
		}
		f.Routes = append(f.Routes, r)
	}
	return f, nil
}

// draft is the document of a form. Its values may have wrong types, so that
// policy.Parse reports them. An empty field leaves its key out.
type draft struct {
	Service struct {
		Name            any            `toml:"name,omitempty"`
		Hosts           []string       `toml:"hosts,omitempty"`
		Floor           any            `toml:"floor,omitempty"`
		DetectionWeight any            `toml:"detection_weight,omitempty"`
		Timeout         any            `toml:"timeout,omitempty"`
		Limits          map[string]any `toml:"limits,omitempty"`
		Routes          []draftRoute   `toml:"route,omitempty"`
	} `toml:"service"`
}

type draftRoute struct {
	Name       any               `toml:"name,omitempty"`
	Methods    []string          `toml:"methods,omitempty"`
	Path       any               `toml:"path,omitempty"`
	Selector   map[string]string `toml:"selector,omitempty"`
	Idempotent bool              `toml:"idempotent"`
	Timeout    any               `toml:"timeout,omitempty"`
}

// typed returns the TOML value of an input, or the text itself if it has the
// wrong type, or nil if it is empty.
func typed(s string, k kind) any {
	s = strings.TrimSpace(s)
	if s == "" {
		return nil
	}
	switch k {
	case integer:
		if n, err := strconv.ParseInt(s, 10, 64); err == nil {
			return n
		}
	case number:
		if f, err := strconv.ParseFloat(s, 64); err == nil && !math.IsNaN(f) && !math.IsInf(f, 0) {
			return f
		}
	}
	return s
}

// document returns the document as TOML and the problems that the document
// cannot show, because a table holds each label once.
func (f *form) document() ([]byte, policy.Problems, error) {
	var d draft
	var problems policy.Problems
	s := &d.Service
	s.Name, s.Hosts = typed(f.Name, text), lines(f.Hosts)
	s.Limits = map[string]any{}
	for _, sc := range scalars {
		v := typed(f.Values[sc.Key], sc.kind)
		switch limit, ok := strings.CutPrefix(sc.Key, "service.limits."); {
		case ok && v != nil:
			s.Limits[limit] = v
		case sc.Key == "service.floor":
			s.Floor = v
		case sc.Key == "service.detection_weight":
			s.DetectionWeight = v
		case sc.Key == "service.timeout":
			s.Timeout = v
		}
	}
	for i := range f.Routes {
		r := &f.Routes[i]
		dr := draftRoute{
			Name: typed(r.Name, text), Methods: r.Methods, Path: typed(r.Path, text), Selector: map[string]string{},
			Idempotent: r.Idempotent, Timeout: typed(r.Timeout, text),
		}
		for _, line := range lines(r.Selector) {
			label, value, _ := strings.Cut(line, "=")
			label = strings.TrimSpace(label)
			if _, twice := dr.Selector[label]; twice {
				problems = append(problems, policy.Problem{
					Key: routeKey(i, "selector"), Reason: "duplicate label", Found: strconv.Quote(label), Allowed: "each label once",
				})
			}
			dr.Selector[label] = strings.TrimSpace(value)
		}
		s.Routes = append(s.Routes, dr)
	}
	document, err := toml.Marshal(&d)
	return document, problems, err
}

// lines returns the lines that are not blank.
func lines(s string) []string {
	var list []string
	for line := range strings.Lines(s) {
		if line = strings.TrimSpace(line); line != "" {
			list = append(list, line)
		}
	}
	return list
}
