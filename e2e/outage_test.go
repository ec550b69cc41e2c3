package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/platform/objectstore"
	"wigeonspring.example/wigeonspring/standin/backend"
	"wigeonspring.example/wigeonspring/standin/clock"
	"wigeonspring.example/wigeonspring/standin/relay"
	"wigeonspring.example/wigeonspring/standin/schedule"
	"wigeonspring.example/wigeonspring/standin/site"
	"wigeonspring.example/wigeonspring/standin/verify"
)

const (
	// defaultOutageVMs and defaultOutageRounds are those of a run in CI. WIGEONSPRING_VMS and
	// WIGEONSPRING_ROUNDS select others.
	defaultOutageVMs    = 12
	defaultOutageRounds = 2
	outageBasePort      = 12000
	// With these, services are busy and not overloaded while all VMs run. Rates are in requests/s.
	outageSlots       = 16
	outageServiceTime = 25 * time.Millisecond
	ratePerVM         = 25
	// outageSettings continue the table [backend] with the settings of a deployment.
	outageSettings = "lease = \"10s\"\n\n[fleet]\nfloor_percent = 70\nretry_percent = 5\nretry_slack = 56\nfree_refusals = 8\nask_first = true\n"
)

// outageFleet is a fleet in which each VM has a node and a backend server.
type outageFleet struct {
	*soak
	daemonClocks map[int]*clock.Clock
	// ahead holds how far the clocks are ahead, by VM.
	ahead map[int]time.Duration
	// generation counts the backend servers that have run on each VM.
	generation map[int]int
	// moved counts how often the address of each VM's backend server has gone to another service.
	moved map[int]int
	// mixed replaces backend servers in all ways, and adds callers that speak HTTP/2 or send
	// bodies of known length.
	mixed bool
	// form is nil if the fleet uses the protocols of the project.
	form *objectsForm
	// noReads leaves out the requests that may be repeated, so that only the others test suspect
	// backend servers.
	noReads bool
}

// announceKind and readyKind are kinds of addresses of a fleet with objectsForm.
const announceKind, readyKind = 6, 7

func intVariable(t *testing.T, name string, preset int) int {
	text := os.Getenv(name)
	if text == "" {
		return preset
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("%s is %q, want a positive number", name, text)
	}
	return n
}

// Guards against requests that no caller sent: other ids, methods, targets, bodies or origins
// than were sent. Clocks are stepped while most nodes are killed, and most VMs lose power soon
// after. Also guards against requests that run twice or ran although they were refused.
func TestSoakOutages(t *testing.T) { runSoaks(t, runOutages, outageDefaultSeeds...) }

// outageDefaultSeeds differ in the traffic and in the protocols. In the last one, backend servers
// are replaced too while their nodes run.
var outageDefaultSeeds = []uint64{2, 3, 7}

func runOutages(t *testing.T, seed uint64, basePort int) {
	vms, rounds := intVariable(t, "WIGEONSPRING_VMS", defaultOutageVMs), intVariable(t, "WIGEONSPRING_ROUNDS", defaultOutageRounds)
	f := newOutageFleet(t, seed, vms, outageBasePort+(basePort-soakBasePort)*(vms/portsPerKind+1))
	f.startAll()
	duration := time.Second + time.Duration(rounds)*schedule.OutageRound
	loads := f.startLoads(duration)
	steps := append(schedule.Outages(seed, vms, rounds, f), f.announcements(duration)...)
	if f.mixed {
		steps = append(steps, schedule.Replacements(seed, vms, rounds, f)...)
	}
	if err := f.runner.Run(steps, duration+soakRecoveryLimit, f.checkNodesRun); err != nil {
		t.Fatal(err)
	}
	f.policyChanges.Wait()
	f.check(loads)
	if f.awaitReady(); f.form == nil {
		f.awaitSameEpoch("catalogue")
	}
	loads = f.startLoads(afterDuration)
	if err := f.runner.Run(f.announcements(afterDuration), soakRecoveryLimit, f.checkNodesRun); err != nil {
		t.Fatal(err)
	}
	for _, rep := range f.check(loads) {
		if rep.Outcomes[header.Answered] < rep.Sent/4 {
			t.Errorf("after the faults %d of %d requests were answered, want at least a quarter", rep.Outcomes[header.Answered], rep.Sent)
		}
	}
}

