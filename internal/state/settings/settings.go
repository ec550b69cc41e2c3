// Package settings reads the settings of the daemon from a TOML document. Unknown keys
// are errors, and all problems of a document are reported at once.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/state/strict"
)

// Duration is a time.Duration written as text, such as "1.5s".
type Duration = policy.Duration

// Settings are the settings of one node. The reference page and the error messages are
// generated from the tags "doc" and "allowed" of the fields.
type Settings struct {
	Node       Node       `toml:"node"`
	Listen     Listen     `toml:"listen"`
	Operator   Operator   `toml:"operator"`
	Platform   Platform   `toml:"platform"`
	Membership Membership `toml:"membership"`
	Drain      Drain      `toml:"drain"`
	Output     Output     `toml:"output"`
	Limits     Limits     `toml:"limits"`
	Backend    Backend    `toml:"backend"`
	Fleet      Fleet      `toml:"fleet"`
	Supplied   Supplied   `toml:"supplied"`
}

// Node identifies the node and its location.
type Node struct {
	ID            string `toml:"id" required:"true" allowed:"1 to 63 letters, digits and the characters . _ -" doc:"Identity of the node across restarts, unique in the fleet."`
	FailureDomain string `toml:"failure_domain" required:"true" allowed:"1 to 63 letters, digits and the characters . _ -" doc:"Failure domain of the VM."`
	Region        string `toml:"region" required:"true" allowed:"1 to 63 letters, digits and the characters . _ -" doc:"Region of the VM."`
	LocalService  string `toml:"local_service" allowed:"\"\" or 1 to 63 letters, digits and the characters . _ -" doc:"Service of the backend server on the VM. It is sent to backend servers as the origin of the requests that arrive at this node."`
}

// Listen holds the addresses that the node listens on. Other nodes connect to the peer
// and operator addresses, so these must contain an IP address.
type Listen struct {
	CallerListen   string `toml:"caller_listen" required:"true" allowed:"IP:port or :port" doc:"Address for callers, HTTP over TCP."`
	PeerListen     string `toml:"peer_listen" required:"true" allowed:"IP:port with the IP address of one interface" doc:"Address for other nodes and for the announcements of backend servers: HTTP over TCP, and gossip over UDP on the same port."`
	OperatorListen string `toml:"operator_listen" allowed:"IP:port with the IP address of one interface" doc:"Address for operators, HTTP over TCP."`
	AnnounceListen string `toml:"announce_listen" allowed:"\"\" (none) or IP:port" doc:"Address for announcements of the VM's backend server in the format of the platform. Requires platform.form."`
	ReadyListen    string `toml:"ready_listen" allowed:"\"\" (none) or IP:port" doc:"Address at which the platform checks whether the node accepts requests. Requires platform.form."`
	MetricsListen  string `toml:"metrics_listen" allowed:"\"\" (none) or IP:port" doc:"Address at which the metrics are served as text, without a token."`
	PeerAdvertise  string `toml:"peer_advertise" allowed:"\"\" (the same as peer_listen) or IP:port" doc:"Address under which other nodes reach peer_listen, if it differs."`
}

// Operator configures access to the operator address.
type Operator struct {
	Token string `toml:"token" allowed:"16 to 512 printable ASCII characters without spaces; \"\" only if operator_listen is a loopback address" doc:"Secret that operators send as a bearer token or enter in the console. The endpoint /ready needs none."`
}

// Platform configures the client of the platform's object API.
type Platform struct {
	Address string   `toml:"address" required:"true" allowed:"an http or https URL with a host" doc:"Address of the platform's object API."`
	Timeout Duration `toml:"timeout" allowed:"100ms to 1m" doc:"Time after which a call to the platform fails without a response."`
	Form    string   `toml:"form" allowed:"\"\" (the project's own) or \"objects\"" doc:"Protocols of the platform, of callers and of backend servers."`
}

