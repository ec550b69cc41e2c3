// Command rig3 runs the cases 11 to 15 of the third review: it starts nodes with the command of
// the deploy file on loopback addresses, beside stand-ins for the platform's store, the backend
// servers and their clients.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// world is a small deployment on loopback addresses.
type world struct {
	rec     *record
	dir     string
	root    string
	trouble bool
	store   *store
	storeAt string
	nodes   []*node
	base    int
}

// node is one machine: the node's process and the addresses of the machine.
type node struct {
	w                                        *world
	name, ip, zone, service                  string
	outbound, inbound, ready, control, peers string
	operator, metrics                        string
	app                                      string
	mu                                       sync.Mutex
	cmd                                      *exec.Cmd
	done                                     chan struct{}
	exited                                   time.Time
	exit                                     string
	starts                                   int
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	panic(couldNotRun{})
}

type couldNotRun struct{}

func newWorld(rec *record, root string, trouble bool) *world {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	w := &world{rec: rec, dir: dir, root: root, trouble: trouble, base: 1 + os.Getpid()%200}
	w.store = newStore()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	w.storeAt = ln.Addr().String()
	go func() { _ = http.Serve(ln, w.store) }()
	return w
}

// freeAddrs fills in addresses whose ports are free, for TCP and UDP.
func freeAddrs(ip string, addrs ...*string) {
	for _, addr := range addrs {
		for {
			ln, err := net.Listen("tcp", ip+":0")
			if err != nil {
				fail("listen: %v", err)
			}
			defer ln.Close() // All ports stay taken until the last one is found.
			*addr = ln.Addr().String()
			if pc, err := net.ListenPacket("udp", *addr); err == nil {
				pc.Close()
				break
			}
		}
	}
}

func (w *world) addNode(service, zone string) *node {
	i := len(w.nodes) + 1
	n := &node{w: w, name: fmt.Sprintf("sidecar-%s-%d", zone, i), ip: fmt.Sprintf("127.43.%d.%d", w.base, i), zone: zone, service: service}
	freeAddrs(n.ip, &n.outbound, &n.inbound, &n.ready, &n.control, &n.peers, &n.operator, &n.metrics, &n.app)
	w.nodes = append(w.nodes, n)
	return n
}

func port(addr string) string { _, p, _ := net.SplitHostPort(addr); return p }

var (
	placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\}\}`)
	inverted    = regexp.MustCompile(`\{\{\^([A-Za-z]+)\}\}(.*?)\{\{/[A-Za-z]+\}\}`)
)

// settings fills in the template of the deploy file, as the platform does.
func (n *node) settings() string {
	text, err := os.ReadFile(filepath.Join(n.w.root, "deploy", "node.toml.tmpl"))
	if err != nil {
		fail("template: %v", err)
	}
	values := map[string]string{
		"nodeName": n.name, "zone": n.zone, "region": "r-" + n.zone, "service": n.service, "ip": n.ip,
		"listen.outbound": n.outbound, "listen.inbound": n.inbound, "listen.ready": n.ready, "listen.control": n.control,
		"portRange.0": port(n.peers), "platform.address": n.w.storeAt,
		"bounds.grace": "6s", "bounds.budgetSlack": "56", "bounds.budgetRatio": "0.2", "bounds.budgetWindow": "10s",
		"bounds.floorShare": "0.7", "bootstrap": strconv.FormatBool(n.starts == 0),
	}
	s := inverted.ReplaceAllStringFunc(string(text), func(m string) string {
		p := inverted.FindStringSubmatch(m)
		if values[p[1]] != "" {
			return ""
		}
		return p[2]
	})
	s = placeholder.ReplaceAllStringFunc(s, func(m string) string { return values[placeholder.FindStringSubmatch(m)[1]] })
	// All machines share one loopback here, so these two ports differ by machine.
	s = strings.Replace(s, "127.0.0.1:9001", n.operator, 1)
	return strings.Replace(s, n.ip+":9100", n.metrics, 1)
}

func (n *node) start() {
	path := filepath.Join(n.w.dir, n.name+".toml")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		fail("settings: %v", err)
	}
	n.starts++
	cmd := exec.Command("target/wigeonspringd", "--config", path)
	cmd.Dir = n.w.root
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start node: %v", err)
	}
	log.Close()
	n.mu.Lock()
	n.cmd, n.done, n.exit = cmd, make(chan struct{}), ""
	n.mu.Unlock()
	n.w.rec.printf("node %s started, process %d, service %s, clients at %s", n.name, cmd.Process.Pid, n.service, n.outbound)
	go func(done chan struct{}) {
		err := cmd.Wait()
		n.mu.Lock()
		n.exited, n.exit = time.Now(), fmt.Sprint(cmd.ProcessState)
		n.mu.Unlock()
		n.w.rec.printf("node %s, process %d, ended: %v (%v)", n.name, cmd.Process.Pid, cmd.ProcessState, err)
		close(done)
	}(n.done)
}

func (n *node) signal(s syscall.Signal) {
	n.w.rec.printf("signal %v to node %s, process %d", s, n.name, n.cmd.Process.Pid)
	_ = n.cmd.Process.Signal(s)
}

func (n *node) waitExit(d time.Duration) bool {
	select {
	case <-n.done:
		return true
	case <-time.After(d):
		return false
	}
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.ready + wire["ready"])
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

func waitFor(what string, d time.Duration, ok func() bool) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	fail("%s: not within %s", what, d)
}

func (w *world) close() {
	for _, n := range w.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			n.waitExit(5 * time.Second)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", w.dir)
	}
}
