package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	api "wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/standin/platform"
)

const document = `[service]
name = "booking"
hosts = ["booking.example"]
floor = 9
[[service.route]]
name = "all"
path = "/*"
`

// fakeNode implements the control service with fixed responses.
type fakeNode struct{ controlpb.Control }

func (fakeNode) Nodes(context.Context, *controlpb.NodesRequest) (*controlpb.NodesResponse, error) {
	return &controlpb.NodesResponse{Nodes: []*controlpb.NodeInfo{{Id: "n1", Status: "alive\x1b[2J", FailureDomain: "fd1"}}}, nil
}

func (fakeNode) Backends(_ context.Context, r *controlpb.BackendsRequest) (*controlpb.BackendsResponse, error) {
	return &controlpb.BackendsResponse{Backends: []*controlpb.BackendInfo{{Id: "b1", Service: r.Service, State: "active"}}}, nil
}

func (fakeNode) PolicyStatus(context.Context, *controlpb.PolicyStatusRequest) (*controlpb.PolicyStatusResponse, error) {
	booking := func(epoch uint64) []*controlpb.PolicyEpoch {
		return []*controlpb.PolicyEpoch{{Service: "booking", Epoch: epoch, Hash: "aa"}}
	}
	return &controlpb.PolicyStatusResponse{Nodes: []*controlpb.PolicyNodeStatus{
		{NodeId: "n1", Ready: true, Policies: booking(7)}, {NodeId: "n2", Ready: true, Policies: booking(7)},
		{NodeId: "n3", Ready: true, Policies: booking(6)}, {NodeId: "n4", Error: "timeout"},
	}}, nil
}

func (fakeNode) ExplainPlacement(_ context.Context, req *controlpb.ExplainPlacementRequest) (*controlpb.ExplainPlacementResponse, error) {
	if req.Host != "booking.test" {
		return nil, twirp.NotFoundError("no policy has the host " + req.Host)
	}
	return &controlpb.ExplainPlacementResponse{Node: "n1", Route: "r1", Services: []*controlpb.ServicePlacement{{
		Service: "s1", ExpectedWorkMicros: 150_000, Candidates: []*controlpb.PlacementCandidate{
			{Backend: "b1", Locality: "same_domain", ExpectedWaitMicros: 30_000, ReportAgeMillis: -1},
			{Backend: "b2", Locality: "same_region", RuledOut: "nearer_level_has_room"},
		},
	}}}, nil
}

func (fakeNode) Explain(context.Context, *controlpb.ExplainRequest) (*controlpb.ExplainResponse, error) {
	return &controlpb.ExplainResponse{Events: []*controlpb.EventInfo{{Kind: "backend_ejected", Backend: "b1",
		Evidence: []*controlpb.EvidenceField{{Key: "failure_rate", Value: "0.4"}}}}}, nil
}

func (fakeNode) Drain(_ context.Context, r *controlpb.DrainRequest) (*controlpb.DrainResponse, error) {
	if r.Backend == "b9" {
		return nil, twirp.NotFoundError("no backend server b9")
	}
	return &controlpb.DrainResponse{State: "draining " + r.Backend}, nil
}

type fixture struct {
	t        *testing.T
	memory   *platform.Memory
	nodeURL  string
	document string
}

func newFixture(t *testing.T) *fixture {
	server := httptest.NewServer(controlpb.NewControlServer(fakeNode{}))
	t.Cleanup(server.Close)
	f := &fixture{t: t, memory: platform.NewMemory(), nodeURL: server.URL}
	f.document = f.write(document)
	return f
}