// Membership configures the failure detection between nodes.
type Membership struct {
	Seeds         []string `toml:"seeds" allowed:"an array of at most 16 entries IP:port" doc:"Peer addresses of nodes to join at start. The seeds in the platform are used if none of them answers."`
	ProbeInterval Duration `toml:"probe_interval" allowed:"100ms to 10s" doc:"Time between two probes of other nodes."`
	SyncInterval  Duration `toml:"sync_interval" allowed:"1s to 1h" doc:"Time between two comparisons of the whole directory with a random peer."`
}

// Drain bounds a graceful shutdown.
type Drain struct {
	Notice  Duration `toml:"notice" allowed:"0s to 1m" doc:"Time after SIGTERM during which the node still accepts requests but reports that it is not ready."`
	Timeout Duration `toml:"timeout" allowed:"0s to 10m" doc:"Time that requests in flight have to finish after SIGTERM."`
	// KillAfter takes precedence over Timeout; see Settings.DrainLimit.
	KillAfter Duration `toml:"kill_after" allowed:"0s (not known) or 1s to 10m" doc:"Time from SIGTERM until the platform kills the process. If set, requests in flight may finish until 500 ms before, and timeout has no effect."`
}

// killMargin is the time between the end of the drain and the kill by the platform. The
// process closes its connections and exits meanwhile.
const killMargin = 500 * time.Millisecond

// limit returns the time that requests in flight have to finish after SIGTERM, unless the
// platform supplies another one.
func (d Drain) limit() time.Duration {
	if d.KillAfter > 0 {
		return time.Duration(d.KillAfter) - killMargin
	}
	return time.Duration(d.Timeout)
}

// Backend configures how the node treats the backend servers that it owns.
type Backend struct {
	Detector string   `toml:"detector" allowed:"\"cusum\" or \"trials\"" doc:"Detection of failing backend servers. cusum: a sequential test with ejection permits. trials: a backend server becomes suspect after one or two failures and is tested with idempotent requests, which suits services with few requests per second."`
	Lease    Duration `toml:"lease" allowed:"1s to 10m" doc:"Duration of the lease on a backend server that an announcement gives its node. May exceed 3 s only if no other node can reach the backend server."`
}

// Fleet holds settings of services that a fleet document does not contain.
type Fleet struct {
	FloorPercent int  `toml:"floor_percent" allowed:"0 to 100" doc:"Share of a service's backend servers that ejection leaves in service."`
	RetryPercent int  `toml:"retry_percent" allowed:"0 to 100" doc:"Share of a service's requests that a node may repeat within 10 s."`
	RetrySlack   int  `toml:"retry_slack" allowed:"0 to 100000" doc:"Repeats within 10 s that the whole fleet may make for a service beyond that share; each node takes an equal part. 0 allows each node 3."`
	AskFirst     bool `toml:"ask_first" allowed:"true or false" doc:"Whether the body of a request that is not idempotent is sent to an owner on another node only after the owner has admitted the request and asked for the body. A request whose owner fails before that is tried elsewhere. This costs one round trip between the nodes."`
	ExpectedCost bool `toml:"expected_cost" allowed:"true or false" doc:"Whether requests are placed by their expected cost and by the work that is left at each backend server, instead of by free slots alone."`
	TeamShares   bool `toml:"team_shares" allowed:"true or false" doc:"Whether the teams that compete for one backend server share it by their quotas. Their requests then wait longer while a team with a large quota sends all of it."`
	FreeRefusals int  `toml:"free_refusals" allowed:"0 to 100" doc:"Maximum number of refusals by owners, before anything has reached a backend server, that do not count as repeats when the request is tried elsewhere."`
}

// Output configures logs and traces.
type Output struct {
	LogLevel string `toml:"log_level" allowed:"\"debug\", \"info\", \"warn\" or \"error\"" doc:"Lowest level of the log lines on standard error."`
	Trace    string `toml:"trace" allowed:"\"\" (off), \"stdout\" or the http or https URL of an OTLP endpoint" doc:"Destination of the trace spans."`
}

