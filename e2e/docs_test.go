package e2e

import (
	"os"
	"os/exec"
	"strings"
	"testing"
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
