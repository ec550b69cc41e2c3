package proxy

import (
	"net/http"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Guards against evidence of a hanging request that is reported only when its deadline
// passes, and against an exchange that is reported as overdue because of a slow upload.
func TestOverdueExchangeIsReportedBeforeItEnds(t *testing.T) {
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
		{"service without a baseline", evidence.Baseline{}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			reports := make(chan evidence.Observation, 4)
			owner := NewOwner(OwnerOptions{Observe: func(o evidence.Observation) { reports <- o }})
			x := &exchange{backend: &ownedBackend{}, owner: owner, attempt: &ownerAttempt{
				Hop:     header.Hop{Baseline: c.baseline},
				Request: &http.Request{ContentLength: c.length},
			}}
			stop := x.watchOverdue()
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
