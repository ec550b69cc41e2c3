package header

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against a header of a hop that is not read as it was written.
func TestHopRoundTrip(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(proptest.Seed(t))
	properties := gopter.NewProperties(params)
	properties.Property("ReadHop inverts Write", prop.ForAll(
		func(incarnation uint64, ms int64, attempt, samples int, rate float64, name string) bool {
			in := Hop{
				RequestID: NewRequestID(), Backend: "b", Service: "s", Route: name, Incarnation: incarnation,
				TimeLeft: time.Duration(ms) * time.Millisecond, AnswerWithin: time.Duration(attempt) * time.Millisecond, Attempt: attempt, Caller: CallerName(name), CallerWeight: rate, Region: "r",
				Baseline:   evidence.Baseline{FailureRate: float64(int(rate*1000)) / 1000, Median: time.Duration(samples) * time.Microsecond, Samples: samples},
				Idempotent: incarnation&1 != 0, Trial: incarnation&2 != 0, Explore: incarnation&4 != 0, NoBetterBackend: incarnation&8 != 0, Repeat: incarnation&16 != 0, StatusInHeader: incarnation&32 != 0,
				Origin: "n1.0", Sequence: incarnation,
				Rank: attempt % 5, Objective: time.Duration(attempt) * time.Millisecond,
			}
			h := http.Header{}
			in.Write(h)
			out, err := ReadHop(h)
			query := Recovery{RequestID: in.RequestID, Origin: "n1.0", Sequence: incarnation, Incarnation: incarnation, TimeLeft: in.TimeLeft}
			qh := http.Header{}
			query.Write(qh)
			if readBack, err := ReadRecovery(qh); err != nil || readBack != query {
				return false
			}
			load := evidence.Load{Slots: samples, InUse: attempt, Queued: 2, Weight: 0.25}
			back, loadErr := ParseLoad(FormatLoad(load))
			work, wait := time.Duration(samples)*time.Microsecond, time.Duration(attempt)*time.Microsecond
			gotWork, gotWait, costErr := ParseCost(FormatCost(work, wait))
			return err == nil && out == in && loadErr == nil && back == load && costErr == nil && gotWork == work && gotWait == wait
		},
		gen.UInt64(), gen.Int64Range(0, maxDeadline.Milliseconds()), gen.IntRange(1, maxAttempt), gen.IntRange(0, maxCount),
		gen.Float64Range(0, 1), gen.AlphaString()))
	properties.TestingRun(t)
}

// Guards against a malformed header that is accepted.
func TestMalformedHeadersAreRefused(t *testing.T) {
	for _, s := range []string{"", "-1", "+5", "1.5", "5s", " 5"} {
		if v, err := ParseDeadline(s); err == nil {
			t.Errorf("deadline %q read as %v", s, v)
		}
	}
	if v, err := ParseDeadline(strings.Repeat("9", 40)); err != nil || v != maxDeadline {
		t.Errorf("huge deadline: %v, %v", v, err)
	}
	for _, s := range []string{"", "slots=1", "slots=1 in_use=0 queued=0 weight=2", "slots=-1 in_use=0 queued=0 weight=1",
		"slots=1 in_use=0 queued=0 weight=NaN", "slots=1 in_use=0 queued=0 weight=1 x=1", "in_use=0 slots=1 queued=0 weight=1"} {
		if v, err := ParseLoad(s); err == nil {
			t.Errorf("load %q read as %+v", s, v)
		}
	}
	for _, s := range []string{"", "work_us=1", "work_us=-1 wait_us=0", "work_us=1 wait_us=x", "wait_us=1 work_us=1", "work_us=1 wait_us=1 x=1"} {
		if work, wait, err := ParseCost(s); err == nil {
			t.Errorf("cost %q read as %v, %v", s, work, wait)
		}
	}
	for _, name := range []string{RequestID, Backend, Service, OwnerIncarnation, DeadlineMillis, Attempt, Baseline} {
		h := http.Header{}
		(&Hop{RequestID: NewRequestID(), Backend: "b", Service: "s", Attempt: 1}).Write(h)
		h.Set(name, "")
		if hop, err := ReadHop(h); err == nil {
			t.Errorf("without %s read as %+v", name, hop)
		}
	}
	for name, value := range map[string]string{RequestID: "", Origin: "", Sequence: "-1", OwnerIncarnation: "x", DeadlineMillis: ""} {
		h := http.Header{}
		(&Recovery{RequestID: NewRequestID(), Origin: "n1.0", Sequence: 1}).Write(h)
		h.Set(name, value)
		if q, err := ReadRecovery(h); err == nil {
			t.Errorf("%s %q read as %+v", name, value, q)
		}
	}
	for _, s := range []string{"a b", "a\nb", "a,b", strings.Repeat("a", maxCaller+1)} {
		if v := CallerName(s); v != "" {
			t.Errorf("caller %q read as %q", s, v)
		}
	}
}

// Guards against a header of a caller that is forwarded although it must not be, and
// against a header that is removed although it must be forwarded.
func TestStrip(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Named"}, "X-Named": {"1"}, "Te": {"trailers"}, "Upgrade": {"x"}, "Keep-Alive": {"5"},
		"Transfer-Encoding": {"chunked"}, "Proxy-Authorization": {"x"}, "Expect": {"100-continue"},
		Backend: {"b"}, Caller: {"c"}, "wigeonspring-outcome": {"x"}, "Cookie": {"c"}, "Wigeon": {"1"},
	}
	StripHopByHop(h)
	StripInternal(h)
	if len(h) != 2 || h.Get("Cookie") != "c" || h.Get("Wigeon") != "1" {
		t.Errorf("left: %v", h)
	}
	if a, b := NewRequestID(), NewRequestID(); a == b || !ValidRequestID(a) || ValidRequestID(a+"0") || registry.BackendID(a) == "" {
		t.Errorf("request ids %q, %q", a, b)
	}
}
