package policy

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

const fleetDocument = `{
 "routes": [
  {"name": "all", "host": "shop.example", "prefix": "/", "idempotent": true, "timeout": "4s", "objective": "1.5s",
   "rank": 2, "max_attempts": 2, "targets": [{"service": "tracking", "weight": 1}]},
  {"name": "pay", "host": "shop.example", "prefix": "/pay/", "timeout": "4s", "objective": "1.5s",
   "rank": 1, "max_attempts": 2, "targets": [{"service": "booking", "weight": 90}, {"service": "tracking", "weight": 10}]}
 ],
 "services": [{"name": "tracking", "max_connections": 330}, {"name": "booking"}],
 "limits": {"max_body_bytes": 1000, "idle_timeout": "15s"}
}`

func setFleet(t *testing.T, table *Table, epoch uint64, text string) {
	t.Helper()
	if _, err := table.Set(VersionedDocument{Service: FleetName, Epoch: epoch, Text: []byte(text)}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a request that matches a shorter prefix or another host, and against a
// path that a backend server would resolve to another route.
func TestFleetMatch(t *testing.T) {
	table := NewTable(TableOptions{})
	if _, err := table.Match("shop.example", "GET", "/"); !errors.Is(err, ErrUnknownHost) {
		t.Fatalf("match without a document: %v", err)
	}
	setFleet(t, table, 3, fleetDocument)
	for _, c := range []struct {
		host, path, route string
		err               error
	}{
		{"shop.example", "/", "all", nil},
		{"shop.example", "/pay", "all", nil},
		{"shop.example", "/pay/", "pay", nil},
		{"shop.example", "/pay/now/2", "pay", nil},
		{"shop.example", "/payment/", "all", nil},
		{"other.example", "/", "", ErrUnknownHost},
		{"shop.example", "/pay/../x", "", ErrNoRoute},
		{"shop.example", "*", "", ErrNoRoute},
	} {
		m, err := table.Match(c.host, "POST", c.path)
		if !errors.Is(err, c.err) || err == nil && m.Route.Name != c.route {
			t.Errorf("%s%s: route %+v, error %v; want %q, %v", c.host, c.path, m.Route, err, c.route, c.err)
		}
	}
	m, _ := table.Match("shop.example", "POST", "/pay/1")
	if len(m.Targets) != 2 || m.Targets[0].Policy.Service != "booking" || m.Targets[1].Weight != 10 || m.Epoch != 3 {
		t.Fatalf("targets of a split %+v", m)
	}
	if r := m.Route; r.Idempotent || r.Rank != 1 || r.MaxAttempts != 2 || time.Duration(r.Objective) != 1500*time.Millisecond {
		t.Fatalf("route %+v", r)
	}
	booking := table.Get("booking")
	if booking == nil || booking.Epoch != 3 || booking.Document.Service.Limits.MaxBodyBytes != 1000 || table.Get("photos") != nil {
		t.Fatalf("policy of a service of the document: %+v", booking)
	}
	if floor := booking.Document.Service.EffectiveFloor(10); floor != 7 {
		t.Fatalf("floor of 10 backend servers is %d, want 7", floor)
	}
	if longest := table.LongestTimeout(); longest != 4*time.Second {
		t.Fatalf("longest timeout %s", longest)
	}
	setFleet(t, table, 4, strings.Replace(fleetDocument, `"timeout": "4s"`, `"timeout": "0s"`, 1))
	if longest := table.LongestTimeout(); longest != 0 {
		t.Fatalf("longest timeout %s with a route without one", longest)
	}
	if l := table.CallerLimits(); time.Duration(l.IdleTimeout) != 15*time.Second {
		t.Fatalf("limits of callers %+v", l)
	}
}

// Guards against a document with a lower epoch, or with a different text at the same
// epoch, that replaces the one in force, and against a route that belongs neither to its
// old nor to its new service while it moves.
func TestFleetDocumentTakesEffectAsAWhole(t *testing.T) {
	table := NewTable(TableOptions{})
	setFleet(t, table, 5, fleetDocument)
	moved := strings.ReplaceAll(fleetDocument, `"service": "tracking", "weight": 1}`, `"service": "booking", "weight": 1}`)
	setFleet(t, table, 9, moved)
	if m, err := table.Match("shop.example", "GET", "/x"); err != nil || m.Targets[0].Policy.Service != "booking" {
		t.Fatalf("moved route: %+v, %v", m, err)
	}
	var lower *EpochError
	if _, err := table.Set(VersionedDocument{Service: FleetName, Epoch: 5, Text: []byte(fleetDocument)}); !errors.As(err, &lower) {
		t.Fatalf("lower epoch: %v", err)
	}
	var other *HashError
	if _, err := table.Set(VersionedDocument{Service: FleetName, Epoch: 9, Text: []byte(fleetDocument)}); !errors.As(err, &other) {
		t.Fatalf("another text at the same epoch: %v", err)
	}
	if p := table.Get("booking"); p.Epoch != 9 {
		t.Fatalf("epoch %d in force", p.Epoch)
	}
}

// Guards against an invalid document that takes effect, as a whole or in part.
func TestInvalidFleetDocuments(t *testing.T) {
	replace := func(old, with string) string { return strings.Replace(fleetDocument, old, with, 1) }
	table := NewTable(TableOptions{})
	setFleet(t, table, 1, fleetDocument)
	for name, text := range map[string]string{
		"cut short":                  fleetDocument[:len(fleetDocument)/2],
		"empty":                      "",
		"wrong type":                 `[]`,
		"data after it":              fleetDocument + "{}",
		"unknown field":              replace(`"rank": 2`, `"rang": 2`),
		"unknown service":            replace(`"service": "booking"`, `"service": "books"`),
		"no service":                 replace(`[{"service": "tracking", "weight": 1}]`, `[]`),
		"weights of zero":            replace(`"weight": 1}`, `"weight": 0}`),
		"negative weight":            replace(`"weight": 90`, `"weight": -90`),
		"two routes with one prefix": replace(`"prefix": "/pay/"`, `"prefix": "/"`),
		"duplicate route name":       replace(`"name": "pay"`, `"name": "all"`),
		"prefix without a slash":     replace(`"/pay/"`, `"/pay"`),
		"no host":                    replace(`"host": "shop.example"`, `"host": ""`),
		"no attempt":                 replace(`"max_attempts": 2`, `"max_attempts": 0`),
		"negative timeout":           replace(`"timeout": "4s"`, `"timeout": "-4s"`),
		"timeout without a unit":     replace(`"timeout": "4s"`, `"timeout": "4"`),
		"wrong type of rank":         replace(`"rank": 2`, `"rank": "2"`),
		"oversized":                  fmt.Sprintf("%s%*s", fleetDocument, MaxFleetBytes, ""),
	} {
		t.Run(name, func(t *testing.T) {
			var invalid *DocumentError
			if _, err := table.Set(VersionedDocument{Service: FleetName, Epoch: 2, Text: []byte(text)}); !errors.As(err, &invalid) {
				t.Fatalf("error %v, want a DocumentError", err)
			}
			if p := table.Get("booking"); p == nil || p.Epoch != 1 {
				t.Fatalf("in force after an invalid document: %+v", p)
			}
		})
	}
}

// Guards against an encoded document that decodes to a different one.
func TestFleetRoundTrip(t *testing.T) {
	f, err := ParseFleet([]byte(fleetDocument))
	if err != nil {
		t.Fatal(err)
	}
	text, err := EncodeFleet(f)
	if err != nil {
		t.Fatal(err)
	}
	again, err := ParseFleet(text)
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprintf("%+v", f) != fmt.Sprintf("%+v", again) {
		t.Fatalf("%+v became %+v", f, again)
	}
}

// FuzzParseFleet searches for documents that cause a panic, or that are accepted although
// one of their routes cannot be looked up.
func FuzzParseFleet(f *testing.F) {
	f.Add([]byte(fleetDocument))
	f.Fuzz(func(t *testing.T, text []byte) {
		table := NewTable(TableOptions{})
		if _, err := table.Set(VersionedDocument{Service: FleetName, Epoch: 1, Text: text}); err != nil {
			return
		}
		doc, err := ParseFleet(text)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range doc.Routes {
			m, err := table.Match(r.Host, "GET", r.Prefix)
			if hasDotSegment(r.Prefix) {
				continue
			}
			if err != nil || m.Route.Name != r.Name || len(m.Targets) == 0 || m.Targets[0].Policy == nil {
				t.Fatalf("route %q: %+v, %v", r.Name, m, err)
			}
		}
	})
}
