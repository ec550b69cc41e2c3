// Package metrics serves the expvar counters and latency histograms in the Prometheus
// text format.
package metrics

import (
	"bufio"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	prefix = "wigeonspring_"
	// minLatency and maxLatency are the bounds of the recorded latencies. A value
	// outside them is recorded as the nearest bound.
	minLatency = 10 * time.Microsecond
	maxLatency = 2 * time.Minute
	// significantDigits is the decimal precision of the recorded latencies.
	significantDigits = 2
)

// bucketBounds are the upper bounds of the histogram buckets.
var bucketBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// Histograms holds the latency histograms of one kind of operation, one for each
// outcome. It is safe for concurrent use.
type Histograms struct {
	name string

	mu        sync.Mutex
	byOutcome map[string]*histogram
}

type histogram struct {
	*hdrhistogram.Histogram
	sum time.Duration
}

var registered struct {
	mu  sync.Mutex
	all []*Histograms
}

// NewHistograms returns and registers the histograms of an operation, such as
// "request". The name becomes part of the metric name.
func NewHistograms(name string) *Histograms {
	h := &Histograms{name: name, byOutcome: make(map[string]*histogram)}
	registered.mu.Lock()
	defer registered.mu.Unlock()
	registered.all = append(registered.all, h)
	return h
}

// Observe records one operation. The number of different outcomes must be bounded,
// because each has its own histogram.
func (h *Histograms) Observe(outcome string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.byOutcome[outcome]
	if o == nil {
		o = &histogram{Histogram: hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits)}
		h.byOutcome[outcome] = o
	}
	o.sum += d
	// RecordValue fails only for values outside the bounds.
	_ = o.RecordValue(min(max(d, minLatency), maxLatency).Microseconds())
}

// writeTo writes the samples of the histograms.
func (h *Histograms) writeTo(w io.Writer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	outcomes := make([]string, 0, len(h.byOutcome))
	for name := range h.byOutcome {
		outcomes = append(outcomes, name)
	}
	slices.Sort(outcomes)
	metric := prefix + h.name + "_seconds"
	for _, outcome := range outcomes {
		o := h.byOutcome[outcome]
		for _, b := range bucketBounds {
			count := o.countUpTo(b)
			fmt.Fprintf(w, "%s_bucket{outcome=%q,le=\"%g\"} %d\n", metric, outcome, b.Seconds(), count)
		}
		fmt.Fprintf(w, "%s_bucket{outcome=%q,le=\"+Inf\"} %d\n", metric, outcome, o.TotalCount())
		fmt.Fprintf(w, "%s_sum{outcome=%q} %g\n", metric, outcome, o.sum.Seconds())
		fmt.Fprintf(w, "%s_count{outcome=%q} %d\n", metric, outcome, o.TotalCount())
	}
}

// countUpTo returns the number of recorded latencies up to d.
func (o *histogram) countUpTo(d time.Duration) int64 {
	var n int64
	for _, b := range o.Distribution() {
		if b.To > d.Microseconds() {
			break
		}
		n += b.Count
	}
	return n
}

// Handler returns a handler that serves all samples.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		out := bufio.NewWriter(w)
		defer out.Flush()
		writeCounters(out)
		registered.mu.Lock()
		all := slices.Clone(registered.all)
		registered.mu.Unlock()
		for _, h := range all {
			h.writeTo(out)
		}
	})
}

// writeCounters writes the integer counters of expvar. Other values are omitted.
func writeCounters(w io.Writer) {
	expvar.Do(func(kv expvar.KeyValue) {
		switch v := kv.Value.(type) {
		case *expvar.Map:
			v.Do(func(e expvar.KeyValue) {
				if n, ok := e.Value.(*expvar.Int); ok {
					fmt.Fprintf(w, "%s%s{kind=%q} %d\n", prefix, metricName(kv.Key), e.Key, n.Value())
				}
			})
		case *expvar.Int:
			fmt.Fprintf(w, "%s%s %d\n", prefix, metricName(kv.Key), v.Value())
		}
	})
}

// metricName replaces the characters that a metric name must not contain.
func metricName(s string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, s)
}
