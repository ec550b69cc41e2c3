package e2e

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/standin/backend"
)

// Guards against a walk-through in docs/operators.md whose commands fail or do not show
// what the page describes.
func TestOperatorsPageWalkthrough(t *testing.T) {
	page, err := os.ReadFile("../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(page), "```sh\n")
	commands, _, closed := strings.Cut(rest, "```")
	if !found || !closed {
		t.Fatal("docs/operators.md has no complete block of shell commands")
	}
	shell := exec.Command("bash", "-euo", "pipefail", "-c", strings.ReplaceAll(commands, "bin/", binDir+"/"))
	shell.Dir = ".."
	var stdout, stderr strings.Builder
	shell.Stdout, shell.Stderr = &stdout, &stderr
	if err := shell.Run(); err != nil {
		t.Fatalf("%v\n%s\n%s", err, stdout.String(), stderr.String())
	}
	for _, want := range []string{"epoch 1 accepted", "backend_ejected", "detector=cusum", "may be chosen", "draining"} {
		if !strings.Contains(stdout.String(), want) {
			t.Errorf("the output lacks %q:\n%s", want, stdout.String())
		}
	}
}

// operationsPageCommands returns the grep commands of docs/OPERATIONS.md, the page that
// explains failed requests.
func operationsPageCommands(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	var commands []string
	for line := range strings.SplitSeq(string(page), "\n") {
		if command := strings.TrimSpace(line); strings.HasPrefix(line, "    ") && strings.HasPrefix(command, "grep ") {
			commands = append(commands, command)
		}
	}
	return commands
}

// logRecord holds the fields of a log line that the page uses.
type logRecord struct {
	Msg, Node, Reason, Backend string
	RequestID                  string `json:"request_id"`
	Evidence                   []struct{ Key, Value string }
}

// findFailedRequest returns the first log line with the message msg and one of the
// reasons, and the owner on which its request was placed. It considers only requests whose
// placement was logged before that line.
func findFailedRequest(t *testing.T, logs string, msg string, reasons ...string) (line logRecord, owner string) {
	t.Helper()
	owners := map[string]string{}
	for text := range strings.SplitSeq(logs, "\n") {
		var l logRecord
		if json.Unmarshal([]byte(text), &l) != nil || l.RequestID == "" {
			continue
		}
		if l.Msg == "request_placed" {
			for _, e := range l.Evidence {
				if e.Key == "owner" {
					owners[l.RequestID] = e.Value
				}
			}
		}
		if l.Msg == msg && slices.Contains(reasons, l.Reason) && owners[l.RequestID] != "" {
			return l, owners[l.RequestID]
		}
	}
	t.Fatalf("no request ended with %s for %v", msg, reasons)
	return line, owner
}

// Guards against a page whose commands do not lead from a failed request to its cause,
// because a command, a log line or the order of the lines differs from the page.
func TestOperationsPageWalkthrough(t *testing.T) {
	f := newFleet(t, 26000, 6)
	f.detector = "trials"
	f.start("booking", bookingPolicy, 5, bookingFloor)
	load := func(rate float64, during time.Duration, node int, fault func()) {
		t.Helper()
		l := f.startLoad("booking", bookingHost, rate, during, node)
		time.Sleep(during / 2)
		if fault != nil {
			fault()
		}
		<-l.done
	}
	setFaultsOnAll := func(faults backend.Faults) {
		faults.LoadReport = -1
		for k := 1; k <= 12; k++ {
			f.setFaults(k, faults)
		}
	}
	setFaultsOnAll(backend.Faults{SlowFactor: 100})
	load(60, 4*time.Second, 5, nil)
	// All slots of node 4 are in use when it is killed. It gets this load because it is in
	// the failure domain of node 3, the ingress node.
	setFaultsOnAll(backend.Faults{SlowFactor: 50})
	killed := f.processes["n4"]
	load(60, 3*time.Second, 3, func() {
		killed.signal(syscall.SIGKILL)
		killed.awaitKilled(t)
		f.startNode(4)
	})
	setFaultsOnAll(backend.Faults{ResetPercent: 100})
	load(20, 3*time.Second, 1, nil)

	dir := t.TempDir()
	logs := killed.stdout.String()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, "node-"+name+".log"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("n4-before", logs)
	for i := 1; i <= f.nodes; i++ {
		text := f.processes[nodeName(i)].stdout.String()
		write(nodeName(i), text)
		logs += text
	}
	lost, _ := findFailedRequest(t, logs, "request_failed", "backend_connection_reset")
	refused, _ := findFailedRequest(t, logs, "request_refused", "queue_full", "remote_share_full", "deadline_too_short")
	cut, owner := findFailedRequest(t, logs, "request_failed", "peer_connection_lost")

	commands := operationsPageCommands(t)
	if len(commands) != 4 {
		t.Fatalf("the page has %d commands: %q", len(commands), commands)
	}
	run := func(command string, names ...string) string {
		t.Helper()
		shell := exec.Command("bash", "-c", strings.NewReplacer(names...).Replace(command))
		shell.Dir = dir
		out, err := shell.Output()
		if err != nil {
			t.Fatalf("%q: %v", shell.Args, err)
		}
		return string(out)
	}
	for _, end := range []logRecord{lost, refused, cut} {
		out := run(commands[0], "ID", end.RequestID)
		placed, ended := strings.Index(out, `"msg":"request_placed"`), strings.LastIndex(out, `"reason":"`+end.Reason+`"`)
		if placed < 0 || ended < placed {
			t.Errorf("the log lines of a request that ended with %s do not show its placement and then its end:\n%s", end.Reason, out)
		}
	}
	for _, c := range []struct {
		out  string
		want []string
	}{
		{run(commands[1], "i-472f9b6c51", lost.Backend), []string{"backend_announced", "backend_suspected"}},
		{run(commands[2], "sidecar-stred-a-4", refused.Node), []string{"node started", "node_joined"}},
		{run(commands[3], "sidecar-zapad-b-1", owner), []string{"node started"}},
	} {
		for _, want := range c.want {
			if !strings.Contains(c.out, want) {
				t.Errorf("the output lacks %q:\n%s", want, c.out)
			}
		}
	}
	if out := run(commands[3], "sidecar-zapad-b-1", owner); owner == "n4" && (strings.Contains(out, "shutting down") || strings.Count(out, "node started") != 2) {
		t.Errorf("the log does not show that the node was killed and restarted:\n%s", out)
	}
}
