package console

import (
	"context"
	"fmt"
	"html"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/standin/platform"
)

const (
	hostile = `<script>alert("x")</script>`
	secret  = "0123456789abcdef"
)

// fakeControl returns records whose names need HTML escaping.
type fakeControl struct{ controlpb.Control }

func (fakeControl) Backends(_ context.Context, r *controlpb.BackendsRequest) (*controlpb.BackendsResponse, error) {
	if r.Service == "none" {
		return &controlpb.BackendsResponse{}, nil
	}
	return &controlpb.BackendsResponse{Backends: []*controlpb.BackendInfo{
		{Id: "b1" + hostile, Service: "booking", Owner: "n1", State: "active", Weight: 1, OwnerStatus: "alive"},
		{Id: "b2", Service: "booking", Owner: "n1" + hostile, State: "ejected", OwnerStatus: "alive"},
		{Id: "b3", Service: "booking", Owner: "n3", State: "active", Weight: 1, OwnerStatus: "suspect"},
	}}, nil
}

func (fakeControl) Nodes(context.Context, *controlpb.NodesRequest) (*controlpb.NodesResponse, error) {
	return &controlpb.NodesResponse{Nodes: []*controlpb.NodeInfo{{Id: "n1", Status: "alive", Region: hostile}}}, nil
}

func (fakeControl) PolicyStatus(context.Context, *controlpb.PolicyStatusRequest) (*controlpb.PolicyStatusResponse, error) {
	return &controlpb.PolicyStatusResponse{Nodes: []*controlpb.PolicyNodeStatus{
		{NodeId: "n1", Ready: true, Policies: []*controlpb.PolicyEpoch{{Service: "booking", Epoch: 7}}},
	}}, nil
}

func (fakeControl) Explain(context.Context, *controlpb.ExplainRequest) (*controlpb.ExplainResponse, error) {
	return &controlpb.ExplainResponse{Events: []*controlpb.EventInfo{{Kind: "backend_ejected", Reason: "failing " + hostile}}}, nil
}

type fixture struct {
	t      *testing.T
	url    string
	now    time.Time
	memory *platform.Memory
	guard  *Guard
}

