package e2e

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against an operator endpoint of the daemon that can be used without the token,
// and against a token in the log.
func TestOperatorToken(t *testing.T) {
	f := newFleet(t, 25800, 1)
	f.token = "secret-of-the-operators"
	f.startPlatform()
	node := f.startNode(1)
	f.waitReady(1)
	for _, path := range []string{"/", "/nodes", "/edit", "/debug/vars"} {
		for header, status := range map[string]int{"": 401, "Bearer wrong": 401, "Bearer " + f.token: 200} {
			r, _ := http.NewRequest(http.MethodGet, f.operatorURL(1)+path, nil)
			r.Header.Set("Authorization", header)
			resp, err := http.DefaultClient.Do(r)
			if err != nil || resp.StatusCode != status {
				t.Fatalf("%s with %q: %+v, %v; want status %d", path, header, resp, err, status)
			}
			resp.Body.Close()
		}
	}
	if out, code := f.wigeonctl(1, "nodes"); code == 0 || !strings.Contains(out, "missing or wrong operator token") {
		t.Errorf("without token: %s", out)
	}
	if out, code := f.wigeonctl(1, "--token", f.token, "nodes"); code != 0 || !strings.Contains(out, "n1") {
		t.Errorf("with token: %s", out)
	}
	if strings.Contains(node.stderr.String()+node.stdout.String(), f.token) {
		t.Error("the token is in the log")
	}
}
