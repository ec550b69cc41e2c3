package proxy

import (
	"net/http"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Guards against evidence that comes only when the deadline of a hanging request
// passes, and against a report for an exchange whose caller is slow to upload.
func TestOverdueExchangeIsReportedWhileItGoesOn(t *testing.T) {
	known := evidence.Baseline{Median: time.Millisecond, Samples: 100}
	cases := []struct {
		name     string
		baseline evidence.Baseline
		length   int64
		want     int
	}{
		{"no body", known, 0, 1},
		{"small body", known, 200, 1},
		{"upload", known, 1 << 20, 0},
		{"body of unknown size", known, -1, 0},
		{"nothing known of the service", evidence.Baseline{}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			reports := make(chan evidence.Observation, 4)
			owner := NewOwner(OwnerOptions{Observe: func(o evidence.Observation) { reports <- o }})
			x := &exchange{backend: &owned{}, owner: owner, attempt: &attempt{
				Hop:     header.Hop{Baseline: c.baseline},
				Request: &http.Request{ContentLength: c.length},
			}}
			stop := x.watch()
			time.Sleep(2 * overdueMin)
			stop()
			got := len(reports)
			if got != c.want {
				t.Fatalf("%d reports, want %d", got, c.want)
			}
			if got == 1 {
				if o := <-reports; o.Kind != evidence.Overdue || o.Latency != overdueMin {
					t.Fatalf("reported %+v", o)
				}
			}
		})
	}
}