// afterDuration is how long load runs after the faults.
const afterDuration = 3 * time.Second

// announcements returns the steps that announce the backend servers of a fleet with objectsForm.
func (f *outageFleet) announcements(duration time.Duration) (steps []schedule.Step) {
	for at := time.Duration(0); f.form != nil && at < duration; at += heartbeatInterval {
		steps = append(steps, schedule.At(at, "", f.announce))
	}
	return steps
}

func newOutageFleet(t *testing.T, seed uint64, vms, basePort int) *outageFleet {
	daemon, err := buildSteppedDaemon()
	if err != nil {
		t.Fatal(err)
	}
	f := &outageFleet{
		soak:         newSoak(newFleet(t, basePort, vms), seed),
		daemonClocks: map[int]*clock.Clock{}, ahead: map[int]time.Duration{}, generation: map[int]int{}, moved: map[int]int{},
		noReads: seed%2 == 0, mixed: (seed-1)%8 >= 4,
	}
	f.portStride = portsPerKind * (vms/portsPerKind + 1)
	f.location = outageLocation
	f.daemon, f.detector, f.moreSettings = daemon, "trials", outageSettings
	f.segmented, f.cut = 75, 10
	f.origins = map[int]string{}
	for vm := 1; vm <= vms; vm++ {
		f.origins[vm] = site.Services[vm%len(site.Services)].Name
		f.daemonClocks[vm] = newClock(t)
		f.addRelay(vm)
	}
	f.nodeEnv = func(vm int) []string { return f.daemonClocks[vm].Env() }
	f.addPlatformRelay()
	if seed%4 == 0 || seed%4 == 3 {
		f.form = startObjectsForm(t, f.addr(0, 0))
		f.morePlatform = f.form.platformSettings()
		f.moreListen = func(vm int) string {
			return fmt.Sprintf("announce_listen = %q\nready_listen = %q", f.addr(announceKind, vm), f.addr(readyKind, vm))
		}
	}
	return f
}

// outageLocation places six VMs in each failure domain and two failure domains in each region,
// so that each service has backend servers everywhere.
func outageLocation(vm int) (failureDomain, region int) { return (vm-1)/6 + 1, (vm-1)/12 + 1 }

func (f *outageFleet) startAll() {
	if f.form == nil {
		f.startPlatform()
	} else {
		f.form.putPolicies(f.t, 5*time.Second)
	}
	for vm := 1; vm <= f.nodes; vm++ {
		f.startNode(vm)
		f.startServer(vm, schedule.NewIdentity)
	}
	for vm := 1; vm <= f.nodes; vm++ {
		f.waitReady(vm)
	}
	for _, service := range site.Services {
		if f.form == nil {
			if out, code := f.wigeonctl(1, "policy", "apply", f.writePolicy(service, 5*time.Second)); code != 0 {
				f.t.Fatalf("wigeonctl policy apply: %s", out)
			}
			f.eventually(10*time.Second, "policy in force", func() bool { return f.epochInForceEverywhere(service.Name, 1) })
		}
		var announced time.Time
		f.eventually(10*time.Second, "backend servers are announced", func() bool {
			if f.form != nil && time.Since(announced) >= heartbeatInterval {
				f.announce()
				announced = time.Now()
			}
			return f.servingBackends(1, service.Name) == f.nodes/len(site.Services)
		})
	}
}

func serverName(vm int) string { return fmt.Sprintf("server-%d", vm) }

