package proxy

import (
	"testing"
	"time"
)

// Guards against a backend server that becomes suspect because a service that it calls
// is overloaded, and against a failed call that is taken for the cause of an unrelated
// failure.
func TestFailedCallExplainsServerError(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		callStart, callEnd, start, end int
		want                           bool
	}{
		"call during the exchange, response right after": {200, 300, 100, 310, true},
		"call long before the response":                  {200, 300, 100, 900, false},
		"call began before the exchange":                 {50, 300, 100, 310, false},
		"call ended after the exchange":                  {200, 320, 100, 310, false},
	} {
		t.Run(name, func(t *testing.T) {
			var f failedCalls
			if f.mayExplain(at(c.start), at(c.end)) {
				t.Fatal("explained without a failed call")
			}
			f.add(at(c.callStart), at(c.callEnd))
			if got := f.mayExplain(at(c.start), at(c.end)); got != c.want {
				t.Fatalf("explained %v, want %v", got, c.want)
			}
		})
	}
}
