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

// Guards against a walk-through in the operators' page that does not work.
func TestFirstFleetOfTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(page), "```sh\n")
	commands, _, closed := strings.Cut(rest, "```")
	if !found || !closed {
		t.Fatal("the page has no walk-through")
	}
	shell := exec.Command("bash", "-euo", "pipefail", "-c", strings.ReplaceAll(commands, "bin/", binDir+"/"))
	shell.Dir = ".."
	var stdout, stderr strings.Builder
	shell.Stdout, shell.Stderr = &stdout, &stderr
	if err := shell.Run(); err != nil {
		t.Fatalf("%v\n%s\n%s", err, stdout.String(), stderr.String())
	}
	for _, want := range []string{"epoch 1 accepted", "backend_ejected", "detector=cusum", "draining"} {
		if !strings.Contains(stdout.String(), want) {
			t.Errorf("the output lacks %q:\n%s", want, stdout.String())
		}
	}
}

// pageCommands returns the commands of the page that explains failed requests.
func pageCommands(t *testing.T) []string {
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

// logLine is what the walk-through reads of a line.
type logLine struct {
	Msg, Node, Reason, Backend string
	RequestID                  string `json:"request_id"`
	Evidence                   []struct{ Key, Value string }
}

// failedRequest returns the last line of a request that ended with one of the
// reasons and of which the placement was logged, and the owner in that placement.
func failedRequest(t *testing.T, logs string, msg string, reasons ...string) (last logLine, owner string) {
	t.Helper()
	owners := map[string]string{}
	for text := range strings.SplitSeq(logs, "\n") {
		var l logLine
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
	return last, owner
}

// Guards against a walk-through from a failed request to its cause that leads
// nowhere, because a command, a line or its order is not as the page says.
func TestCasesOfTheOperationsPage(t *testing.T) {
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
	everywhere := func(faults backend.Faults) {
		faults.LoadReport = -1
		for k := 1; k <= 12; k++ {
			f.setFaults(k, faults)
		}
	}
	everywhere(backend.Faults{SlowFactor: 100})
	load(60, 4*time.Second, 5, nil)
	// All slots of node 4, which is in the domain of node 3, are in use when it ends.
	everywhere(backend.Faults{SlowFactor: 50})
	killed := f.procs["n4"]
	load(60, 3*time.Second, 3, func() {
		killed.signal(syscall.SIGKILL)
		<-killed.exited
		f.startNode(4)
	})
	everywhere(backend.Faults{ResetPercent: 100})
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
		text := f.procs[nodeName(i)].stdout.String()
		write(nodeName(i), text)
		logs += text
	}
	lost, _ := failedRequest(t, logs, "request_failed", "backend_connection_reset")
	refused, _ := failedRequest(t, logs, "request_refused", "queue_full", "remote_share_full", "deadline_too_short")
	cut, owner := failedRequest(t, logs, "request_failed", "peer_connection_lost")

	commands := pageCommands(t)
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
	for _, end := range []logLine{lost, refused, cut} {
		out := run(commands[0], "ID", end.RequestID)
		placed, ended := strings.Index(out, `"msg":"request_placed"`), strings.LastIndex(out, `"reason":"`+end.Reason+`"`)
		if placed < 0 || ended < placed {
			t.Errorf("the lines of a request that ended with %s do not lead from its placement to its end:\n%s", end.Reason, out)
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
		t.Errorf("the killed node does not show as such:\n%s", out)
	}
}
