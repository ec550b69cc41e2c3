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

// maxFormRoutes is the maximum number of routes in the form. A route posts up to
// 12 values, and net/url refuses forms with more than 10,000 values. Policies with
// more routes are edited as files.
const maxFormRoutes = 800

type valueType int

const (
	text valueType = iota
	integer
	number
)

// scalarField is a form field for a single value. The name of a field is its key
// in the policy document, so that a validation problem can be shown at its field.
type scalarField struct {
	Key, Label, Hint string
	valueType        valueType
	value            func(*policy.Service) string
}

var scalarFields = []scalarField{
	{"service.floor", "Floor", "number of healthy backend servers below which none is ejected", integer,
		func(s *policy.Service) string { return strconv.Itoa(s.Floor) }},
	{"service.detection_weight", "Detection weight", "0 avoids false ejections, 1 detects fast; default 0.5", number,
		func(s *policy.Service) string { return formatDecimal(s.DetectionWeight) }},
	{"service.timeout", "Timeout", "of a request without a deadline, such as 10s", text,
		func(s *policy.Service) string { return time.Duration(s.Timeout).String() }},
	{"service.limits.max_slots", "Slots of a backend server at most", "0 means as announced", integer,
		func(s *policy.Service) string { return strconv.Itoa(s.Limits.MaxSlots) }},
	{"service.limits.queue", "Queue", "requests that wait for one backend server; 0 means twice its slots", integer,
		func(s *policy.Service) string { return strconv.Itoa(s.Limits.Queue) }},
	{"service.limits.max_attempts", "Attempts", "of a request that may be repeated", integer,
		func(s *policy.Service) string { return strconv.Itoa(s.Limits.MaxAttempts) }},
	{"service.limits.retry_percent", "Retries (percent)", "share of requests that may be retried", number,
		func(s *policy.Service) string { return formatDecimal(s.Limits.RetryPercent) }},
	{"service.limits.spill_percent", "Spill (percent)", "share of requests that may leave the region", number,
		func(s *policy.Service) string { return formatDecimal(s.Limits.SpillPercent) }},
	{"service.limits.spill_bytes_per_second", "Spill (bytes/s)", "traffic of one node to other regions", integer,
		func(s *policy.Service) string { return strconv.FormatInt(s.Limits.SpillBytesPerSecond, 10) }},
	{"service.limits.caller_in_flight", "Requests of one caller in flight", "at one backend server; 0 means no bound", integer,
		func(s *policy.Service) string { return strconv.Itoa(s.Limits.CallerInFlight) }},
	{"service.limits.max_body_bytes", "Body of a request (bytes)", "0 means no bound", integer,
		func(s *policy.Service) string { return strconv.FormatInt(s.Limits.MaxBodyBytes, 10) }},
}

func formatDecimal(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// form holds the operator's input without conversion.
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

func formFromDocument(d *policy.Document) *form {
	s := &d.Service
	f := &form{Name: s.Name, Hosts: strings.Join(s.Hosts, "\n"), Values: map[string]string{}}
	for _, sc := range scalarFields {
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

// routeKey returns the key of a route's field in the document and in the form.
func routeKey(i int, field string) string { return fmt.Sprintf("service.route[%d].%s", i, field) }

// parseFormValues returns the form of the posted values.
func parseFormValues(v url.Values) (*form, error) {
	get := func(key string) string { return strings.ToValidUTF8(v.Get(key), "\uFFFD") }
	f := &form{
		Original: get("original"), Operator: get("operator"), Name: get("service.name"), Hosts: get("service.hosts"),
		Values: map[string]string{},
	}
	var err error
	if f.Base, err = strconv.ParseUint(get("base"), 10, 64); err != nil {
		return nil, fmt.Errorf("field base: %w", err)
	}
	for _, sc := range scalarFields {
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

// documentDraft is the policy document of a form. Its values may have wrong types,
// which policy.Parse then reports. The key of an empty field is omitted.
type documentDraft struct {
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

// parseValue converts an input to a TOML value of the given type. It returns the
// text itself if the conversion fails, and nil if the input is empty.
func parseValue(s string, t valueType) any {
	s = strings.TrimSpace(s)
	if s == "" {
		return nil
	}
	switch t {
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

// document returns the policy document as TOML. It also returns the duplicate
// labels as problems, because a TOML table cannot represent them.
func (f *form) document() ([]byte, policy.Problems, error) {
	var d documentDraft
	var problems policy.Problems
	s := &d.Service
	s.Name, s.Hosts = parseValue(f.Name, text), nonBlankLines(f.Hosts)
	s.Limits = map[string]any{}
	for _, sc := range scalarFields {
		v := parseValue(f.Values[sc.Key], sc.valueType)
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
			Name: parseValue(r.Name, text), Methods: r.Methods, Path: parseValue(r.Path, text), Selector: map[string]string{},
			Idempotent: r.Idempotent, Timeout: parseValue(r.Timeout, text),
		}
		for _, line := range nonBlankLines(r.Selector) {
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

// nonBlankLines returns the trimmed lines of s that are not blank.
func nonBlankLines(s string) []string {
	var list []string
	for line := range strings.Lines(s) {
		if line = strings.TrimSpace(line); line != "" {
			list = append(list, line)
		}
	}
	return list
}
