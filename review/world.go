package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the site files sites/*.toml.
const (
	boundDrain       = 2 * time.Second
	boundStable      = 3 * time.Second
	boundConfigApply = 2 * time.Second
	heartbeat        = 1500 * time.Millisecond
)

// world is a small deployment on loopback addresses.
type world struct {
	start  time.Time
	prefix string // the first three bytes of all its addresses
	dir    string
	store  *store

	mu     sync.Mutex
	record *os.File
	nodes  []*node
}

func newWorld(recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), dir: dir, record: record}
	for try := 0; ; try++ {
		id := os.Getpid() + 7919*try
		w.prefix = fmt.Sprintf("127.%d.%d.", 64+id>>8&63, id&255)
		if w.store, err = newStore(w.ip(1) + ":8627"); err == nil {
			return w, nil
		}
		if try == 20 {
			w.close()
			return nil, err
		}
	}
}

func (w *world) ip(host int) string { return fmt.Sprintf("%s%d", w.prefix, host) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary files.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	if w.store != nil {
		w.store.close()
	}
	w.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept:", w.dir)
	}
}

// node is a node process, which runs on its own loopback address.
type node struct {
	w       *world
	name    string
	zone    string
	ip      string
	service string
	config  string

	cmd    *exec.Cmd
	exited chan struct{}
}

func (n *node) outbound() string { return n.ip + ":8629" }
func (n *node) control() string  { return n.ip + ":8620" }
func (n *node) ready() string    { return n.ip + ":8625" }
func (n *node) appAddr() string  { return n.ip + ":8628" }

// addNode writes the settings of a node. It fills in deploy/node.toml.tmpl as the platform does,
// except that the operators' listener gets an address of its own: the nodes of this script share
// one machine, where 127.0.0.1:9001 could be used once only.
func (w *world) addNode(zone, service string) (*node, error) {
	host := 10 + len(w.nodes)
	n := &node{w: w, name: fmt.Sprintf("sidecar-%s-%d", zone, len(w.nodes)+1), zone: zone, ip: w.ip(host), service: service}
	n.config = filepath.Join(w.dir, n.name+".conf")
	text, err := os.ReadFile("deploy/node.toml.tmpl")
	if err != nil {
		return nil, err
	}
	values := map[string]string{
		"nodeName": n.name, "zone": zone, "region": "zapad", "service": service, "ip": n.ip,
		"listen.outbound": n.outbound(), "listen.inbound": n.ip + ":8624", "listen.ready": n.ready(), "listen.control": n.control(),
		"portRange.0": "7600", "portRange.1": "7615", "platform.address": w.store.addr,
		"bounds.grace": "6s", "bounds.budgetSlack": "58", "bounds.budgetRatio": "0.2",
	}
	out := regexp.MustCompile(`\{\{\^[a-zA-Z.]+\}\}.*?\{\{/[a-zA-Z.]+\}\}`).ReplaceAllString(string(text), "")
	var missing error
	out = regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(out, func(s string) string {
		v, ok := values[strings.Trim(s, "{}")]
		if !ok {
			missing = fmt.Errorf("template: no value for %s", s)
		}
		return v
	})
	if missing != nil {
		return nil, missing
	}
	out = strings.ReplaceAll(out, `"127.0.0.1:9001"`, `"`+n.ip+`:9001"`)
	if err := os.WriteFile(n.config, []byte(out), 0o600); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, nil
}

// startProcess starts the process of the node with the command of deploy/system.toml.
func (n *node) startProcess() error {
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("target/wigeonspringd", "--config", n.config)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.w.dir, wire("{settings}=") + n.config}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := n.cmd, make(chan struct{})
	n.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.w.note("%s: process %d started", n.name, cmd.Process.Pid)
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.exited
}

// waitReady waits until the node answers its readiness check with 200.
func (n *node) waitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + n.ready() + wire("{ready}"))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n.w.note("%s: ready", n.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", n.name, limit)
}

// startNodes starts the processes of all nodes and waits until they are ready.
func (w *world) startNodes() error {
	for _, n := range w.nodes {
		if err := n.startProcess(); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.waitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	attempts                          int
}

// putConfig writes a configuration as the operator does and returns when the store has
// acknowledged it.
func (w *world) putConfig(version int, services []string, routes ...route) error {
	var resources []any
	for _, r := range routes {
		resources = append(resources, map[string]any{"type": "routes", "metadata": map[string]any{"name": r.name}, "spec": map[string]any{
			"host": r.host, "pathPrefix": r.prefix, "kind": r.kind, "timeout": "4000ms", "slo": "2500ms", "priority": 1,
			"service": r.service, "attempts": r.attempts,
		}})
	}
	for _, s := range services {
		resources = append(resources, map[string]any{"type": "services", "metadata": map[string]any{"name": s}, "spec": map[string]any{
			"healthPath": "/healthz", "maxConns": 330, "protocol": "h1", "tls": false,
		}})
	}
	resources = append(resources, map[string]any{"type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
	}})
	spec, err := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources})
	if err != nil {
		return err
	}
	method, path := http.MethodPost, wire("{objects}config")
	if w.store.has("config", "main") {
		method, path = http.MethodPut, wire("{objects}config/main")
	}
	body, _ := json.Marshal(map[string]any{"metadata": map[string]any{"name": "main"}, "spec": json.RawMessage(spec)})
	req, err := http.NewRequest(method, "http://"+w.store.addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("the store answered %d to the configuration", resp.StatusCode)
	}
	w.note("operator: configuration r%d acknowledged: %s", version, spec)
	return nil
}

var errNotServed = errors.New("a request is not served before the disruption")

// waitServed sends requests to a node until n in a row are answered with 200.
func (w *world) waitServed(n *node, r request, inRow int, limit time.Duration) error {
	got := 0
	for end := time.Now().Add(limit); time.Now().Before(end); {
		r.id = newID()
		if a := send(n.outbound(), r); a.err == nil && a.status == http.StatusOK {
			if got++; got == inRow {
				return nil
			}
			continue
		}
		got = 0
		time.Sleep(100 * time.Millisecond)
	}
	return errNotServed
}
