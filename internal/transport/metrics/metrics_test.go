package metrics

import (
	"expvar"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against counters or latencies that are missing from the output, and against
// wrong bucket counts.
func TestHandler(t *testing.T) {
	expvar.NewMap("test-map").Add("a b", 3)
	h := NewHistograms("test")
	h.Observe("ok", 3*time.Millisecond)
	h.Observe("ok", 300*time.Millisecond)
	h.Observe("lost", time.Hour)
	w := httptest.NewRecorder()
	Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	text := w.Body.String()
	for _, want := range []string{
		`wigeonspring_test_map{kind="a b"} 3`,
		`wigeonspring_test_seconds_bucket{outcome="ok",le="0.002"} 0`,
		`wigeonspring_test_seconds_bucket{outcome="ok",le="0.005"} 1`,
		`wigeonspring_test_seconds_bucket{outcome="ok",le="0.5"} 2`,
		`wigeonspring_test_seconds_bucket{outcome="lost",le="30"} 0`,
		`wigeonspring_test_seconds_bucket{outcome="lost",le="+Inf"} 1`,
		`wigeonspring_test_seconds_count{outcome="ok"} 2`,
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("no line %s in\n%s", want, text)
		}
	}
}
