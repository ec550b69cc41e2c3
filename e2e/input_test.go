package e2e

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
)

const nodeSettings = `[node]
id = "n1"
failure_domain = "fd1"
region = "r1"

[listen]
caller_listen = "127.0.0.1:26410"
peer_listen = "127.0.0.1:26411"
operator_listen = "127.0.0.1:26412"

[platform]
address = "http://127.0.0.1:26400"
`

// runDaemon runs wigeonspringd with the settings and returns its output and exit status.
func runDaemon(t *testing.T, settings string, args ...string) (string, int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binDir, "wigeonspringd"), append([]string{"--config", path}, args...)...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// Guards against invalid input that is accepted, or whose error message does not say
// what is wrong and where.
func TestDaemonRejectsInvalidInput(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:26411")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	cases := []struct {
		name     string
		settings string
		args     []string
		code     int
		message  []string
	}{
		{"valid", nodeSettings, []string{"--check"}, 0, nil},
		{"unknown key", nodeSettings + "proxy = true\n", []string{"--check"}, 2, []string{"node.toml", "line 13", "platform.proxy"}},
		{"wrong type", strings.Replace(nodeSettings, `"n1"`, "1", 1), []string{"--check"}, 2, []string{"line 2", "node.id"}},
		{"address in use", nodeSettings, nil, 1, []string{"listen for nodes", "127.0.0.1:26411", "address already in use"}},
		{"unknown flag", nodeSettings, []string{"--fast"}, 2, []string{"fast"}},
	}
	for _, c := range cases {
		out, code := runDaemon(t, c.settings, c.args...)
		if code != c.code {
			t.Errorf("%s: exit status %d, want %d: %s", c.name, code, c.code, out)
		}
		for _, part := range c.message {
			if !strings.Contains(out, part) {
				t.Errorf("%s: message lacks %q: %s", c.name, part, out)
			}
		}
	}
}

// Guards against a wrong status or outcome for a request that the fleet cannot serve, and
// against a node that serves requests before it knows its policies.
func TestBadRequests(t *testing.T) {
	f := newFleet(t, 26200, 1)
	f.startNode(1) // The platform is unreachable at start.
	f.eventually(5*time.Second, "the node responds", func() bool {
		resp, err := http.Get("http://" + f.callerAddr(1) + "/")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(header.Outcome) == header.NotRun
	})
	f.startPlatform()
	f.waitReady(1)
	if out, code := f.wigeonctl(1, "policy", "apply", bookingPolicy); code != 0 {
		t.Fatalf("apply: %s", out)
	}
	f.eventually(policyInForceLimit, "policy in force", func() bool { return f.epochInForceEverywhere("booking", 1) })
	cases := []struct {
		name, method, host, path string
		length                   int64
		header                   string
		status                   int
	}{
		{"unknown host", "GET", "nobody.example", "/items/1", 0, "", 404},
		{"no route", "DELETE", bookingHost, "/items/1", 0, "", 404},
		{"malformed deadline", "GET", bookingHost, "/items/1", 0, "soon", 400},
		{"body over the limit", "POST", bookingHost, "/photos", 64 << 20, "", 413},
		{"no backend server", "POST", bookingHost, "/bookings", 0, "", 503},
	}
	for _, c := range cases {
		conn, err := net.Dial("tcp", f.callerAddr(1))
		if err != nil {
			t.Fatal(err)
		}
		request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", c.method, c.path, c.host, c.length)
		if c.header != "" {
			request += header.DeadlineMillis + ": " + c.header + "\r\n"
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = conn.Write([]byte(request + "Connection: close\r\n\r\n"))
		response := make([]byte, 4096)
		n, _ := conn.Read(response)
		conn.Close()
		got := string(response[:n])
		if !strings.Contains(got, fmt.Sprintf("HTTP/1.1 %d ", c.status)) || !strings.Contains(got, header.Outcome+": "+header.NotRun) {
			t.Errorf("%s: want status %d and outcome not-run, got %q", c.name, c.status, got)
		}
	}
}
