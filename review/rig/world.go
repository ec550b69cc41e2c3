package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine, which has a loopback address of its own.
const (
	outboundPort = 8629
	inboundPort  = 8624
	readyPort    = 8625
	controlPort  = 8620
	appPort      = 8628
	peerPort     = 7600
	storePort    = 8627
)

// world is a small deployment.
type world struct {
	start   time.Time
	dir     string
	network string // the first three bytes of all addresses
	bounds  map[string]string
	store   *store
	nodes   []*machine

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// machine is a machine with a node and a backend server.
type machine struct {
	w                        *world
	name, zone, region       string
	ip, service, settings    string
	cmd                      *exec.Cmd
	exited                   chan struct{}
	starts                   int
	server                   *server
	relay                    *relay
	lastStart, lastDisturbed time.Time
}

func newWorld(recordPath string) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), dir: dir, file: file, out: bufio.NewWriter(file), bounds: smallBounds()}
	for range 50 {
		w.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		if w.free() {
			w.store, err = newStore(w, w.network+"250")
			return w, err
		}
	}
	return nil, errors.New("no free loopback network")
}

// free reports whether the ports of the first machines of the network can be used.
func (w *world) free() bool {
	for _, host := range []string{"1", "2", "3", "250"} {
		for _, port := range []int{outboundPort, peerPort, appPort, storePort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%s:%d", w.network, host, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// smallBounds are the bounds of plechovka-mesh.
func smallBounds() map[string]string {
	return map[string]string{
		"grace": "6s", "budgetSlack": "58", "budgetRatio": "0.2", "budgetWindow": "10s", "floorShare": "0.7",
	}
}

// addMachine adds a machine whose node and backend server are not started yet.
func (w *world) addMachine(zone, region, service string) *machine {
	n := len(w.nodes) + 1
	m := &machine{w: w, name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, region: region, service: service,
		ip: fmt.Sprintf("%s%d", w.network, n)}
	w.nodes = append(w.nodes, m)
	return m
}

// relayAddr is the address of the relay before the machine.
func (m *machine) relayAddr() string {
	return fmt.Sprintf("%s%s:%d", m.w.network, "1"+m.ip[strings.LastIndexByte(m.ip, '.')+1:], peerPort)
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// render fills in the template of the deploy file. The operators' address is the one thing that
// differs: all machines are on one host here, so that each needs an address of its own for it.
func (m *machine) render(bootstrap bool) (string, error) {
	text, err := os.ReadFile("deploy/node.toml.tmpl")
	if err != nil {
		return "", err
	}
	s := string(text)
	for _, section := range []string{"{{^none}}", "{{/none}}", "{{^zone}}none{{/zone}}", "{{^region}}none{{/region}}"} {
		s = strings.ReplaceAll(s, section, "")
	}
	values := map[string]string{
		"nodeName": m.name, "zone": m.zone, "region": m.region, "service": m.service, "ip": m.ip,
		"listen.outbound": m.addr(outboundPort), "listen.inbound": m.addr(inboundPort),
		"listen.ready": m.addr(readyPort), "listen.control": m.addr(controlPort),
		"portRange.0": fmt.Sprint(peerPort), "platform.address": m.w.store.addr, "bootstrap": fmt.Sprint(bootstrap),
	}
	for k, v := range m.w.bounds {
		values["bounds."+k] = v
	}
	for k, v := range values {
		s = strings.ReplaceAll(s, "{{"+k+"}}", v)
	}
	s = strings.ReplaceAll(s, "127.0.0.1:9001", m.addr(9001))
	if m.relay != nil {
		s = strings.Replace(s, "[listen]\n", "[listen]\npeer_advertise = \""+m.relay.addr+"\"\n", 1)
	}
	for {
		i := strings.Index(s, "{{")
		if i < 0 {
			return s, nil
		}
		j := strings.Index(s[i:], "}}")
		if j < 0 {
			return "", errors.New("unclosed placeholder in the template")
		}
		s = s[:i] + s[i+j+2:]
	}
}

// startNode starts the node with the command of the deploy file.
func (m *machine) startNode() error {
	text, err := m.render(m.starts == 0 && m.w.firstStart())
	if err != nil {
		return err
	}
	m.settings = filepath.Join(m.w.dir, m.name+".conf")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command("target/wigeonspringd", "--config", m.settings)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire("settings") + "=" + m.settings}
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.starts++
	m.lastStart = time.Now()
	exited := make(chan struct{})
	m.exited = exited
	cmd := m.cmd
	go func() { _ = cmd.Wait(); close(exited) }()
	m.w.record("%s: node started", m.name)
	return nil
}

// firstStart reports whether the whole system starts for the first time.
func (w *world) firstStart() bool { return time.Since(w.start) < 5*time.Second }

// signalNode sends a signal to the node.
func (m *machine) signalNode(s syscall.Signal) {
	m.w.record("%s: %v", m.name, s)
	m.lastDisturbed = time.Now()
	_ = m.cmd.Process.Signal(s)
}

// kill kills the node and waits for its end.
func (m *machine) kill() {
	m.signalNode(syscall.SIGKILL)
	<-m.exited
}

// ready reports whether the node answers the platform's question with 200.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.addr(readyPort) + wire("ready"))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all backend servers and nodes and waits until all nodes are ready.
func (w *world) startAll() error {
	for _, m := range w.nodes {
		if m.server != nil {
			if err := m.server.listen(); err != nil {
				return err
			}
		}
		if err := m.startNode(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, m := range w.nodes {
			if m.ready() {
				n++
			}
		}
		if n == len(w.nodes) {
			w.record("all nodes are ready")
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d nodes are ready after 20 s", n, len(w.nodes))
		}
	}
}

// record writes a line to the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%9.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends everything that the world started.
func (w *world) close() {
	for _, m := range w.nodes {
		if m.server != nil {
			m.server.stop()
		}
		if m.relay != nil {
			m.relay.close()
		}
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.exited
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out.Flush()
	w.file.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}