// startServer starts a backend server on a VM, at the address of the former one.
func (f *outageFleet) startServer(vm int, by schedule.Replacement) {
	if by != schedule.SameIdentity {
		f.generation[vm]++
	}
	if by == schedule.OtherService {
		f.moved[vm]++
	}
	service := site.Services[(vm+f.moved[vm])%len(site.Services)]
	callNode := f.callerAddr(vm)
	// Calls begin at the service that the node is configured with.
	if f.noReads || service.Calls == "" || service.Name != f.origins[vm] {
		callNode = ""
	}
	id := fmt.Sprintf("%s-%d.%d", service.Name, vm, f.generation[vm])
	announced := []string{"--node", f.peerAddr(vm)}
	if f.form != nil {
		announced = f.form.serverFlags(f.t)
		f.form.servers[vm] = objectstore.Instance{ID: id, Service: service.Name, Address: f.backendAddr(vm), Capacity: outageSlots, Born: time.Now().Add(f.ahead[vm])}
	}
	f.startProcess(serverName(vm), "wigeon-backend", append(announced, "--id", id, "--service", service.Name,
		"--slots", fmt.Sprint(outageSlots), "--service-time", outageServiceTime.String(), "--cold-start", "500ms", "--listen", f.backendAddr(vm),
		"--seed", fmt.Sprint(vm),
		"--call-node", callNode, "--call-path", service.CallingPath, "--call-service", service.Calls, "--call-host", site.Host(service.Calls))...)
}

// ReplaceServer implements schedule.VMs.
func (f *outageFleet) ReplaceServer(vm int, by schedule.Replacement) {
	if f.stopped[vm] {
		return
	}
	p := f.processes[serverName(vm)]
	p.signal(syscall.SIGKILL)
	p.awaitKilled(f.t)
	f.startServer(vm, by)
}

// startLoads starts the traffic of each service at all nodes.
func (f *outageFleet) startLoads(duration time.Duration) []*runningLoad {
	origins := map[string]string{}
	var targets []string
	for vm := 1; vm <= f.nodes; vm++ {
		targets = append(targets, f.callerAddr(vm))
		origins[f.callerAddr(vm)] = f.origins[vm]
	}
	var loads []*runningLoad
	for _, service := range site.Services {
		o := service.Traffic
		if f.noReads {
			o = site.TrafficWithoutReads
		}
		if f.form != nil {
			o.Headers = f.form.headers
		}
		o.Targets, o.Service, o.Host, o.Origins = targets, service.Name, service.Host(), origins
		o.Rate, o.Duration, o.Timeout = float64(ratePerVM*f.nodes/len(site.Services)), duration, 10*time.Second
		o.UploadBytes, o.ChunkedPercent, o.NewConnectionPercent = 60_000, 100, 20
		if f.mixed {
			o.ChunkedPercent, o.HTTP2Percent = 50, 50
		}
		o.LargestSegmented, o.SegmentedPercent, o.CutPercent, o.Teams, o.Seed = 360_000, f.segmented, f.cut, 20, f.seed
		loads = append(loads, f.runLoad(o))
	}
	return loads
}

// check waits for the loads and compares what all callers saw with what the backend servers ran.
// It returns the reports of the loads.
func (f *outageFleet) check(loads []*runningLoad) (reports []*verify.Report) {
	for _, l := range loads {
		<-l.done
	}
	runs := f.runs("server-")
	for _, l := range loads {
		rep := verify.Compare(runs, f.results(l))
		f.t.Logf("sent %d, outcomes %v, p50 %v, p99 %v", rep.Sent, rep.Outcomes, rep.LatencyP50, rep.LatencyP99)
		reports = append(reports, rep)
	}
	f.checkUnasked("server-")
	f.checkInvariantCounters()
	return reports
}

