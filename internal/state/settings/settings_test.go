package settings

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite docs/settings.md")

const valid = `[node]
id = "n1"
failure_domain = "fd1"
region = "r1"

[listen]
caller_listen = ":8080"
peer_listen = "127.0.0.1:9000"
operator_listen = "127.0.0.1:9001"

[platform]
address = "http://127.0.0.1:7070"
`

func load(t *testing.T, text string) (*Settings, string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path)
	return s, path, err
}

// Guards against required keys that are not documented and against wrong defaults.
func TestLoadDefaults(t *testing.T) {
	s, _, err := load(t, valid+"[membership]\nprobe_interval = \"500ms\"\nseeds = [\"127.0.0.1:9100\"]\n")
	if err != nil {
		t.Fatal(err)
	}
	if time.Duration(s.Membership.ProbeInterval) != 500*time.Millisecond || time.Duration(s.Drain.Timeout) != 30*time.Second ||
		s.Limits.MaxPeerConnections != 128 || s.Limits.ControlBytesPerSecond != 3072 || s.Output.LogLevel != "info" {
		t.Fatalf("got %+v", s)
	}
}

// Guards against a file of which only the first problem is reported, and against a
// problem without its file, line, key, found value and allowed values.
func TestLoadReportsEveryProblem(t *testing.T) {
	text := strings.NewReplacer(`"n1"`, `"n 1"`, `region = "r1"`, "", `"127.0.0.1:9000"`, `"0.0.0.0:9000"`, `"http://127.0.0.1:7070"`, `7070`).Replace(valid) + `
[membership]
seeds = ["127.0.0.1:1", "seed.example:2"]
probe_interval = "1ms"

[limits]
max_peers = 3
max_peer_connections = 5000

[output]
trace = "/var/trace"
`
	_, path, err := load(t, text)
	if !strings.Contains(err.Error(), `membership.probe_interval: invalid value; found "1ms"; allowed: 100ms to 10s`) {
		t.Errorf("duration is not shown as in the file: %v", err)
	}
	var le *LoadError
	if !errors.As(err, &le) {
		t.Fatalf("got %v", err)
	}
	var got []string
	for _, line := range strings.Split(err.Error(), "\n") {
		rest, ok := strings.CutPrefix(line, path+": line ")
		if !ok || !strings.Contains(line, "allowed: ") {
			t.Errorf("incomplete line %q", line)
		}
		got = append(got, strings.Join(strings.SplitN(rest, ": ", 3)[:2], " "))
	}
	want := []string{
		"1 node.region", "2 node.id", "8 listen.peer_listen", "12 platform.address", "15 membership.seeds[1]",
		"16 membership.probe_interval", "19 limits.max_peers", "20 limits.max_peer_connections", "23 output.trace",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Fatalf("got:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against two listeners with the same address, which would fail only at start.
func TestLoadRefusesSharedAddress(t *testing.T) {
	_, _, err := load(t, strings.Replace(valid, "9001", "9000", 1))
	if err == nil || !strings.Contains(err.Error(), "listen.operator_listen: address is used twice") {
		t.Fatalf("got %v", err)
	}
}

// Guards against an operator address that is reachable without a token, and against a
// secret in an error message, which would be logged.
func TestOperatorToken(t *testing.T) {
	public := strings.Replace(valid, "127.0.0.1:9001", "192.0.2.1:9001", 1)
	for text, refused := range map[string]bool{
		strings.Replace(valid, "operator_listen = \"127.0.0.1:9001\"\n", "", 1): false,
		public: true,
		strings.Replace(public, "192.0.2.1", "[::ffff:192.0.2.1]", 1): true,
		public + "[operator]\ntoken = \"hidden-of-16-chr\"\n":         false,
		valid + "[operator]\ntoken = \"hidden-of-15-ch\"\n":           true,
		valid + "[operator]\ntoken = \"hidden with a space\"\n":       true,
		valid + "[operator]\ntoken = [\"hidden-in-array\"]\n":         true,
		"operator = \"hidden-of-16-chr\"\n" + valid:                   true,
	} {
		if _, _, err := load(t, text); (err != nil) != refused || strings.Contains(fmt.Sprint(err), "hidden") {
			t.Errorf("%s\ngot %v", text, err)
		}
	}
}

// Guards against a key without a check, a description or its allowed values, and
// against a reference page that differs from the code.
func TestReferenceIsComplete(t *testing.T) {
	for _, f := range fields(Defaults()) {
		if f.doc == "" || f.allowed == "" || f.kind == "" || (checks[f.key] == nil && f.key != "membership.seeds") {
			t.Errorf("key %s is not fully described: %+v", f.key, f)
		}
	}
	const page = "../../../docs/settings.md"
	if *update {
		if err := os.WriteFile(page, []byte(Reference()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(page)
	if err != nil || string(text) != Reference() {
		t.Fatalf("docs/settings.md differs from the code (%v); run go test ./internal/state/settings -update", err)
	}
}

// Guards against a value of the platform that is rounded up, or that lets a node drain or
// repeat without limit.
func TestSuppliedValuesAreBounded(t *testing.T) {
	for _, c := range []struct {
		killAfter, slack string
		drain            time.Duration
		retries          float64
		shared           bool
		warnings         int
	}{
		{"", "", 4 * time.Second, 7, true, 0},
		{"6s", "25.2", 5500 * time.Millisecond, 25.2, true, 0},
		{"1.9s", "0.9", 1400 * time.Millisecond, 0.9, true, 0},
		{"20m", "1e300", 10*time.Minute - killMargin, 100000, true, 0},
		{"1s", "0", 500 * time.Millisecond, 0, true, 0},
		{"999ms", "-0.1", 4 * time.Second, 7, true, 2},
		{"true", "NaN", 4 * time.Second, 7, true, 2},
		{"6", "Inf", 4 * time.Second, 7, true, 2},
	} {
		text := valid + "[drain]\ntimeout = \"4s\"\n[fleet]\nretry_slack = 7\n" +
			fmt.Sprintf("[supplied]\nkill_after = %q\nretry_slack = %q\n", c.killAfter, c.slack)
		s, _, err := load(t, text)
		if err != nil {
			t.Fatal(err)
		}
		slack, shared := s.RetrySlack()
		if s.DrainLimit() != c.drain || slack != c.retries || shared != c.shared || len(s.Warnings()) != c.warnings {
			t.Errorf("%+v: drain %s, slack %v (shared %v), warnings %q", c, s.DrainLimit(), slack, shared, s.Warnings())
		}
	}
}

// Guards against a window or a floor that is not that of the deployment, or is none.
func TestSuppliedWindowAndFloor(t *testing.T) {
	for _, c := range []struct {
		window, share string
		retries       time.Duration
		floor         float64
	}{
		{"20s", "0.9", 20 * time.Second, 0.9}, {"1500ms", "1", 1500 * time.Millisecond, 1}, {"1h", "0", 10 * time.Minute, 0},
		{"", "", 10 * time.Second, 0.6}, {"0s", "70", 10 * time.Second, 0.6}, {"10", "NaN", 10 * time.Second, 0.6}, {"true", "-0.1", 10 * time.Second, 0.6},
	} {
		s, _, err := load(t, valid+fmt.Sprintf("[fleet]\nfloor_percent = 60\n[supplied]\nretry_window = %q\nfloor_share = %q\n", c.window, c.share))
		if err != nil || s.RetryWindow() != c.retries || s.FloorShare() != c.floor {
			t.Errorf("%+v: %s, %v, %v", c, s.RetryWindow(), s.FloorShare(), err)
		}
	}
}

// Guards against a node that repeats more requests than the platform allows for its deployment.
func TestSuppliedRetryRatioIsNotExceeded(t *testing.T) {
	for ratio, percent := range map[string]float64{
		"0.2": 17, "0.1": 8.5, "0.3": 25.5, "1": 85, "0": minRetryPercent, "": 5, "true": 5, "20": 5, "-0.1": 5, "NaN": 5,
	} {
		s, _, err := load(t, valid+"[fleet]\nretry_percent = 5\n"+fmt.Sprintf("[supplied]\nretry_ratio = %q\n", ratio))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.RetryPercent(); got != percent {
			t.Errorf("ratio %q: %v percent, want %v", ratio, got, percent)
		}
	}
}
