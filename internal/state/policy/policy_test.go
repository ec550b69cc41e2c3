package policy

import (
	"errors"
	"fmt"
	"math/rand"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"
)

const minimal = `[service]
name = "booking"
hosts = ["booking.example"]
floor = 9

[[service.route]]
name = "all"
path = "/*"
`

// document returns a valid document of a service.
func document(service string, floor int, hosts ...string) []byte {
	return fmt.Appendf(nil, "[service]\nname = %q\nhosts = [\"%s\"]\nfloor = %d\n[[service.route]]\nname = \"all\"\npath = \"/*\"\n",
		service, strings.Join(hosts, `", "`), floor)
}

// Guards against defaults that differ from the documented ones.
func TestParseDefaults(t *testing.T) {
	doc, problems := Parse([]byte(minimal))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	want := Service{
		Name: "booking", Hosts: []string{"booking.example"}, Floor: 9, DetectionWeight: 0.5, Timeout: Duration(10 * time.Second),
		Limits: Limits{MaxAttempts: 3, RetryPercent: 10, SpillPercent: 5, SpillBytesPerSecond: 65536},
		Routes: []Route{{Name: "all", Path: "/*"}},
	}
	if !reflect.DeepEqual(doc.Service, want) {
		t.Fatalf("got %+v\nwant %+v", doc.Service, want)
	}
}