func (f *outageFleet) writePolicy(service site.Service, timeout time.Duration) string {
	path := filepath.Join(f.t.TempDir(), service.Name+".toml")
	if err := os.WriteFile(path, []byte(service.Policy(timeout, outageSlots)), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// StepClocks implements schedule.VMs.
func (f *outageFleet) StepClocks(vms []int, ahead time.Duration) {
	for _, vm := range vms {
		f.ahead[vm] = ahead
		if err := f.daemonClocks[vm].Set(ahead); err != nil {
			f.t.Error(err)
		}
	}
}

// FreezeNodes implements schedule.VMs.
func (f *outageFleet) FreezeNodes(vms []int) {
	for _, vm := range vms {
		f.processes[nodeName(vm)].signal(syscall.SIGSTOP)
	}
}

// KillNodes implements schedule.VMs.
func (f *outageFleet) KillNodes(vms []int, restartAfter []time.Duration) {
	for i, vm := range vms {
		f.stopped[vm] = true
		f.processes[nodeName(vm)].signal(syscall.SIGKILL)
		f.startAgain(vm, restartAfter[i], false)
	}
}

// startAgain starts a VM's node, and its backend server if it has lost power.
func (f *outageFleet) startAgain(vm int, after time.Duration, server bool) {
	f.runner.After(after, "", func() {
		f.processes[nodeName(vm)].awaitKilled(f.t)
		f.startNode(vm)
		f.stopped[vm] = false
		if server {
			f.processes[serverName(vm)].awaitKilled(f.t)
			by := schedule.NewIdentity
			if f.mixed {
				by = schedule.RandomReplacement(f.rng)
			}
			f.startServer(vm, by)
		}
	})
}

// CutPower implements schedule.VMs.
func (f *outageFleet) CutPower(vms []int, outage time.Duration, startAfter []time.Duration) {
	var dark []*process
	for _, vm := range vms {
		f.stopped[vm] = true
		dark = append(dark, f.processes[nodeName(vm)], f.processes[serverName(vm)])
	}
	// A stopped process opens no connection, and its connections are known.
	for _, p := range dark {
		p.signal(syscall.SIGSTOP)
	}
	ports, err := relay.ConnectedPorts(pids(dark))
	if err != nil {
		f.t.Fatal(err)
	}
	for _, vm := range vms {
		f.relays[vm].LosePower(outage)
	}
	for _, r := range f.relays {
		r.LoseClients(ports, outage)
	}
	f.platformRelay.LoseClients(ports, outage)
	for _, p := range dark {
		p.signal(syscall.SIGKILL)
	}
	for i, vm := range vms {
		if f.form != nil {
			delete(f.form.servers, vm)
		}
		f.runner.After(outage, "", f.relays[vm].RestorePower)
		f.startAgain(vm, outage+startAfter[i], true)
	}
}

func pids(processes []*process) (list []int) {
	for _, p := range processes {
		list = append(list, p.cmd.Process.Pid)
	}
	return list
}

// SignalVM implements schedule.VMs.
func (f *outageFleet) SignalVM(vm int, signal syscall.Signal) {
	if !f.stopped[vm] {
		f.SignalNode(vm, signal)
	}
}

// SetBackendFaults implements schedule.VMs. A VM without power has none.
func (f *outageFleet) SetBackendFaults(vm int, faults backend.Faults) {
	if !f.stopped[vm] {
		_ = f.tryPost("http://"+f.backendAddr(vm)+"/admin/faults", faults)
	}
}

// ChangePolicyThrough implements schedule.VMs. It does not wait for the change.
func (f *outageFleet) ChangePolicyThrough(vm int) {
	service := site.Services[f.rng.IntN(len(site.Services))]
	timeout := 4*time.Second + time.Duration(f.rng.IntN(1000))*time.Millisecond
	if f.form != nil {
		f.form.putPolicies(f.t, timeout)
		return
	}
	file := f.writePolicy(service, timeout)
	f.policyChanges.Go(func() { _, _ = f.wigeonctl(vm, "policy", "apply", file) })
}
