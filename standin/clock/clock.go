// Package clock steps the time of day of a program. It builds the program with a package time whose
// Now adds a number from a mapped file. Steady times are not affected.
package clock

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// variable names the file that holds how far the time of day of a process is ahead, in
// nanoseconds.
const variable = "TIME_OF_DAY_STEP"

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
	path, set := syscall.Getenv("` + variable + `")
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

// Build builds the command at path, such as "./cmd/wigeonspringd", of the module whose sources are
// in the directory source. The program is written to the directory dir, which must not exist. It
// has a time of day that a Clock can step, if it runs with the variables of Clock.Env. An error
// means that the go command fails or that its package time is not as expected.
func Build(source, path, dir string) (program string, err error) {
	overlay, err := writeOverlay(dir)
	if err != nil {
		return "", err
	}
	program = filepath.Join(dir, filepath.Base(path))
	build := exec.Command("go", "build", "-overlay", overlay, "-o", program, path)
	build.Dir = source
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
}

// writeOverlay writes the replaced files of package time and the list of them that the go command
// reads. It returns the path of the list.
func writeOverlay(dir string) (path string, err error) {
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
	path = filepath.Join(dir, "overlay.json")
	for name, data := range map[string]string{
		filepath.Join(dir, "time.go"):          strings.Replace(string(original), now, stepped, 1),
		filepath.Join(dir, "stepped_clock.go"): stepSource,
		path:                                   string(overlay),
	} {
		if err := os.WriteFile(name, []byte(data), 0o600); err != nil {
			return "", err
		}
	}
	return path, nil
}

// Clock steps the time of day of the processes that run with its variables.
type Clock struct{ file *os.File }

// New returns a clock that is right. It keeps its step in a new file in dir.
func New(dir string) (*Clock, error) {
	file, err := os.CreateTemp(dir, "step")
	if err != nil {
		return nil, err
	}
	c := &Clock{file}
	if err := c.Set(0); err != nil {
		_ = file.Close()
		return nil, err
	}
	return c, nil
}

// Env returns the environment variables of the processes, as NAME=VALUE.
func (c *Clock) Env() []string { return []string{variable + "=" + c.file.Name()} }

// Set sets how far the time of day is ahead. It takes effect at once, also for processes that
// have started.
func (c *Clock) Set(ahead time.Duration) error {
	_, err := c.file.WriteAt(binary.NativeEndian.AppendUint64(nil, uint64(ahead)), 0)
	return err
}

// Close closes the file of the clock. Processes keep their last step.
func (c *Clock) Close() error { return c.file.Close() }
