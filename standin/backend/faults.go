package backend

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Faults are the faults that a simulated backend server injects.
type Faults struct {
	// Gray makes requests hang until their client gives up, while the health
	// endpoint reports success.
	Gray bool `json:"gray"`
	// GrayPath restricts Gray to paths with this prefix; empty means all paths.
	GrayPath string `json:"gray_path"`
	// FailPercent is the share of requests that fail with status 500.
	FailPercent float64 `json:"fail_percent"`
	// SlowFactor multiplies the service time; 0 and 1 mean normal speed.
	SlowFactor float64 `json:"slow_factor"`
	// TruncatePercent is the share of responses that are truncated.
	TruncatePercent float64 `json:"truncate_percent"`
	// ResetPercent is the share of requests whose connection is closed after the
	// work is done and before the response begins.
	ResetPercent float64 `json:"reset_percent"`
	// ExtraPercent is the share of responses after which the backend server sends bytes that
	// look like a further response, once the next request has arrived, and closes the
	// connection. That request is not run.
	ExtraPercent float64 `json:"extra_percent"`
	// EarlyPercent is the share of requests with a body that are answered before the body
	// has been read. The backend server keeps the connection and reads the rest later.
	EarlyPercent float64 `json:"early_percent"`
	// BodyResetPercent is the share of requests with a body whose connection is reset
	// while the body arrives.
	BodyResetPercent float64 `json:"body_reset_percent"`
	// EarlyCutPercent is the share of requests with a body that are answered before the body
	// has been read, without a length, and whose connection is reset after a part of the
	// response.
	EarlyCutPercent float64 `json:"early_cut_percent"`
	// InvalidStatusPercent is the share of responses whose status is not one of HTTP.
	InvalidStatusPercent float64 `json:"invalid_status_percent"`
	// FlapMillis switches the faults off after this time, on again after the same
	// time, and so on; 0 keeps them on. LoadReport stays in effect throughout.
	FlapMillis int64 `json:"flap_ms"`
	// LoadReport replaces the reported number of requests in progress; a negative
	// value reports the actual number.
	LoadReport int `json:"load_report"`
}

// faultInjector holds the current faults and selects those of each request.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
	setAt  time.Time
	rng    *rand.Rand
}

func newFaultInjector(seed uint64) *faultInjector {
	return &faultInjector{faults: Faults{LoadReport: -1}, rng: rand.New(rand.NewPCG(seed, 1))}
}

func (i *faultInjector) set(f Faults, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	i.setAt = now
}

func (i *faultInjector) loadReport(actual int) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LoadReport >= 0 {
		return i.faults.LoadReport
	}
	return actual
}

// requestFaults are the faults of one request.
type requestFaults struct {
	// faulty says that the faults in effect can affect the request. A fault with a
	// percentage may still leave it out.
	faulty    bool
	hang      bool
	fail      bool
	truncate  bool
	reset     bool
	extra     bool
	early     bool
	bodyReset bool
	earlyCut  bool
	// status replaces that of the response, unless it is empty.
	status     string
	slowFactor float64
}

var invalidStatuses = [...]string{"000", "099", "600", "999", "20"}

func (i *faultInjector) forRequest(path string, now time.Time) requestFaults {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := i.faults
	if f.FlapMillis > 0 {
		period := time.Duration(f.FlapMillis) * time.Millisecond
		if now.Sub(i.setAt)/period%2 == 1 {
			f = Faults{LoadReport: -1}
		}
	}
	rf := requestFaults{slowFactor: max(f.SlowFactor, 1)}
	rf.hang = f.Gray && strings.HasPrefix(path, f.GrayPath)
	rf.fail = i.rng.Float64()*100 < f.FailPercent
	rf.truncate = i.rng.Float64()*100 < f.TruncatePercent
	rf.reset = i.rng.Float64()*100 < f.ResetPercent
	if f.ExtraPercent > 0 {
		rf.extra = i.rng.Float64()*100 < f.ExtraPercent
	}
	if f.EarlyPercent > 0 {
		rf.early = i.rng.Float64()*100 < f.EarlyPercent
	}
	if f.BodyResetPercent > 0 {
		rf.bodyReset = i.rng.Float64()*100 < f.BodyResetPercent
	}
	if f.EarlyCutPercent > 0 {
		rf.earlyCut = i.rng.Float64()*100 < f.EarlyCutPercent
	}
	if f.InvalidStatusPercent > 0 && i.rng.Float64()*100 < f.InvalidStatusPercent {
		rf.status = invalidStatuses[i.rng.IntN(len(invalidStatuses))]
	}
	rf.faulty = rf.hang || f.FailPercent > 0 || rf.slowFactor > 1 || f.TruncatePercent > 0 || f.ResetPercent > 0 || f.ExtraPercent > 0 ||
		f.EarlyPercent > 0 || f.BodyResetPercent > 0 || f.EarlyCutPercent > 0 || f.InvalidStatusPercent > 0
	return rf
}
