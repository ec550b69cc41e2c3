package header

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Limits of parsed values.
const (
	// maxDeadline is the longest deadline. It prevents an overflow of time.Duration.
	maxDeadline = 24 * time.Hour
	// maxAttempt is the highest attempt number that a node accepts.
	maxAttempt = 1000
	// maxCaller is the maximum length of the name of a caller, which is a key of queues.
	maxCaller = 64
	// maxCount is the highest count in a load or a baseline.
	maxCount = 1 << 30
)

// NewRequestID returns a random request identifier of 16 bytes in hexadecimal.
func NewRequestID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

// ValidRequestID reports whether id has the format of NewRequestID.
func ValidRequestID(id string) bool {
	if len(id) != 32 {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// maxRequestID is the maximum length of a request identifier from a caller.
const maxRequestID = 64

// UsableRequestID reports whether a request identifier, which may come from a caller, is
// safe in headers and logs. It must consist of 1 to 64 letters, digits, dots, hyphens
// and underscores.
func UsableRequestID(id string) bool {
	return id != "" && len(id) <= maxRequestID && CallerName(id) == id
}

// FormatDeadline formats the time left in milliseconds, rounded down.
func FormatDeadline(left time.Duration) string {
	return strconv.FormatInt(max(left.Milliseconds(), 0), 10)
}

// ParseDeadline parses the time left. Values above 24 h are reduced to 24 h.
func ParseDeadline(s string) (time.Duration, error) {
	if s == "" || strings.Trim(s, "0123456789") != "" {
		return 0, fmt.Errorf("%s: %q is not a number of milliseconds", DeadlineMillis, s)
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms > maxDeadline.Milliseconds() {
		return maxDeadline, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// FormatAttempt formats the number of an attempt.
func FormatAttempt(n int) string { return strconv.Itoa(n) }

// ParseAttempt parses the number of an attempt, which starts at 1.
func ParseAttempt(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < 1 || n > maxAttempt {
		return 0, fmt.Errorf("%s: %q is not an attempt number", Attempt, s)
	}
	return n, nil
}

// CallerName returns the name of a caller if it consists of at most 64 letters,
// digits, dots, hyphens and underscores; otherwise it returns "".
func CallerName(s string) string {
	if len(s) > maxCaller {
		return ""
	}
	for _, c := range []byte(s) {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && c != '.' && c != '-' && c != '_' {
			return ""
		}
	}
	return s
}

// FormatLoad formats a load as "slots=5 in_use=2 queued=0 weight=1".
func FormatLoad(l evidence.Load) string {
	b := make([]byte, 0, 48)
	b = append(b, "slots="...)
	b = strconv.AppendInt(b, int64(l.Slots), 10)
	b = append(b, " in_use="...)
	b = strconv.AppendInt(b, int64(l.InUse), 10)
	b = append(b, " queued="...)
	b = strconv.AppendInt(b, int64(l.Queued), 10)
	b = append(b, " weight="...)
	b = strconv.AppendFloat(b, l.Weight, 'g', 4, 64)
	return string(b)
}

// ParseLoad parses the output of FormatLoad.
func ParseLoad(s string) (evidence.Load, error) {
	var l evidence.Load
	err := parseFields(Load, s, []field{
		{"slots", &l.Slots, nil}, {"in_use", &l.InUse, nil}, {"queued", &l.Queued, nil}, {"weight", nil, &l.Weight},
	})
	return l, err
}

// FormatCost formats the service time of a request, which is 0 if it has not run, and the wait
// for a slot as "work_us=1500 wait_us=0".
func FormatCost(work, wait time.Duration) string {
	b := make([]byte, 0, 40)
	b = append(b, "work_us="...)
	b = strconv.AppendInt(b, min(work.Microseconds(), maxCount), 10)
	b = append(b, " wait_us="...)
	b = strconv.AppendInt(b, min(wait.Microseconds(), maxCount), 10)
	return string(b)
}

// ParseCost parses the output of FormatCost.
func ParseCost(s string) (work, wait time.Duration, err error) {
	var w, q int
	err = parseFields(Cost, s, []field{{"work_us", &w, nil}, {"wait_us", &q, nil}})
	return time.Duration(w) * time.Microsecond, time.Duration(q) * time.Microsecond, err
}

// FormatBaseline formats a baseline as "failure_rate=0.01 median_us=1500 samples=40".
func FormatBaseline(v evidence.Baseline) string {
	b := make([]byte, 0, 56)
	b = append(b, "failure_rate="...)
	b = strconv.AppendFloat(b, v.FailureRate, 'g', 4, 64)
	b = append(b, " median_us="...)
	b = strconv.AppendInt(b, v.Median.Microseconds(), 10)
	b = append(b, " samples="...)
	b = strconv.AppendInt(b, int64(v.Samples), 10)
	return string(b)
}

// ParseBaseline parses the output of FormatBaseline.
func ParseBaseline(s string) (evidence.Baseline, error) {
	var v evidence.Baseline
	var micros int
	err := parseFields(Baseline, s, []field{
		{"failure_rate", nil, &v.FailureRate}, {"median_us", &micros, nil}, {"samples", &v.Samples, nil},
	})
	v.Median = time.Duration(micros) * time.Microsecond
	return v, err
}

// field is a named value: a count, or a fraction between 0 and 1.
type field struct {
	name     string
	count    *int
	fraction *float64
}

// parseFields parses "name=value" pairs in a fixed order.
func parseFields(header, s string, fields []field) error {
	rest := s
	for i, f := range fields {
		item, tail, more := strings.Cut(rest, " ")
		name, value, _ := strings.Cut(item, "=")
		if name != f.name || more != (i < len(fields)-1) {
			return fmt.Errorf("%s: %q does not have field %q at its position", header, s, f.name)
		}
		rest = tail
		if f.count != nil {
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || n > maxCount {
				return fmt.Errorf("%s: field %q is not a valid count: %q", header, f.name, value)
			}
			*f.count = n
			continue
		}
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(x) || x < 0 || x > 1 {
			return fmt.Errorf("%s: field %q is not between 0 and 1: %q", header, f.name, value)
		}
		*f.fraction = x
	}
	return nil
}