// Guards against a document of which only the first problem is reported, and against an
// invalid document that is returned in part.
func TestParseReportsEveryProblem(t *testing.T) {
	text := `[service]
name = "Booking"
hosts = ["a.example", "a.example", "B.example:80"]
detection_weight = nan
timeout = "0s"
tiemout = "1s"

[service.limits]
queue = -1
max_attempts = "3"
retry_percent = 11

[[service.route]]
name = "book"
methods = ["POST"]
path = "/book/../pay"
idempotent = true

[[service.route]]
name = "book"
methods = ["get"]
path = "/status"
timeout = "11m"
selector = { "pool name" = "x" }

[[service.route]]
path = "/all/*"
idempotent = true

[[service.route]]
name = "all-2"
path = "/all/*"
`
	doc, problems := Parse([]byte(text))
	if doc != nil {
		t.Fatal("an invalid document was returned")
	}
	want := []string{
		"1 service.floor missing key",
		"2 service.name invalid value",
		"3 service.hosts[1] duplicate host name",
		"3 service.hosts[2] invalid host name",
		"4 service.detection_weight out of range",
		"5 service.timeout out of range",
		"6 service.tiemout unknown key",
		"9 service.limits.queue out of range",
		"10 service.limits.max_attempts wrong type",
		"11 service.limits.retry_percent out of range",
		"16 service.route[0].path invalid path",
		"20 service.route[1].name duplicate route name",
		"21 service.route[1].methods[0] unknown method",
		"23 service.route[1].timeout out of range",
		`24 service.route[1].selector."pool name" invalid label name`,
		"26 service.route[2].name missing key",
		"28 service.route[2].idempotent an idempotent route must name its methods",
		"32 service.route[3].path another route has the same method and path",
	}
	var got []string
	for _, p := range problems {
		got = append(got, fmt.Sprintf("%d %s %s", p.Line, p.Key, p.Reason))
		if p.Allowed == "" {
			t.Errorf("problem without allowed values: %s", p)
		}
	}
	// A missing key is reported on the line of its table, which is that of the header or
	// of the first key.
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Fatalf("got:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against an empty or oversized document that is accepted.
func TestParseRefusesEmptyAndOversized(t *testing.T) {
	if _, problems := Parse(nil); len(problems) != 4 {
		t.Errorf("empty document: %v, want the four missing keys", problems)
	}
	if _, problems := Parse([]byte(minimal + strings.Repeat("#\n", MaxDocumentBytes/2))); len(problems) != 1 {
		t.Errorf("oversized document: %v", problems)
	}
}

// Guards against an encoding that loses or changes a value.
func TestEncodeRoundTrip(t *testing.T) {
	doc, problems := Parse([]byte(minimal + "methods = [\"GET\"]\nidempotent = true\ntimeout = \"1.5s\"\nselector = { \"a.b/c\" = \"x\" }\n"))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	again, problems := Parse(Encode(doc))
	if len(problems) > 0 || !reflect.DeepEqual(doc, again) {
		t.Fatalf("%v\n%s\ngot %+v\nwant %+v", problems, Encode(doc), again, doc)
	}
}

// Guards against a problem that names the wrong one of several routes.
func TestDuplicateRouteNamesFirstRoute(t *testing.T) {
	text := minimal
	for _, name := range []string{"second", "third"} {
		text += "\n[[service.route]]\nname = \"" + name + "\"\npath = \"/*\"\n"
	}
	_, problems := Parse([]byte(text))
	if len(problems) != 2 || problems[0].Found != problems[1].Found || !strings.Contains(problems[1].Found, "all") {
		t.Fatalf("%+v", problems)
	}
}

// Guards against a change that the operator is not shown.
func TestDiff(t *testing.T) {
	old, _ := Parse([]byte(minimal))
	new, _ := Parse([]byte(strings.Replace(minimal, "9", "10", 1) + "timeout = \"2s\"\nselector = { pool = \"a\" }\n"))
	want := []Change{
		{Key: "service.floor", Old: "9", New: "10"},
		{Key: `service.route["all"].selector.pool`, New: "a"},
		{Key: `service.route["all"].timeout`, Old: "0s", New: "2s"},
	}
	if got := Diff(old, new); !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v", got)
	}
	got := Diff(nil, old)
	if len(got) == 0 || got[0].Old != "" {
		t.Fatalf("diff from nothing: %+v", got)
	}
	for _, c := range got {
		if strings.Contains(c.Key, "-") {
			t.Errorf("%q is no key of a document", c.Key)
		}
	}
}

// Guards against a request that matches a less specific route, which may differ in
// whether the request can be repeated.
func TestMatchMostSpecific(t *testing.T) {
	d := &Document{Service: Service{Routes: []Route{
		{Name: "rest", Path: "/*"},
		{Name: "api", Path: "/api/*"},
		{Name: "api-get", Path: "/api/*", Methods: []string{"GET"}},
		{Name: "deep", Path: "/api/v1/*"},
		{Name: "exact", Path: "/api/v1/book"},
		{Name: "put", Path: "/put/only", Methods: []string{"PUT"}},
	}}}
	for _, c := range []struct{ method, path, want string }{
		{"POST", "/", "rest"},
		{"POST", "/api", "rest"},
		{"POST", "/api/", "api"},
		{"GET", "/api/x", "api-get"},
		{"GET", "/api/v1/x", "deep"},
		{"GET", "/api/v1/book", "exact"},
		{"GET", "/api/v1/book/", "deep"},
		{"PUT", "/put/only", "put"},
		{"GET", "/put/only", "rest"},
		{"GET", "/api/v1/../x", ""},
		{"GET", "/api/.", ""},
		{"GET", "/api/...", "api-get"},
		{"OPTIONS", "*", ""},
	} {
		got := ""
		if r, ok := d.Match(c.method, c.path); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s %s: route %q, want %q", c.method, c.path, got, c.want)
		}
	}
}

