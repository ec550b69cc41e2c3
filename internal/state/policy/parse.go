package policy

import (
	"bytes"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"

	"wigeonspring.example/wigeonspring/internal/state/strict"
)

// Problem is one reason why a document is invalid.
type Problem = strict.Problem

// Problems are all problems of a document. It implements error.
type Problems = strict.Problems

// Methods are the HTTP methods that a route may name.
var Methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

const (
	// MaxTimeout is the longest timeout of a service or a route.
	MaxTimeout = 10 * time.Minute
	// MaxAttempts is the largest number of backend servers to which a request may be sent.
	MaxAttempts = 5

	maxRoutes       = 1024
	maxHosts        = 64
	allowedName     = "1 to 63 lower-case letters, digits and hyphens, with a letter or digit at both ends"
	allowedLabel    = "1 to 63 letters, digits and the characters . _ - /"
	allowedPath     = `a path that starts with "/", without empty, "." or ".." segments, "?", "#" or "%"; a last segment "*" matches everything below`
	allowedHost     = "a host name in lower case without a port, at most 253 characters"
	maxSlots        = 10000
	maxFloor        = 100000
	maxQueue        = 64
	maxRetryPercent = 10
	// maxSpillBytesPerSecond bounds the traffic of one node to other regions. At the
	// default of 64 KB/s, 2,100 nodes use about a tenth of the links between regions;
	// ten times as much would saturate them.
	maxSpillBytesPerSecond = 640 << 10
	maxBodyBytes           = 1 << 40
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hostPattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?(\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)*$`)
	labelPattern = regexp.MustCompile(`^[A-Za-z0-9._/-]{1,63}$`)
)

func defaults() *Document {
	return &Document{Service: Service{
		DetectionWeight: 0.5,
		Timeout:         Duration(10 * time.Second),
		Limits: Limits{
			MaxAttempts:         3,
			RetryPercent:        10,
			SpillPercent:        5,
			SpillBytesPerSecond: 64 << 10,
		},
	}}
}

// Parse decodes and validates a document as a whole. If the document is invalid, Parse
// returns nil and all its problems.
func Parse(text []byte) (*Document, Problems) {
	if len(text) > MaxDocumentBytes {
		return nil, Problems{{
			Line: 1, Reason: "document too large",
			Found: fmt.Sprintf("%d bytes", len(text)), Allowed: fmt.Sprintf("at most %d bytes", MaxDocumentBytes),
		}}
	}
	doc := defaults()
	lines, problems := strict.Decode(text, doc)
	if len(problems) > 0 && len(lines) == 0 && len(bytes.TrimSpace(text)) > 0 {
		// The text is not TOML, so reports of missing keys would be misleading.
		return nil, problems
	}
	v := validator{lines: lines, problems: problems}
	for _, p := range problems {
		v.undecoded = append(v.undecoded, p.Key)
	}
	v.service(&doc.Service)
	if len(v.problems) > 0 {
		v.problems.Sort()
		return nil, v.problems
	}
	return doc, nil
}

// validator collects the problems of a decoded document.
type validator struct {
	lines    strict.Lines
	problems Problems
	// undecoded are the keys whose values could not be decoded. A second problem
	// with such a key would describe a value that is not in the document.
	undecoded []string
}

func (v *validator) add(key, reason string, found any, allowed string) {
	if slices.Contains(v.undecoded, key) {
		return
	}
	v.problems = append(v.problems, Problem{
		Line: v.lines.Line(key), Key: key, Reason: reason, Found: strict.FormatValue(found), Allowed: allowed,
	})
}

func (v *validator) require(key, allowed string) bool {
	if v.lines.Has(key) {
		return true
	}
	v.add(key, "missing key", nil, allowed)
	return false
}

func (v *validator) text(key, value string, pattern *regexp.Regexp, allowed string) {
	if v.require(key, allowed) && !pattern.MatchString(value) {
		v.add(key, "invalid value", value, allowed)
	}
}

func (v *validator) numberBetween(key string, value, low, high float64, unit string) {
	if math.IsNaN(value) || value < low || value > high {
		v.add(key, "out of range", value, fmt.Sprintf("%.10g to %.10g%s", low, high, unit))
	}
}

func (v *validator) integerBetween(key string, value, low, high int64) {
	if value < low || value > high {
		v.add(key, "out of range", value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) timeout(key string, value Duration, zeroAllowed bool) {
	d := time.Duration(value)
	if (zeroAllowed && d == 0) || (d >= time.Millisecond && d <= MaxTimeout) {
		return
	}
	allowed := "1ms to 10m"
	if zeroAllowed {
		allowed = "0s (the timeout of the service) or 1ms to 10m"
	}
	v.add(key, "out of range", value, allowed)
}

func (v *validator) service(s *Service) {
	v.text("service.name", s.Name, namePattern, allowedName)
	if v.require("service.hosts", "at least one host name") && (len(s.Hosts) == 0 || len(s.Hosts) > maxHosts) {
		v.add("service.hosts", "wrong number of host names", len(s.Hosts), fmt.Sprintf("1 to %d", maxHosts))
	}
	hosts := map[string]bool{}
	for i, h := range s.Hosts {
		key := strict.IndexKey("service.hosts", i)
		if len(h) > 253 || !hostPattern.MatchString(h) {
			v.add(key, "invalid host name", h, allowedHost)
		} else if hosts[h] {
			v.add(key, "duplicate host name", h, "each host name once")
		}
		hosts[h] = true
	}
	if v.require("service.floor", fmt.Sprintf("0 to %d", maxFloor)) {
		v.integerBetween("service.floor", int64(s.Floor), 0, maxFloor)
	}
	v.numberBetween("service.detection_weight", s.DetectionWeight, 0, 1, "")
	v.timeout("service.timeout", s.Timeout, false)

	l := &s.Limits
	v.integerBetween("service.limits.max_slots", int64(l.MaxSlots), 0, maxSlots)
	v.integerBetween("service.limits.queue", int64(l.Queue), 0, maxQueue)
	v.integerBetween("service.limits.max_attempts", int64(l.MaxAttempts), 1, MaxAttempts)
	v.numberBetween("service.limits.retry_percent", l.RetryPercent, 0, maxRetryPercent, " percent")
	v.numberBetween("service.limits.spill_percent", l.SpillPercent, 0, 100, " percent")
	v.integerBetween("service.limits.spill_bytes_per_second", l.SpillBytesPerSecond, 0, maxSpillBytesPerSecond)
	v.integerBetween("service.limits.caller_in_flight", int64(l.CallerInFlight), 0, maxSlots)
	v.integerBetween("service.limits.max_body_bytes", l.MaxBodyBytes, 0, maxBodyBytes)

	if v.require("service.route", "at least one [[service.route]]") && (len(s.Routes) == 0 || len(s.Routes) > maxRoutes) {
		v.add("service.route", "wrong number of routes", len(s.Routes), fmt.Sprintf("1 to %d", maxRoutes))
	}
	names := map[string]bool{}
	// routeOf maps each pair of method and path to the first route found with it.
	routeOf := map[[2]string]string{}
	for i := range s.Routes {
		v.route(strict.IndexKey("service.route", i), &s.Routes[i], names, routeOf)
	}
}

func (v *validator) route(key string, r *Route, names map[string]bool, routeOf map[[2]string]string) {
	v.text(key+".name", r.Name, namePattern, allowedName)
	if r.Name != "" && names[r.Name] {
		v.add(key+".name", "duplicate route name", r.Name, "each route name once")
	}
	names[r.Name] = true
	if v.require(key+".path", allowedPath) && !validPath(r.Path) {
		v.add(key+".path", "invalid path", r.Path, allowedPath)
	}
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{""}
		if r.Idempotent {
			v.add(key+".idempotent", "an idempotent route must name its methods", true, "methods = [...] with "+strings.Join(Methods, ", "))
		}
	}
	for i, m := range methods {
		methodKey := strict.IndexKey(key+".methods", i)
		if m == "" && len(r.Methods) == 0 {
			methodKey = key + ".path"
		} else if !slices.Contains(Methods, m) {
			v.add(methodKey, "unknown method", m, strings.Join(Methods, ", "))
			continue
		}
		pair := [2]string{m, r.Path}
		if other, ok := routeOf[pair]; ok && r.Path != "" {
			v.add(methodKey, "another route has the same method and path", other, "each method and path once")
			continue
		}
		routeOf[pair] = r.Name
	}
	for k, value := range r.Selector {
		labelKey := strict.JoinKey(key+".selector", k)
		if !labelPattern.MatchString(k) {
			v.add(labelKey, "invalid label name", k, allowedLabel)
		}
		if !labelPattern.MatchString(value) {
			v.add(labelKey, "invalid label value", value, allowedLabel)
		}
	}
	v.timeout(key+".timeout", r.Timeout, true)
}

func validPath(p string) bool {
	if !strings.HasPrefix(p, "/") || len(p) > 1024 || strings.ContainsAny(p, "?#%\\") {
		return false
	}
	segments := strings.Split(p[1:], "/")
	for i, s := range segments {
		last := i == len(segments)-1
		if s == "." || s == ".." || (s == "" && !last) || (strings.Contains(s, "*") && !(last && s == "*")) {
			return false
		}
		for _, c := range s {
			if c <= ' ' || c == 0x7f {
				return false
			}
		}
	}
	return true
}

// Encode encodes the document as TOML. Parse decodes it to an equal document.
func Encode(doc *Document) []byte {
	text, err := toml.Marshal(doc)
	if err != nil {
		// The encoder supports every type in Document.
		panic("policy: encode: " + err.Error())
	}
	return text
}

// Hash returns the hash that identifies the text of a document.
func Hash(text []byte) uint64 { return xxhash.Sum64(text) }

// FormatHash formats a hash for operators.
func FormatHash(hash uint64) string { return fmt.Sprintf("%016x", hash) }
