package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkRequestPath compares a direct request to a backend server with the path
// through one node and through two nodes, all over loopback. Allocations are those of
// the whole process: client, nodes and backend server.
func BenchmarkRequestPath(b *testing.B) {
	respond := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte("hello"))
	}
	paths := []struct {
		name        string
		owner       int // -1: direct
		maxBuffered int64
	}{{"direct", -1, 0}, {"one node", 0, 0}, {"two nodes", 1, 0}, {"two nodes, body kept", 1, 16 << 10}}
	requests := []struct{ method, body string }{{"GET", ""}, {"POST", strings.Repeat("x", 1024)}}
	for _, r := range requests {
		for _, path := range paths {
			b.Run(r.method+"/"+path.name, func(b *testing.B) {
				f := newFleet(b, 2, func(_ *OwnerOptions, in *IngressOptions) { in.MaxBufferedBodyBytes = path.maxBuffered })
				s := f.serve(max(path.owner, 0), "b1", respond)
				url := f.nodes[0].callerServer.URL
				if path.owner < 0 {
					url = s.URL
				}
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				hist := hdrhistogram.New(1, int64(time.Minute), 3)
				send := func() {
					var body io.Reader
					if r.body != "" {
						body = strings.NewReader(r.body)
					}
					req, err := http.NewRequest(r.method, url+"/", body)
					if err != nil {
						b.Fatal(err)
					}
					req.Host = "booking.test"
					start := time.Now()
					resp, err := client.Do(req)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					if resp.StatusCode != http.StatusOK {
						b.Fatal(resp.Status)
					}
					_ = hist.RecordValue(int64(time.Since(start)))
				}
				for range 100 {
					send()
				}
				hist.Reset()
				b.ReportAllocs()
				for b.Loop() {
					send()
				}
				b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e3, "p50-µs")
				b.ReportMetric(float64(hist.ValueAtQuantile(99))/1e3, "p99-µs")
			})
		}
	}
}
