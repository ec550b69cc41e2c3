package e2e

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/state/settings"
	"wigeonspring.example/wigeonspring/standin/relay"
	"wigeonspring.example/wigeonspring/standin/verify"
)

// binDir is the directory of the built commands.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "wigeonspring-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// fleet is a fleet whose processes run on loopback.
type fleet struct {
	t         *testing.T
	basePort  int
	nodes     int
	processes map[string]*process
	// ended lists the processes that a later start replaced.
	ended []*process
	// backends lists the indexes of the started backend servers by service.
	backends map[string][]int
	relays   map[int]*relay.Relay
	// platformRelay, if set, relays the connections of the nodes to the platform.
	platformRelay *relay.Relay
	floors        map[string]int
	// loadCount is the number of loads started. It makes the operation identifiers of
	// each load unique.
	loadCount int
	// loads are all loads that were started.
	loads []*runningLoad
	// token is the operator token of the nodes.
	token string
	// detector is the setting backend.detector of the nodes; empty means the default.
	detector string
	// drain holds the settings under [drain]; empty means a timeout of 10 s.
	drain string
	// segmented and cut are the caller.Options of this name, in percent.
	segmented, cut float64
	// origins holds the service on the VM of each node.
	origins map[int]string
	// daemon is the program of the nodes if it is not wigeonspringd of this build, and
	// nodeEnv returns the variables that a node gets in addition to those of the test.
	daemon  string
	nodeEnv func(i int) []string
	// moreSettings is appended to the settings of the nodes, whose last table is [backend].
	moreSettings string
	// morePlatform and moreListen are appended to the tables [platform] and [listen], the latter
	// for a node.
	morePlatform string
	moreListen   func(i int) string
	// portStride is the number of ports of each kind.
	portStride int
	// location returns the numbers of the failure domain and the region of a node.
	location func(i int) (failureDomain, region int)
	cancel   context.CancelFunc
	ctx      context.Context
}

// portsPerKind is the number of ports of each kind in a fleet of usual size.
const portsPerKind = 20

func newFleet(t *testing.T, basePort, nodes int) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{
		t: t, basePort: basePort, nodes: nodes, ctx: ctx, cancel: cancel, portStride: portsPerKind, location: smallLocation, daemon: "wigeonspringd",
		processes: map[string]*process{},
		backends:  map[string][]int{},
		relays:    map[int]*relay.Relay{},
		floors:    map[string]int{},
	}
	t.Cleanup(f.stop)
	return f
}

// stop kills all processes. If the test failed, it logs the end of the output of each
// node.
func (f *fleet) stop() {
	f.cancel()
	for _, p := range f.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range f.processes {
		p.awaitKilled(f.t)
	}
	if f.t.Failed() {
		f.writeLogs()
		for i := 1; i <= f.nodes; i++ {
			if p := f.processes[nodeName(i)]; p != nil {
				f.t.Logf("log of %s:\n%s\n%s", p.name, lastLines(p.stdout.String(), 40), lastLines(p.stderr.String(), 40))
			}
		}
	}
}

// writeLogs writes the whole output of each process to a file in the directory that
// WIGEONSPRING_LOGS names. It does nothing if the variable is not set.
func (f *fleet) writeLogs() {
	dir := os.Getenv("WIGEONSPRING_LOGS")
	if dir == "" {
		return
	}
	dir = filepath.Join(dir, strings.ReplaceAll(f.t.Name(), "/", "-"))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		f.t.Error(err)
	}
	for i, p := range f.allProcesses() {
		name := p.name + ".log"
		if i < len(f.ended) {
			name = fmt.Sprintf("%s.%d.log", p.name, i)
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(p.stdout.String()+p.stderr.String()), 0o600); err != nil {
			f.t.Error(err)
		}
	}
}

