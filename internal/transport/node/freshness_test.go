package node

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Guards against a clock that follows the time of day. Whether it counts a suspension cannot be seen
// on a VM that was never suspended.
func TestBootTimeCountsFromStartOfVM(t *testing.T) {
	text, err := os.ReadFile("/proc/uptime")
	if err != nil {
		t.Fatal(err)
	}
	var seconds float64
	if _, err := fmt.Sscan(string(text), &seconds); err != nil {
		t.Fatal(err)
	}
	uptime := time.Duration(seconds * float64(time.Second))
	if difference := time.Duration(bootTime()) - uptime; difference < -100*time.Millisecond || difference > 5*time.Second {
		t.Errorf("%v from the uptime of the VM", difference)
	}
}