// Limits bounds the resources of the VM and of the network that the node uses.
type Limits struct {
	MaxPeerConnections    int `toml:"max_peer_connections" allowed:"8 to 4096" doc:"Connections to other nodes; the least recently used one is closed first."`
	ControlBytesPerSecond int `toml:"control_bytes_per_second" allowed:"512 to 1048576" doc:"Mean rate of membership and policy messages that the node sends."`
	ControlBurstBytes     int `toml:"control_burst_bytes" allowed:"2048 to 16777216" doc:"Bytes of such messages that the node may send at once."`
}

// Defaults returns the settings of an empty document.
func Defaults() *Settings {
	return &Settings{
		Listen:   Listen{OperatorListen: "127.0.0.1:9001"},
		Platform: Platform{Timeout: Duration(5 * time.Second)},
		Membership: Membership{
			ProbeInterval: Duration(time.Second),
			SyncInterval:  Duration(time.Minute),
		},
		Drain:   Drain{Timeout: Duration(30 * time.Second)},
		Backend: Backend{Lease: Duration(registry.LeaseDuration), Detector: DetectorCUSUM},
		Fleet:   Fleet{FloorPercent: 70, RetryPercent: 10},
		Output:  Output{LogLevel: "info"},
		Limits:  Limits{MaxPeerConnections: 128, ControlBytesPerSecond: 3072, ControlBurstBytes: 16384},
	}
}

// LoadError reports why the settings in a file are refused.
type LoadError struct {
	File     string
	Problems strict.Problems
}

// Error lists the problems, each with its file, line, key, found value and allowed
// values.
func (e *LoadError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = e.File + ": " + p.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems.
func (e *LoadError) Unwrap() error { return e.Problems }

// Load reads and validates the settings in a file. If they are refused, the error is a
// LoadError with all problems.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, problems := Parse(text)
	if len(problems) > 0 {
		return nil, &LoadError{File: path, Problems: problems}
	}
	return s, nil
}

// Parse decodes and validates settings. It returns the settings or all their problems.
func Parse(text []byte) (*Settings, strict.Problems) {
	s := Defaults()
	lines, problems := strict.Decode(text, s)
	if len(problems) > 0 && len(lines) == 0 {
		return nil, problems
	}
	undecoded := map[string]bool{}
	for _, p := range problems {
		undecoded[p.Key] = true
	}
	add := func(key, reason string, found any, allowed string) {
		problems = append(problems, strict.Problem{
			Line: lines.Line(key), Key: key, Reason: reason, Found: strict.FormatValue(found), Allowed: allowed,
		})
	}
	for _, f := range fields(s) {
		switch {
		case undecoded[f.key]:
		case f.required && !lines.Has(f.key):
			add(f.key, "missing key", nil, f.allowed)
		case f.key == "membership.seeds":
			if len(s.Membership.Seeds) > 16 {
				add(f.key, "too many entries", len(s.Membership.Seeds), f.allowed)
			}
			for i, seed := range s.Membership.Seeds {
				if key := strict.IndexKey(f.key, i); !undecoded[key] && !validSpecificAddress(seed) {
					add(key, "invalid value", seed, "IP:port")
				}
			}
		case !checks[f.key](f.value.Interface()):
			add(f.key, "invalid value", f.value.Interface(), f.allowed)
		}
	}
	l := s.Listen
	for i, pair := range [][2]string{{l.CallerListen, l.PeerListen}, {l.CallerListen, l.OperatorListen}, {l.PeerListen, l.OperatorListen}} {
		if pair[0] == pair[1] && pair[0] != "" && !strings.HasSuffix(pair[0], ":0") {
			key := []string{"listen.peer_listen", "listen.operator_listen", "listen.operator_listen"}[i]
			add(key, "address is used twice", pair[1], "different addresses for callers, nodes and operators")
		}
	}
	if s.Operator.Token == "" && !undecoded["operator.token"] && !isLoopback(l.OperatorListen) {
		add("operator.token", "missing secret", nil, "16 to 512 characters, because listen.operator_listen is not a loopback address")
	}
	if len(problems) > 0 {
		for i := range problems {
			if key := problems[i].Key; key == "operator" || strings.HasPrefix(key, "operator.") {
				// Error messages are logged, and logs must not contain credentials.
				problems[i].Found = ""
			}
		}
		problems.Sort()
		return nil, problems
	}
	return s, nil
}