// Guards against a policy that is replaced by one of a lower epoch, or by a different
// one of the same epoch.
func TestTableIsMonotonic(t *testing.T) {
	table := NewTable(TableOptions{})
	set := func(epoch uint64, text []byte) error {
		_, err := table.Set(VersionedDocument{Service: "a", Epoch: epoch, Text: text})
		return err
	}
	if err := set(5, document("a", 5, "a.example")); err != nil {
		t.Fatal(err)
	}
	var epochErr *EpochError
	if err := set(4, document("a", 4, "a.example")); !errors.As(err, &epochErr) || epochErr.Known != 5 || epochErr.Offered != 4 {
		t.Fatalf("lower epoch: %v", err)
	}
	var hashErr *HashError
	if err := set(5, document("a", 4, "a.example")); !errors.As(err, &hashErr) {
		t.Fatalf("same epoch with another text: %v", err)
	}
	var docErr *DocumentError
	if err := set(6, []byte("[service]\nname = \"a\"")); !errors.As(err, &docErr) || len(docErr.Problems) != 3 {
		t.Fatalf("partly valid document: %v", err)
	}
	if err := set(6, document("b", 4, "a.example")); !errors.As(err, &docErr) {
		t.Fatalf("document of another service: %v", err)
	}
	if r, err := table.Set(VersionedDocument{Service: "a", Epoch: 5, Text: document("a", 5, "a.example")}); err != nil || r.Changed {
		t.Fatalf("repeated policy: %+v, %v", r, err)
	}
	if p := table.Get("a"); p.Epoch != 5 || p.Document.Service.Floor != 5 || table.ByHost("a.example") != p {
		t.Fatalf("in force: %+v", p)
	}
}

// Guards against nodes whose tables end up different because policies that move hosts
// between services arrived in different orders.
func TestTableStateIsIndependentOfOrder(t *testing.T) {
	all := []VersionedDocument{
		{"a", 1, document("a", 1, "one", "two")},
		{"b", 1, document("b", 1, "three")},
		{"a", 2, document("a", 1, "spare")},
		{"b", 2, document("b", 1, "one")},
		{"a", 3, document("a", 1, "three")},
		{"c", 1, document("c", 1, "two", "spare")},
	}
	var want uint64
	for _, i := range []int{3, 4, 5} {
		want += EntryDigest(all[i].Service, all[i].Epoch, Hash(all[i].Text))
	}
	rnd := rand.New(rand.NewSource(1))
	for run := range 500 {
		table := NewTable(TableOptions{})
		order := rnd.Perm(len(all))
		for _, i := range order {
			_, err := table.Set(all[i])
			var host *HostError
			var epoch *EpochError
			if err != nil && !errors.As(err, &host) && !errors.As(err, &epoch) {
				t.Fatalf("run %d: %v", run, err)
			}
		}
		if got := table.Digest(); got != want {
			t.Fatalf("run %d, order %v: digest %x, want %x", run, order, got, want)
		}
		for host, service := range map[string]string{"one": "b", "two": "c", "three": "a", "spare": "c"} {
			if p := table.ByHost(host); p == nil || p.Service != service {
				t.Fatalf("run %d, order %v: host %s at %+v, want %s", run, order, host, p, service)
			}
		}
	}
}

// Guards against two services that receive the requests of one host.
func TestTableRefusesClaimedHost(t *testing.T) {
	table := NewTable(TableOptions{})
	if _, err := table.Set(VersionedDocument{"a", 1, document("a", 1, "x")}); err != nil {
		t.Fatal(err)
	}
	var hostErr *HostError
	if _, err := table.Set(VersionedDocument{"b", 1, document("b", 1, "y", "x")}); !errors.As(err, &hostErr) || hostErr.Holder != "a" || hostErr.Host != "x" {
		t.Fatalf("got %v", err)
	}
	if table.Get("b") != nil || table.ByHost("y") != nil {
		t.Fatal("the refused policy is partly in force")
	}
}

// Guards against data races between reads and changes, and against a reader that sees
// an epoch decrease.
func TestTableConcurrentUse(t *testing.T) {
	table := NewTable(TableOptions{})
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Add(2)
		go func() {
			defer wg.Done()
			for e := range 100 {
				_, _ = table.Set(VersionedDocument{"a", uint64(e + w), document("a", e+w, "x")})
			}
		}()
		go func() {
			defer wg.Done()
			var last uint64
			for range 2000 {
				if p := table.ByHost("x"); p != nil {
					if p.Epoch < last {
						t.Errorf("epoch fell from %d to %d", last, p.Epoch)
					}
					last = p.Epoch
				}
			}
		}()
	}
	wg.Wait()
}