func lastLines(s string, lines int) string {
	all := strings.Split(strings.TrimSpace(s), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// addr returns the address of process number i of a kind.
func (f *fleet) addr(kind, i int) string {
	return fmt.Sprintf("127.0.0.1:%d", f.basePort+kind*f.portStride+i)
}
func (f *fleet) callerAddr(i int) string  { return f.addr(1, i) }
func (f *fleet) peerAddr(i int) string    { return f.addr(2, i) }
func (f *fleet) operatorURL(i int) string { return "http://" + f.addr(3, i) }
func (f *fleet) relayAddr(i int) string   { return f.addr(4, i) }
func (f *fleet) backendAddr(i int) string { return f.addr(5, i) }
func (f *fleet) platformURL() string      { return "http://" + f.addr(0, 0) }

func (f *fleet) startProcess(name, program string, args ...string) *process {
	f.t.Helper()
	return f.startProcessWith(nil, name, program, args...)
}

// startProcessWith starts a program of binDir with additional environment variables.
func (f *fleet) startProcessWith(env []string, name, program string, args ...string) *process {
	f.t.Helper()
	p := &process{name: name, exited: make(chan struct{}), started: time.Now()}
	p.cmd = exec.Command(filepath.Join(binDir, program), args...)
	p.cmd.Stdout = &p.stdout
	p.cmd.Stderr = &p.stderr
	p.cmd.Env = append(os.Environ(), env...)
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	if replaced := f.processes[name]; replaced != nil {
		f.ended = append(f.ended, replaced)
	}
	f.processes[name] = p
	return p
}

// allProcesses returns all processes, also those that a later start replaced.
func (f *fleet) allProcesses() []*process {
	return slices.AppendSeq(slices.Clone(f.ended), maps.Values(f.processes))
}

func (f *fleet) startPlatform() {
	f.startProcess("platform", "wigeon-platform", "--listen", f.addr(0, 0))
	f.eventually(5*time.Second, "the platform responds", func() bool { return httpOK(f.platformURL() + "/admin/calls") })
}

// localClient sends requests to processes of the fleet, which may have stopped responding.
var localClient = &http.Client{Timeout: 10 * time.Second}

func httpOK(url string) bool {
	resp, err := localClient.Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) post(url string, body any) {
	f.t.Helper()
	if err := f.tryPost(url, body); err != nil {
		f.t.Fatal(err)
	}
}

// tryPost is post for a process that may have ended.
func (f *fleet) tryPost(url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := localClient.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("POST %s: %s", url, resp.Status)
	}
	return nil
}

// addRelay puts a relay in front of the peer address of a node. It must be called
// before the node is started.
func (f *fleet) addRelay(i int) *relay.Relay {
	f.t.Helper()
	f.relays[i] = f.startRelay(f.relayAddr(i), f.peerAddr(i))
	return f.relays[i]
}

// addPlatformRelay puts a relay between the platform and the nodes that are started
// after the call. wigeonctl and the tests connect to the platform directly.
func (f *fleet) addPlatformRelay() *relay.Relay {
	f.t.Helper()
	f.platformRelay = f.startRelay(f.addr(0, 1), f.addr(0, 0))
	return f.platformRelay
}

func (f *fleet) startRelay(listen, target string) *relay.Relay {
	f.t.Helper()
	r, err := relay.New(relay.Options{Listen: listen, Target: target})
	if err != nil {
		f.t.Fatal(err)
	}
	go func() { _ = r.Run(f.ctx) }()
	return r
}

// smallLocation places two nodes in each failure domain, and one failure domain in each region.
func smallLocation(i int) (failureDomain, region int) { return (i-1)/2 + 1, (i-1)/2 + 1 }

func (f *fleet) startNode(i int) *process {
	f.t.Helper()
	advertise := ""
	if f.relays[i] != nil {
		advertise = f.relayAddr(i)
	}
	failureDomain, region := f.location(i)
	listen := ""
	if f.moreListen != nil {
		listen = f.moreListen(i)
	}
	platform := f.platformURL()
	if f.platformRelay != nil {
		platform = "http://" + f.platformRelay.Addr()
	}
	text := fmt.Sprintf(`
[node]
id = %q
failure_domain = "fd%d"
region = "region%d"
local_service = %q

[listen]
caller_listen = %q
peer_listen = %q
peer_advertise = %q
operator_listen = %q
%s

[platform]
address = %q
%s

[membership]
seeds = [%q, %q]

[operator]
token = %q

[drain]
%s

[backend]
detector = %q
%s
`, nodeName(i), failureDomain, region, f.origins[i], f.callerAddr(i), f.peerAddr(i), advertise,
		strings.TrimPrefix(f.operatorURL(i), "http://"), listen, platform, f.morePlatform, f.peerAddr(1), f.peerAddr(2), f.token,
		cmp.Or(f.drain, `timeout = "10s"`), cmp.Or(f.detector, settings.Defaults().Backend.Detector), f.moreSettings)
	path := filepath.Join(f.t.TempDir(), nodeName(i)+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	var env []string
	if f.nodeEnv != nil {
		env = f.nodeEnv(i)
	}
	return f.startProcessWith(env, nodeName(i), f.daemon, "--config", path)
}

// startBackend starts a backend server that announces itself to a node. If that node
// fails, it announces itself to the other node of the failure domain.
func (f *fleet) startBackend(service string, index, slots, node int) *process {
	f.t.Helper()
	otherNode := (node-1)/2*2 + 1 + node%2
	f.backends[service] = append(f.backends[service], index)
	return f.startProcess(fmt.Sprintf("%s-%d", service, index), "wigeon-backend",
		"--id", fmt.Sprintf("%s-%d", service, index), "--service", service,
		"--slots", fmt.Sprint(slots), "--listen", f.backendAddr(index), "--seed", fmt.Sprint(index),
		"--node", f.peerAddr(node), "--node", f.peerAddr(otherNode))
}

// start starts the platform, all nodes and twelve backend servers of a service, which
// are spread over the nodes, and applies the policy. It waits until the policy is in
// force on all nodes and all backend servers are announced.
func (f *fleet) start(service, policyFile string, slots, floor int) {
	f.t.Helper()
	f.startPlatform()
	for i := 1; i <= f.nodes; i++ {
		f.startNode(i)
	}
	for k := 1; k <= 12; k++ {
		f.startBackend(service, k, slots, (k-1)%f.nodes+1)
	}
	f.floors[service] = floor
	for i := 1; i <= f.nodes; i++ {
		f.waitReady(i)
	}
	if out, code := f.wigeonctl(1, "policy", "apply", policyFile); code != 0 {
		f.t.Fatalf("wigeonctl policy apply: %s", out)
	}
	f.eventually(10*time.Second, "policy in force and backend servers announced", func() bool {
		return f.epochInForceEverywhere(service, 1) && f.servingBackends(1, service) == 12
	})
}

func (f *fleet) waitReady(i int) {
	f.t.Helper()
	f.eventually(20*time.Second, nodeName(i)+" is ready", func() bool { return httpOK(f.operatorURL(i) + "/ready") })
}

func (f *fleet) wigeonctl(node int, args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(binDir, "wigeonctl"),
		append([]string{"--platform", f.platformURL(), "--node", f.operatorURL(node)}, args...)...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

func (f *fleet) controlClient(node int) controlpb.Control {
	return controlpb.NewControlProtobufClient(f.operatorURL(node), &http.Client{Timeout: 2 * time.Second})
}

// servingBackends returns the number of serving backend servers that a node reports,
// or -1 if the node does not respond.
func (f *fleet) servingBackends(node int, service string) int {
	resp, err := f.controlClient(node).Backends(f.ctx, &controlpb.BackendsRequest{Service: service})
	if err != nil {
		return -1
	}
	return verify.CountServing(resp.Backends)
}

// epochInForceEverywhere reports whether all nodes have the epoch in force.
func (f *fleet) epochInForceEverywhere(service string, epoch uint64) bool {
	for i := 1; i <= f.nodes; i++ {
		if f.epochInForce(i, service) != epoch {
			return false
		}
	}
	return true
}

// epochInForce returns the epoch of the policy that a node has in force, or 0 if it has
// none or does not respond.
func (f *fleet) epochInForce(node int, service string) uint64 {
	resp, err := f.controlClient(node).PolicyStatus(f.ctx, &controlpb.PolicyStatusRequest{Service: service, Local: true})
	if err != nil || len(resp.Nodes) != 1 || len(resp.Nodes[0].Policies) != 1 {
		return 0
	}
	return resp.Nodes[0].Policies[0].Epoch
}

func (f *fleet) eventually(limit time.Duration, what string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met within %v: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
