// Package metrics serves the counters of expvar and latency histograms as text that
// a scraper reads, one sample a line.
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
	// lowest and highest bound the recorded latencies; others count at the bound.
	lowest  = 10 * time.Microsecond
	highest = 2 * time.Minute
	// significant digits of the recorded latencies.
	significant = 2
)

// bounds are the upper bounds of the buckets.
var bounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// Histograms holds the latencies of one kind of operation by outcome. It is safe for
// concurrent use.
type Histograms struct {
	name string

	mu        sync.Mutex
	byOutcome map[string]*histogram
}

type histogram struct {
	*hdrhistogram.Histogram
	sum time.Duration
}

var registry struct {
	mu  sync.Mutex
	all []*Histograms
}

// NewHistograms registers the latencies of an operation, such as "request".
func NewHistograms(name string) *Histograms {
	h := &Histograms{name: name, byOutcome: make(map[string]*histogram)}
	registry.mu.Lock()
	defer registry.mu.Unlock()
	registry.all = append(registry.all, h)
	return h
}

// Observe records one operation. The number of outcomes must be bounded.
func (h *Histograms) Observe(outcome string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.byOutcome[outcome]
	if o == nil {
		o = &histogram{Histogram: hdrhistogram.New(lowest.Microseconds(), highest.Microseconds(), significant)}
		h.byOutcome[outcome] = o
	}
	o.sum += d
	// The value lies within the bounds, so that it is always recorded.
	_ = o.RecordValue(min(max(d, lowest), highest).Microseconds())
}

// write adds the samples of the histograms.
func (h *Histograms) write(w io.Writer) {
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
		for _, b := range bounds {
			below := o.below(b)
			fmt.Fprintf(w, "%s_bucket{outcome=%q,le=\"%g\"} %d\n", metric, outcome, b.Seconds(), below)
		}
		fmt.Fprintf(w, "%s_bucket{outcome=%q,le=\"+Inf\"} %d\n", metric, outcome, o.TotalCount())
		fmt.Fprintf(w, "%s_sum{outcome=%q} %g\n", metric, outcome, o.sum.Seconds())
		fmt.Fprintf(w, "%s_count{outcome=%q} %d\n", metric, outcome, o.TotalCount())
	}
}

// below returns the number of recorded latencies up to d.
func (o *histogram) below(d time.Duration) int64 {
	var n int64
	for _, b := range o.Distribution() {
		if b.To > d.Microseconds() {
			break
		}
		n += b.Count
	}
	return n
}

// Handler serves all samples.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		out := bufio.NewWriter(w)
		defer out.Flush()
		writeCounters(out)
		registry.mu.Lock()
		all := slices.Clone(registry.all)
		registry.mu.Unlock()
		for _, h := range all {
			h.write(out)
		}
	})
}

// writeCounters adds the counters of expvar; values that are no numbers are left out.
func writeCounters(w io.Writer) {
	expvar.Do(func(kv expvar.KeyValue) {
		switch v := kv.Value.(type) {
		case *expvar.Map:
			v.Do(func(e expvar.KeyValue) {
				if n, ok := e.Value.(*expvar.Int); ok {
					fmt.Fprintf(w, "%s%s{kind=%q} %d\n", prefix, name(kv.Key), e.Key, n.Value())
				}
			})
		case *expvar.Int:
			fmt.Fprintf(w, "%s%s %d\n", prefix, name(kv.Key), v.Value())
		}
	})
}

// name replaces what a metric name must not contain.
func name(s string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, s)
}
