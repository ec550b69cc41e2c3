package e2e

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// clockVariable names the file that holds how far the time of day of a process is ahead, in
// nanoseconds.
const clockVariable = "TIME_OF_DAY_STEP"

// stepSource is added to package time of the programs whose time of day can be stepped. The
// file is mapped, so that a step takes effect at once. Steady times are not affected.
const stepSource = `package time

import (
	"sync/atomic"
	"syscall"
	"unsafe"
)

var step = mapStep()

func mapStep() *int64 {
	path, set := syscall.Getenv("` + clockVariable + `")
	if !set {
		return new(int64)
	}
	fd, err := syscall.Open(path, syscall.O_RDONLY, 0)
	if err != nil {
		panic(err)
	}
	data, err := syscall.Mmap(fd, 0, 8, syscall.PROT_READ, syscall.MAP_SHARED)
	if err != nil {
		panic(err)
	}
	return (*int64)(unsafe.Pointer(&data[0]))
}

func steppedNow() (sec int64, nsec int32, mono int64) {
	sec, nsec, mono = runtimeNow()
	if step == nil {
		return sec, nsec, mono
	}
	ns := int64(nsec) + atomic.LoadInt64(step)
	sec += ns / 1e9
	if ns %= 1e9; ns < 0 {
		ns += 1e9
		sec--
	}
	return sec, int32(ns), mono
}
`

// buildSteppedDaemon builds the daemon with a time of day that a test can step. The sources
// are those of this build, or those in the directory that WIGEONSPRING_SOURCE names, so that
// an older build can be played in the same way.
var buildSteppedDaemon = sync.OnceValues(func() (program string, err error) {
	dir := filepath.Join(binDir, "stepped")
	root, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return "", err
	}
	timePackage := filepath.Join(strings.TrimSpace(string(root)), "src", "time")
	original, err := os.ReadFile(filepath.Join(timePackage, "time.go"))
	if err != nil {
		return "", err
	}
	const now, stepped = "func Now() Time {\n\tsec, nsec, mono := runtimeNow()", "func Now() Time {\n\tsec, nsec, mono := steppedNow()"
	if strings.Count(string(original), now) != 1 {
		return "", fmt.Errorf("time.Now in %s is not as expected", timePackage)
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {
		filepath.Join(timePackage, "time.go"):          filepath.Join(dir, "time.go"),
		filepath.Join(timePackage, "stepped_clock.go"): filepath.Join(dir, "stepped_clock.go"),
	}})
	if err != nil {
		return "", err
	}
	if err := os.Mkdir(dir, 0o755); err != nil {
		return "", err
	}
	for name, data := range map[string]string{
		"time.go":          strings.Replace(string(original), now, stepped, 1),
		"stepped_clock.go": stepSource,
		"overlay.json":     string(overlay),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(data), 0o600); err != nil {
			return "", err
		}
	}
	build := exec.Command("go", "build", "-overlay", filepath.Join(dir, "overlay.json"), "-o", filepath.Join(dir, "wigeonspringd"), "./cmd/wigeonspringd")
	build.Dir = ".."
	if source := os.Getenv("WIGEONSPRING_SOURCE"); source != "" {
		build.Dir = source
	}
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return "stepped/wigeonspringd", nil
})

// steppedClock sets the time of day of the processes that get its variable.
type steppedClock struct{ file *os.File }

func newSteppedClock(t *testing.T) *steppedClock {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "step"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	c := &steppedClock{file}
	c.set(t, 0)
	return c
}

func (c *steppedClock) env() []string { return []string{clockVariable + "=" + c.file.Name()} }

// set sets how far the time of day is ahead.
func (c *steppedClock) set(t *testing.T, ahead time.Duration) {
	if _, err := c.file.WriteAt(binary.NativeEndian.AppendUint64(nil, uint64(ahead)), 0); err != nil {
		t.Error(err)
	}
}

// Guards against a step of the time of day that the programs of the soak do not see, while
// they start or later.
func TestTimeOfDayCanBeStepped(t *testing.T) {
	f := newFleet(t, 26600, 1)
	var err error
	if f.daemon, err = buildSteppedDaemon(); err != nil {
		t.Fatal(err)
	}
	clock := newSteppedClock(t)
	f.nodeEnv = func(int) []string { return clock.env() }
	clock.set(t, time.Hour)
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
	clock.set(t, -time.Hour)
	logged := len(p.stdout.String())
	f.eventually(10*time.Second, "the node logs after the step", func() bool { return strings.Contains(p.stdout.String()[logged:], "\n") })
	if last := lastLines(p.stdout.String(), 1); aheadOf(last) != -time.Hour {
		t.Errorf("the last line is not an hour behind: %s", last)
	}
}