func newFixture(t *testing.T, token string) *fixture {
	f := &fixture{t: t, memory: platform.NewMemory(), now: time.Now()}
	f.guard = NewGuard(GuardOptions{Token: token, Now: func() time.Time { return f.now }})
	table := policy.NewTable(policy.TableOptions{})
	document := "[service]\nname = \"booking\"\nhosts = [\"booking.example\"]\nfloor = 2\n[[service.route]]\nname = \"all\"\npath = \"/*\"\n"
	if _, err := table.Set(policy.VersionedDocument{Service: "booking", Epoch: 7, Text: []byte(document)}); err != nil {
		t.Fatal(err)
	}
	r := chi.NewRouter()
	r.Get("/ready", func(http.ResponseWriter, *http.Request) {})
	r.Get("/debug/vars", func(http.ResponseWriter, *http.Request) {})
	New(Options{Control: fakeControl{}, Platform: f.memory, Policies: table, Guard: f.guard}).Mount(r)
	server := httptest.NewServer(f.guard.Wrap(r))
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// do sends a request and checks the status and parts of the body.
func (f *fixture) do(status int, r *http.Request, parts ...string) (*http.Response, string) {
	f.t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != status {
		f.t.Fatalf("%s %s: status %d, want %d:\n%s", r.Method, r.URL, resp.StatusCode, status, body)
	}
	for _, p := range parts {
		if !strings.Contains(string(body), p) {
			f.t.Errorf("%s %s: no %q in:\n%s", r.Method, r.URL, p, body)
		}
	}
	return resp, string(body)
}

func (f *fixture) get(path string) *http.Request {
	r, _ := http.NewRequest(http.MethodGet, f.url+path, nil)
	return r
}

func (f *fixture) post(path string, v url.Values) *http.Request {
	// Browsers send line ends as CRLF.
	body := strings.ReplaceAll(strings.ReplaceAll(v.Encode(), "%0D%0A", "%0A"), "%0A", "%0D%0A")
	r, _ := http.NewRequest(http.MethodPost, f.url+path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	r.Header.Set("Sec-Fetch-Site", "same-origin")
	return r
}

// submit posts the form as if a button was pressed. It returns the values of the
// form in the response, and the page.
func (f *fixture) submit(status int, v url.Values, button, value string, parts ...string) (url.Values, string) {
	f.t.Helper()
	v.Set(button, value)
	_, page := f.do(status, f.post("/edit", v), parts...)
	v.Del(button)
	return formValues(page), page
}

var inputs = regexp.MustCompile(`(?s)<input( type="[a-z]+")? name="([^"]*)" value="([^"]*)"([^>]*)>|<textarea name="([^"]*)"[^>]*>\n(.*?)</textarea>`)

// formValues returns the values that a browser would post from a page.
func formValues(page string) url.Values {
	v := url.Values{}
	for _, m := range inputs.FindAllStringSubmatch(page, -1) {
		if m[5] != "" {
			v.Add(m[5], html.UnescapeString(m[6]))
		} else if !strings.Contains(m[1], "checkbox") || strings.Contains(m[4], "checked") {
			v.Add(m[2], html.UnescapeString(m[3]))
		}
	}
	return v
}

// setFields sets fields to values, given as pairs of name and value.
func setFields(v url.Values, pairs ...string) {
	for i := 0; i < len(pairs); i += 2 {
		v.Set(pairs[i], pairs[i+1])
	}
}

// createPolicy applies the first policy of service "photo" and returns its form.
func (f *fixture) createPolicy() url.Values {
	f.t.Helper()
	_, page := f.do(http.StatusOK, f.get("/edit"))
	v := formValues(page)
	setFields(v, "operator", "ann", "service.name", "photo", "service.hosts", "photo.example\n", "service.floor", "9",
		"service.route[0].name", "intake", "service.route[0].path", "/*", "service.route[0].selector", "disk = big")
	f.submit(http.StatusSeeOther, v, "action", "apply")
	_, page = f.do(http.StatusOK, f.get("/edit?service=photo"), "based on epoch 1")
	return formValues(page)
}

func (f *fixture) storedDocument() *policy.Document {
	f.t.Helper()
	env, _, err := policy.Read(context.Background(), f.memory, "photo")
	doc, problems := policy.Parse([]byte(env.Text))
	if err != nil || len(problems) > 0 {
		f.t.Fatal(err, problems)
	}
	return doc
}

// Guards against pages that show a wrong capacity, and against names from other
// processes that are not escaped.
func TestPages(t *testing.T) {
	f := newFixture(t, "")
	escaped := html.EscapeString(hostile)
	for path, parts := range map[string][]string{
		"/":                 {"<td>7</td>", "<td>2</td>", "1 of 3 (below the floor)"},
		"/services/booking": {"1 of 3", "ejected: 1", "owner suspect: 1", "b1" + escaped, "failing " + escaped, "n1" + escaped},
		"/nodes":            {"booking: 7", escaped},
		"/console.css":      {"font"},
		"/edit?service=" + url.QueryEscape(hostile): {escaped},
	} {
		resp, page := f.do(http.StatusOK, f.get(path), parts...)
		if strings.Contains(page, "<script") || !strings.Contains(resp.Header.Get("Content-Security-Policy"), "default-src 'none'") {
			t.Errorf("%s: page contains a script or lacks the Content-Security-Policy:\n%s", path, page)
		}
	}
	f.do(http.StatusNotFound, f.get("/services/none"))
}

// Guards against a problem that is not shown at its field, a check that stores the
// document, and input that is lost or not escaped.
func TestFormCheckAndApply(t *testing.T) {
	f := newFixture(t, "")
	v := f.createPolicy()
	if s := f.storedDocument().Service; s.Routes[0].Selector["disk"] != "big" || s.Floor != 9 {
		t.Fatalf("stored %+v", s)
	}
	v, _ = f.submit(http.StatusOK, v, "action", "add")
	setFields(v, "service.floor", "many", "service.hosts", "photo.example\nBAD", "service.route[1].name", hostile,
		"service.route[1].selector", "a=1\na=2", "service.route[1].idempotent", "true")
	v, page := f.submit(http.StatusUnprocessableEntity, v, "action", "check", html.EscapeString(hostile), "floor = &#39;many&#39;")
	for field, reason := range map[string]string{
		"service.floor": "an integer", "service.hosts": "invalid host name", "service.route[1].name": "invalid value",
		"service.route[1].path": "missing key", "service.route[1].selector": "duplicate label", "service.route[1].idempotent": "must name its methods",
	} {
		_, after, _ := strings.Cut(page, fmt.Sprintf(`name="%s"`, field))
		if own, _, _ := strings.Cut(after, ` name="`); !strings.Contains(own, reason) {
			t.Errorf("field %s lacks %q:\n%s", field, reason, own)
		}
	}
	if strings.Contains(page, "<script") || v.Get("service.route[1].name") != hostile {
		t.Error("hostile input is lost or not escaped")
	}
	v, _ = f.submit(http.StatusOK, v, "remove", "1")
	setFields(v, "service.floor", "10", "service.hosts", "photo.example")
	v["service.route[0].methods"] = []string{"GET", "PUT"}
	v, _ = f.submit(http.StatusOK, v, "action", "check", "service.floor</td><td>9</td><td>10", "floor = 10")
	if f.storedDocument().Service.Floor != 9 {
		t.Error("check has stored the document")
	}
	v, _ = f.submit(http.StatusUnprocessableEntity, v, "action", "apply", "1 to 63 bytes, recorded with the policy")
	v.Set("operator", "ann")
	f.submit(http.StatusSeeOther, v, "action", "apply")
	if s := f.storedDocument().Service; s.Floor != 10 || len(s.Routes) != 1 || len(s.Routes[0].Methods) != 2 {
		t.Errorf("stored %+v", s)
	}
}

// Guards against conflicts in which the second operator loses input, is not told
// who applied the other policy, or undoes its changes with a rebase.
func TestTwoOperators(t *testing.T) {
	f := newFixture(t, "")
	first := f.createPolicy()
	second, _ := url.ParseQuery(first.Encode())
	setFields(first, "operator", "ben", "service.timeout", "3s", "service.detection_weight", "0.7")
	f.submit(http.StatusSeeOther, first, "action", "apply")
	setFields(second, "operator", "eve", "service.floor", "11", "service.detection_weight", "0.2", "service.route[0].path", "/photos/*")
	second, _ = f.submit(http.StatusConflict, second, "action", "apply", "Operator <b>ben</b> applied epoch <b>2</b>", "Rebase on epoch 2")
	if second.Get("service.floor") != "11" || second.Get("service.route[0].path") != "/photos/*" || second.Get("base") != "1" {
		t.Fatalf("input is lost: %v", second)
	}
	second, _ = f.submit(http.StatusOK, second, "action", "rebase", "<code>service.detection_weight</code>", "Difference from epoch 2")
	f.submit(http.StatusSeeOther, second, "action", "apply")
	s := f.storedDocument().Service
	if s.Floor != 11 || time.Duration(s.Timeout) != 3*time.Second || s.DetectionWeight != 0.2 || s.Routes[0].Path != "/photos/*" {
		t.Errorf("stored %+v", s)
	}
}

// Guards against a rebase that restores a removed route, drops an added one or
// does not report a route that both operators changed.
func TestMergeRoutes(t *testing.T) {
	routes := func(list ...string) *form {
		f := &form{Values: map[string]string{}}
		for _, s := range list {
			name, path, _ := strings.Cut(s, " ")
			f.Routes = append(f.Routes, routeForm{Name: name, Path: path})
		}
		return f
	}
	base := routes("same /s", "theirs /t", "gone /g", "dropped /d", "both /b", "lost /l")
	mine := routes("same /s", "theirs /t", "gone /g", "both /mine", "new /n")
	clashes := mine.merge(base, routes("same /s", "theirs /new", "dropped /d", "both /theirs", "lost /changed", "added /a"))
	want := routes("same /s", "theirs /new", "both /mine", "new /n", "added /a")
	if fmt.Sprint(mine.Routes) != fmt.Sprint(want.Routes) || fmt.Sprint(clashes) != "[route both route lost]" {
		t.Errorf("got %v, clashes %v", mine.Routes, clashes)
	}
}

// Guards against input that is lost during a platform outage.
func TestPlatformDown(t *testing.T) {
	f := newFixture(t, "")
	v := f.createPolicy()
	f.memory.SetFaults(platform.Faults{Outage: true})
	setFields(v, "service.floor", "12", "operator", "ann")
	v, _ = f.submit(http.StatusServiceUnavailable, v, "action", "apply", "platform unavailable")
	if v.Get("service.floor") != "12" {
		t.Error("input is lost")
	}
	f.do(http.StatusOK, f.get("/edit?service=booking"), "in force on this node", "based on epoch 7")
}

// Guards against endpoints that need no token, sessions that do not expire, and an
// unbounded number of sessions.
func TestToken(t *testing.T) {
	f := newFixture(t, secret)
	f.do(http.StatusOK, f.get("/ready"))
	for _, path := range []string{"/", "/nodes", "/debug/vars"} {
		f.do(http.StatusUnauthorized, f.get(path))
		for header, status := range map[string]int{"Bearer " + secret: 200, "Bearer " + secret[1:]: 401, "Basic " + secret: 401} {
			r := f.get(path)
			r.Header.Set("Authorization", header)
			f.do(status, r)
		}
	}
	f.do(http.StatusUnauthorized, f.post("/edit", url.Values{}))
	f.do(http.StatusUnauthorized, f.post("/login", url.Values{"token": {"wrong"}}), "The token is wrong")
	browser := f.get("/nodes")
	browser.Header.Set("Accept", "text/html")
	if resp, _ := f.do(http.StatusSeeOther, browser); resp.Header.Get("Location") != "/login" {
		t.Errorf("got %v", resp.Header)
	}
	resp, _ := f.do(http.StatusSeeOther, f.post("/login", url.Values{"token": {secret}}))
	cookie := resp.Cookies()[0]
	if !cookie.HttpOnly || cookie.SameSite != http.SameSiteStrictMode {
		t.Errorf("cookie %v", cookie)
	}
	visit := f.get("/nodes")
	visit.AddCookie(cookie)
	f.do(http.StatusOK, visit)
	f.now = f.now.Add(sessionLifetime)
	f.do(http.StatusUnauthorized, visit)
	for range maxSessions + 10 {
		f.guard.login(httptest.NewRecorder(), secret)
	}
	if n := len(f.guard.sessions); n != maxSessions {
		t.Errorf("%d sessions", n)
	}
}

// Guards against cross-site POST requests, DNS rebinding and unbounded bodies.
func TestHostileRequests(t *testing.T) {
	f := newFixture(t, "")
	cross := f.post("/edit", url.Values{})
	cross.Header.Set("Sec-Fetch-Site", "cross-site")
	f.do(http.StatusForbidden, cross)
	// Browsers do not send Sec-Fetch-Site without TLS, so Origin is checked.
	cross.Header = http.Header{"Origin": {"http://attacker.example"}}
	f.do(http.StatusForbidden, cross)
	rebound := f.get("/")
	rebound.Host = "attacker.example"
	f.do(http.StatusMisdirectedRequest, rebound)
	f.do(http.StatusRequestEntityTooLarge, f.post("/edit", url.Values{"original": {strings.Repeat("x", maxBodyBytes)}}))
	f.do(http.StatusBadRequest, f.post("/edit", url.Values{"base": {"1"}, "routes": {"1000000"}}))
}