func (f *fixture) write(text string) string {
	path := filepath.Join(f.t.TempDir(), "policy.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// run runs a command, and checks its exit status and parts of its output.
func (f *fixture) run(status int, args []string, parts ...string) string {
	f.t.Helper()
	var out, errs bytes.Buffer
	got := Run(append([]string{"--platform", "fake", "--node", f.nodeURL}, args...), Options{
		Stdout: &out, Stderr: &errs,
		NewPlatformClient: func(string, time.Duration) api.Client { return f.memory },
	})
	all := out.String() + errs.String()
	if got != status {
		f.t.Fatalf("%v: exit status %d, want %d; output:\n%s", args, got, status, all)
	}
	for _, p := range parts {
		if !strings.Contains(strings.Join(strings.Fields(all), " "), p) {
			f.t.Errorf("%v: output lacks %q:\n%s", args, p, all)
		}
	}
	return out.String()
}

// Guards against a wrong exit status, on which scripts rely, and against a conflict
// message that does not name the operator who applied the other policy.
func TestPolicyCommands(t *testing.T) {
	f := newFixture(t)
	invalid := f.write(strings.NewReplacer("9", "-1", "/*", "x").Replace(document))
	f.run(ExitSuccess, []string{"policy", "check", f.document}, "valid policy of service booking")
	f.run(ExitUsage, []string{"policy", "check", invalid}, "line 4: service.floor: out of range; found -1", "line 7: service.route[0].path")
	f.run(ExitFailure, []string{"policy", "check", "missing.toml"}, "missing.toml")
	f.run(ExitFailure, []string{"policy", "show", "booking"}, "no policy")

	f.run(ExitUsage, []string{"policy", "apply", invalid})
	f.run(ExitSuccess, []string{"policy", "apply", "--operator", "ann", f.document}, "epoch 1 accepted")
	second := f.write(strings.Replace(document, "9", "10", 1))
	f.run(ExitSuccess, []string{"policy", "apply", "--operator", "ben", second}, "epoch 2 accepted", "service.floor: 9 -> 10")
	f.run(ExitFailure, []string{"policy", "apply", "--base", "1", f.document}, "operator ben applied epoch 2")
	f.run(ExitFailure, []string{"policy", "apply", "--base", "0", f.document}, "operator ben applied epoch 2")
	f.run(ExitSuccess, []string{"policy", "show", "booking"}, `# epoch 2, applied by "ben"`, "floor = 10")
	f.memory.SetFaults(platform.Faults{Outage: true})
	f.run(ExitFailure, []string{"policy", "show", "booking"}, "platform unavailable")
}

// Guards against a restored policy whose epoch a node refuses, and against a node
// that is skipped without a warning. The fake node reports epoch 7 in force.
func TestPolicyApplyRestore(t *testing.T) {
	f := newFixture(t)
	f.run(ExitSuccess, []string{"policy", "apply", f.document}, "epoch 1 accepted")
	f.run(ExitSuccess, []string{"policy", "apply", "--restore", f.document}, "epoch 8 accepted", "node n4 could not be asked")
	f.run(ExitSuccess, []string{"policy", "apply", f.document}, "epoch 9 accepted")
	f.run(ExitSuccess, []string{"policy", "apply", "--restore", f.document}, "epoch 10 accepted")
	f.run(ExitFailure, []string{"policy", "apply", "--restore", "--base", "8", f.document}, "applied epoch 10")
	f.run(ExitUsage, []string{"--node", "", "policy", "apply", "--restore", f.document})
}

// Guards against output that is not valid JSON, also for errors, and against white space
// that differs between builds.
func TestJSONOutput(t *testing.T) {
	f := newFixture(t)
	for _, c := range []struct {
		status int
		args   []string
		key    string
	}{
		{ExitSuccess, []string{"policy", "check", f.document}, "hash"},
		{ExitSuccess, []string{"policy", "apply", f.document}, "changes"},
		{ExitFailure, []string{"policy", "apply", "--base", "5", f.document}, "operator"},
		{ExitUsage, []string{"policy", "check", f.write("[service]")}, "problems"},
		{ExitSuccess, []string{"policy", "show", "booking"}, "text"},
		{ExitSuccess, []string{"policy", "status"}, "nodes"},
		{ExitSuccess, []string{"nodes"}, "nodes"},
		{ExitSuccess, []string{"backends"}, "backends"},
		{ExitSuccess, []string{"explain"}, "events"},
		{ExitSuccess, []string{"drain", "b1"}, "state"},
		{ExitFailure, []string{"drain", "b9"}, "kind"},
	} {
		var v map[string]any
		out := f.run(c.status, append([]string{"--output", "json"}, c.args...))
		if err := json.Unmarshal([]byte(out), &v); err != nil || v[c.key] == nil {
			t.Errorf("%v: %v, key %q missing in\n%s", c.args, err, c.key, out)
		}
		if text, err := indent([]byte(out)); err != nil || string(text) != out {
			t.Errorf("%v: %v, white space of another form in\n%s", c.args, err, out)
		}
	}
	out, err := indent([]byte("{\"a\":  \"x y\",\t\"b\": [1,  {}]}"))
	if want := "{\n  \"a\": \"x y\",\n  \"b\": [\n    1,\n    {}\n  ]\n}"; err != nil || string(out) != want {
		t.Errorf("%s, %v, want %s", out, err, want)
	}
}

// Guards against node commands that omit records or the error of a node, and
// against control characters from other processes in the output.
func TestNodeCommands(t *testing.T) {
	f := newFixture(t)
	if out := f.run(ExitSuccess, []string{"nodes"}, "n1 alive"); strings.Contains(out, "\x1b") {
		t.Error("control character in the output")
	}
	f.run(ExitSuccess, []string{"backends", "--service", "booking"}, "b1 booking active")
	f.run(ExitSuccess, []string{"policy", "status"}, "booking 7 aa 2", "booking 6 aa 1", "n4 timeout")
	f.run(ExitSuccess, []string{"policy", "status", "--service", "booking"}, "n3 booking 6 aa")
	f.run(ExitSuccess, []string{"explain-placement", "--host", "booking.test"}, "expected work 150ms", "may be chosen", "30ms", "nearer_level_has_room")
	f.run(ExitSuccess, []string{"--output", "json", "explain-placement", "--host", "booking.test"}, "nearer_level_has_room")
	f.run(ExitFailure, []string{"explain-placement", "--host", "other.test"}, "no policy has the host other.test")
	f.run(ExitSuccess, []string{"explain", "--backend", "b1"}, "backend_ejected", "failure_rate=0.4")
	f.run(ExitSuccess, []string{"drain", "b1"}, "draining b1")
	f.run(ExitSuccess, []string{"drain", "--this-node"}, "draining")
	f.run(ExitFailure, []string{"drain", "b9"}, "no backend server b9")
}

// Guards against an operator token that is not sent to the node.
func TestToken(t *testing.T) {
	f := newFixture(t)
	got := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Get("Authorization")
		controlpb.NewControlServer(fakeNode{}).ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	f.nodeURL = server.URL
	f.run(ExitSuccess, []string{"--token", "option", "nodes"})
	option := got
	t.Setenv("WIGEON_TOKEN", "variable")
	f.run(ExitSuccess, []string{"nodes"})
	if option != "Bearer option" || got != "Bearer variable" {
		t.Errorf("sent %q and %q", option, got)
	}
}

// Guards against commands that run with invalid arguments. A drain without an
// argument would stop a node.
func TestUsage(t *testing.T) {
	f := newFixture(t)
	for _, args := range [][]string{
		{}, {"unknown"}, {"policy"}, {"policy", "check"}, {"policy", "check", f.document, "more"}, {"nodes", "more"},
		{"drain"}, {"drain", "b1", "--this-node"}, {"explain", "--limit", "0"}, {"explain-placement"}, {"explain-placement", "--host", "x", "--size", "-2"}, {"--output", "xml", "nodes"}, {"policy", "apply", "--base", "x", f.document},
		{"--node", "", "nodes"}, {"--platform", "", "policy", "show", "booking"},
	} {
		f.run(ExitUsage, args)
	}
	f.run(ExitSuccess, []string{"--help"}, "Global options")
}
