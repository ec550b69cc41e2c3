package backend

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Faults are the failures that a stand-in can be told to show.
type Faults struct {
	// Gray lets work hang until its deadline while health answers.
	Gray bool `json:"gray"`
	// GrayPath restricts Gray to paths with this prefix; empty means all.
	GrayPath string `json:"gray_path"`
	// FailPercent is the share of requests that fail with status 500.
	FailPercent float64 `json:"fail_percent"`
	// SlowFactor multiplies the service time; 0 and 1 mean normal speed.
	SlowFactor float64 `json:"slow_factor"`
	// TruncatePercent is the share of answers that are cut short.
	TruncatePercent float64 `json:"truncate_percent"`
	// ResetPercent is the share of exchanges whose connection is closed before
	// the answer begins, after the work was done.
	ResetPercent float64 `json:"reset_percent"`
	// FlapMillis alternates between the faults and normal work at this period.
	FlapMillis int64 `json:"flap_ms"`
	// LoadReport replaces the reported number of requests in progress; negative
	// means the true number.
	LoadReport int `json:"load_report"`
}

type faultSwitch struct {
	mu    sync.Mutex
	cur   Faults
	since time.Time
	rng   *rand.Rand
}

func newFaultSwitch(seed uint64) *faultSwitch {
	return &faultSwitch{cur: Faults{LoadReport: -1}, rng: rand.New(rand.NewPCG(seed, 1))}
}

func (s *faultSwitch) set(f Faults, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cur = f
	s.since = now
}

func (s *faultSwitch) loadReport(actual int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cur.LoadReport >= 0 {
		return s.cur.LoadReport
	}
	return actual
}

// plan is what one request will meet.
type plan struct {
	sick     bool
	hang     bool
	fail     bool
	truncate bool
	reset    bool
	slow     float64
}

func (s *faultSwitch) plan(path string, now time.Time) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.cur
	if f.FlapMillis > 0 {
		period := time.Duration(f.FlapMillis) * time.Millisecond
		if now.Sub(s.since)/period%2 == 1 {
			f = Faults{LoadReport: -1}
		}
	}
	p := plan{slow: max(f.SlowFactor, 1)}
	p.hang = f.Gray && strings.HasPrefix(path, f.GrayPath)
	p.fail = s.rng.Float64()*100 < f.FailPercent
	p.truncate = s.rng.Float64()*100 < f.TruncatePercent
	p.reset = s.rng.Float64()*100 < f.ResetPercent
	p.sick = p.hang || f.FailPercent > 0 || p.slow > 1 || f.TruncatePercent > 0 || f.ResetPercent > 0
	return p
}