// Detectors of failing backend servers.
const (
	DetectorCUSUM  = "cusum"
	DetectorTrials = "trials"
)

// FormObjects selects the protocols of a platform whose object store has kinds and
// names.
const FormObjects = "objects"

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,63}$`)
	// tokenPattern matches tokens that are valid in an Authorization header.
	tokenPattern = regexp.MustCompile(`^[!-~]{16,512}$`)
)

// checks holds a validation function for every key except membership.seeds.
var checks = map[string]func(any) bool{
	"node.id":                         validName,
	"node.failure_domain":             validName,
	"node.region":                     validName,
	"listen.caller_listen":            validListenAddress,
	"listen.peer_listen":              validSpecificAddress,
	"listen.operator_listen":          validSpecificAddress,
	"node.local_service":              func(v any) bool { return v == "" || validName(v) },
	"listen.announce_listen":          validOptionalAddress,
	"listen.ready_listen":             validOptionalAddress,
	"listen.metrics_listen":           validOptionalAddress,
	"platform.form":                   func(v any) bool { return v == "" || v == FormObjects },
	"drain.notice":                    durationBetween(0, time.Minute),
	"drain.kill_after":                func(v any) bool { return v == Duration(0) || durationBetween(minKillAfter, maxKillAfter)(v) },
	"backend.detector":                func(v any) bool { return v == DetectorCUSUM || v == DetectorTrials },
	"backend.lease":                   durationBetween(time.Second, 10*time.Minute),
	"fleet.floor_percent":             integerBetween(0, 100),
	"fleet.retry_percent":             integerBetween(0, 100),
	"fleet.retry_slack":               integerBetween(0, maxRetrySlack),
	"supplied.kill_after":             func(any) bool { return true },
	"supplied.retry_slack":            func(any) bool { return true },
	"supplied.retry_ratio":            func(any) bool { return true },
	"supplied.retry_window":           func(any) bool { return true },
	"supplied.floor_share":            func(any) bool { return true },
	"supplied.first_start":            func(any) bool { return true },
	"supplied.strict_revocation":      func(any) bool { return true },
	"supplied.revoke_within":          func(any) bool { return true },
	"supplied.quota_window":           func(any) bool { return true },
	"supplied.quota_overage":          func(any) bool { return true },
	"supplied.quota_slack":            func(any) bool { return true },
	"fleet.expected_cost":             func(any) bool { return true },
	"fleet.team_shares":               func(any) bool { return true },
	"fleet.ask_first":                 func(any) bool { return true },
	"fleet.free_refusals":             integerBetween(0, 100),
	"listen.peer_advertise":           func(v any) bool { return v == "" || validSpecificAddress(v) },
	"operator.token":                  func(v any) bool { return v == "" || tokenPattern.MatchString(v.(string)) },
	"platform.address":                validHTTPURL,
	"platform.timeout":                durationBetween(100*time.Millisecond, time.Minute),
	"membership.probe_interval":       durationBetween(100*time.Millisecond, 10*time.Second),
	"membership.sync_interval":        durationBetween(time.Second, time.Hour),
	"drain.timeout":                   durationBetween(0, 10*time.Minute),
	"output.log_level":                func(v any) bool { return slices.Contains([]string{"debug", "info", "warn", "error"}, v.(string)) },
	"output.trace":                    func(v any) bool { return v == "" || v == "stdout" || validHTTPURL(v) },
	"limits.max_peer_connections":     integerBetween(8, 4096),
	"limits.control_bytes_per_second": integerBetween(512, 1<<20),
	"limits.control_burst_bytes":      integerBetween(2048, 16<<20),
}

func validName(v any) bool { return namePattern.MatchString(v.(string)) }

func integerBetween(low, high int) func(any) bool {
	return func(v any) bool { return v.(int) >= low && v.(int) <= high }
}

func durationBetween(low, high time.Duration) func(any) bool {
	return func(v any) bool { return time.Duration(v.(Duration)) >= low && time.Duration(v.(Duration)) <= high }
}

func validOptionalAddress(v any) bool { return v == "" || validSpecificAddress(v) }

func validSpecificAddress(v any) bool {
	a, err := netip.ParseAddrPort(v.(string))
	return err == nil && !a.Addr().IsUnspecified()
}

// isLoopback also returns true for an invalid address, which is reported separately.
func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err != nil || a.Addr().Unmap().IsLoopback()
}

func validListenAddress(v any) bool {
	if port, ok := strings.CutPrefix(v.(string), ":"); ok {
		_, err := strconv.ParseUint(port, 10, 16)
		return err == nil
	}
	_, err := netip.ParseAddrPort(v.(string))
	return err == nil
}

func validHTTPURL(v any) bool {
	u, err := url.Parse(v.(string))
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != "" && u.RawQuery == "" && u.User == nil
}

// field is a key with its description and value.
type field struct {
	key, kind, doc, allowed string
	required                bool
	value                   reflect.Value
}

// fields returns the keys in the order of the struct fields.
func fields(s *Settings) []field {
	var list []field
	root := reflect.ValueOf(s).Elem()
	for i := range root.NumField() {
		table := root.Type().Field(i).Tag.Get("toml")
		group := root.Field(i)
		for j := range group.NumField() {
			t := group.Type().Field(j)
			kind := map[reflect.Kind]string{reflect.String: "string", reflect.Int: "integer", reflect.Slice: "array of strings", reflect.Int64: "duration", reflect.Bool: "boolean"}[t.Type.Kind()]
			list = append(list, field{
				key: table + "." + t.Tag.Get("toml"), kind: kind, doc: t.Tag.Get("doc"), allowed: t.Tag.Get("allowed"),
				required: t.Tag.Get("required") == "true", value: group.Field(j),
			})
		}
	}
	return list
}

// Reference returns the reference page of all keys in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings of wigeonspringd\n\n")
	b.WriteString("The settings are a TOML document. Unknown keys are errors. The page is generated from `internal/state/settings`\n")
	b.WriteString("by `go test ./internal/state/settings -update`.\n\n")
	b.WriteString("| key | type | default | allowed | meaning |\n|---|---|---|---|---|\n")
	for _, f := range fields(Defaults()) {
		value := "required"
		if !f.required {
			switch v := f.value.Interface().(type) {
			case Duration:
				value = fmt.Sprintf("`%q`", time.Duration(v).String())
			case []string:
				value = "`[]`"
			case string:
				value = fmt.Sprintf("`%q`", v)
			default:
				value = fmt.Sprintf("`%v`", v)
			}
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", f.key, f.kind, value, f.allowed, f.doc)
	}
	return b.String()
}

// ChangedKeys returns the keys whose values differ, without those in except.
func ChangedKeys(a, b *Settings, except ...string) []string {
	var keys []string
	old := fields(a)
	for i, f := range fields(b) {
		if !slices.Contains(except, f.key) && !reflect.DeepEqual(f.value.Interface(), old[i].value.Interface()) {
			keys = append(keys, f.key)
		}
	}
	return keys
}
