package e2e

import (
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/standin/clock"
)

// steppedDir is the directory of binDir with the daemon whose time of day can be stepped.
const steppedDir = "stepped"

// buildSteppedDaemon builds the daemon with a time of day that a test can step, and returns its
// name in binDir. The sources are those of this build, or those in the directory that
// WIGEONSPRING_SOURCE names, so that an older build can be played in the same way.
var buildSteppedDaemon = sync.OnceValues(func() (program string, err error) {
	path, err := clock.Build(cmp.Or(os.Getenv("WIGEONSPRING_SOURCE"), ".."), "./cmd/wigeonspringd", filepath.Join(binDir, steppedDir))
	return filepath.Join(steppedDir, filepath.Base(path)), err
})

func newClock(t *testing.T) *clock.Clock {
	t.Helper()
	c, err := clock.New(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a step of the time of day that the programs of the soak do not see, while
// they start or later.
func TestTimeOfDayCanBeStepped(t *testing.T) {
	f := newFleet(t, 26600, 1)
	var err error
	if f.daemon, err = buildSteppedDaemon(); err != nil {
		t.Fatal(err)
	}
	clock := newClock(t)
	f.nodeEnv = func(int) []string { return clock.Env() }
	step := func(ahead time.Duration) {
		if err := clock.Set(ahead); err != nil {
			t.Fatal(err)
		}
	}
	step(time.Hour)
	p := f.startNode(1)
	aheadOf := func(line string) time.Duration {
		var entry struct {
			Time time.Time `json:"ts"`
		}
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatalf("log line %q: %v", line, err)
		}
		return time.Until(entry.Time).Round(time.Minute)
	}
	f.eventually(10*time.Second, "the node logs", func() bool { return strings.Contains(p.stdout.String(), "\n") })
	if first, _, _ := strings.Cut(p.stdout.String(), "\n"); aheadOf(first) != time.Hour {
		t.Errorf("the first line is not an hour ahead: %s", first)
	}
	step(-time.Hour)
	logged := len(p.stdout.String())
	f.eventually(10*time.Second, "the node logs after the step", func() bool { return strings.Contains(p.stdout.String()[logged:], "\n") })
	if last := lastLines(p.stdout.String(), 1); aheadOf(last) != -time.Hour {
		t.Errorf("the last line is not an hour behind: %s", last)
	}
}
