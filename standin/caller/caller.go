// Package caller is a stand-in for callers. It sends an open-loop mix of
// idempotent reads, non-idempotent bookings and streamed uploads, and checks
// that each answer is whole and belongs to its request.
package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/standin/record"
)

// Kinds of operations.
const (
	Read    = "read"
	Booking = "booking"
	Upload  = "upload"
)

// Options configures the load.
type Options struct {
	// Targets are caller addresses of nodes, or addresses of backend servers.
	Targets []string
	Service string
	// Host is the HTTP host name that selects the service.
	Host string
	// Rate is the number of operations started each second, whatever the answers.
	Rate     float64
	Duration time.Duration
	// BookingPercent and UploadPercent are the shares of the mix; the rest reads.
	BookingPercent float64
	UploadPercent  float64
	UploadBytes    int64
	// Timeout is how long the caller waits.
	Timeout time.Duration
	// Teams is the number of caller identities.
	Teams int
	Seed  uint64
	// IDPrefix makes operation identifiers unique among load processes.
	IDPrefix string
	Records  *record.Writer
}

// Summary is the result of a run.
type Summary struct {
	Sent     int64            `json:"sent"`
	Outcomes map[string]int64 `json:"outcomes"`
	Wrong    int64            `json:"wrong"`
	P50      time.Duration    `json:"p50"`
	P99      time.Duration    `json:"p99"`
	Max      time.Duration    `json:"max"`
}

// Generator sends the operations of one service.
type Generator struct {
	opts   Options
	client *http.Client
	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	sum    Summary
}

const maxLatency = int64(2 * time.Minute)

// New returns a Load.
func New(opts Options) *Generator {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Generator{
		opts: opts,
		client: &http.Client{
			Timeout: opts.Timeout,
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: 64,
			},
		},
		hist: hdrhistogram.New(int64(time.Microsecond), maxLatency, 3),
		sum:  Summary{Outcomes: map[string]int64{}},
	}
}

// Run sends operations until the duration has passed or ctx ends, waits for
// the answers and returns the summary.
func (l *Generator) Run(ctx context.Context) Summary {
	rng := rand.New(rand.NewPCG(l.opts.Seed, 7))
	start := time.Now()
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		due := start.Add(time.Duration(float64(i) / l.opts.Rate * float64(time.Second)))
		if due.Sub(start) >= l.opts.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		op := l.operation(i, rng)
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.note(l.do(op, due))
		}()
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum.P50 = time.Duration(l.hist.ValueAtQuantile(50))
	l.sum.P99 = time.Duration(l.hist.ValueAtQuantile(99))
	l.sum.Max = time.Duration(l.hist.Max())
	return l.sum
}

type operation struct {
	id, kind, method, path, target, team string
	bodyBytes                            int64
}

func (l *Generator) operation(i int, rng *rand.Rand) operation {
	op := operation{
		id:     fmt.Sprintf("%s-%d", l.opts.IDPrefix, i),
		kind:   Read,
		method: http.MethodGet,
		path:   "/items/" + fmt.Sprint(rng.IntN(1000)),
		target: l.opts.Targets[rng.IntN(len(l.opts.Targets))],
		team:   fmt.Sprintf("team-%d", rng.IntN(max(l.opts.Teams, 1))),
	}
	share := rng.Float64() * 100
	switch {
	case share < l.opts.BookingPercent:
		op.kind, op.method, op.path, op.bodyBytes = Booking, http.MethodPost, "/bookings", 200
	case share < l.opts.BookingPercent+l.opts.UploadPercent:
		op.kind, op.method, op.path, op.bodyBytes = Upload, http.MethodPost, "/photos", l.opts.UploadBytes
	}
	return op
}

func (l *Generator) do(op operation, due time.Time) record.Result {
	res := record.Result{
		Operation:  op.id,
		Service:    l.opts.Service,
		Kind:       op.kind,
		Idempotent: op.kind == Read,
	}
	body, bodyHash := newBody(op.bodyBytes)
	req, err := http.NewRequest(op.method, "http://"+op.target+op.path, body)
	if err != nil {
		res.Outcome, res.Error = "transport-error", err.Error()
		return res
	}
	if body != nil {
		req.ContentLength = op.bodyBytes
	}
	req.Host = l.opts.Host
	req.Header.Set(record.OperationHeader, op.id)
	req.Header.Set(header.Caller, op.team)
	l.exchange(req, &res, bodyHash)
	res.Time = time.Now()
	res.Latency = time.Since(due)
	return res
}

// errSentAgain marks an operation that net/http sent once more by itself, as it does
// with a GET whose connection was closed. The answer says nothing about the first one.
var errSentAgain = errors.New("the HTTP client sent the request again on another connection")

func (l *Generator) exchange(req *http.Request, res *record.Result, bodyHash func() string) {
	sent := 0
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent++ }}
	resp, err := l.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil && sent > 1 {
		resp.Body.Close()
		err = errSentAgain
	}
	if err != nil {
		res.Outcome, res.Error = "transport-error", err.Error()
		return
	}
	defer resp.Body.Close()
	res.Status = resp.StatusCode
	res.Outcome = resp.Header.Get(header.Outcome)
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		res.Outcome, res.Error = "cut-short", err.Error()
		return
	}
	if resp.StatusCode != http.StatusOK {
		return
	}
	if res.Outcome == "" {
		res.Outcome = header.Answered
	}
	if err := checkAnswer(res.Operation, resp.Header, answer, bodyHash()); err != nil {
		res.Wrong, res.Error = true, err.Error()
	}
}

func checkAnswer(operation string, h http.Header, answer []byte, sentHash string) error {
	sum := sha256.Sum256(answer)
	if hex.EncodeToString(sum[:]) != h.Get(record.BodyHashHeader) {
		return errors.New("answer is not whole")
	}
	first, _, _ := strings.Cut(string(answer), "\n")
	fields := strings.Fields(first)
	if len(fields) != 3 || fields[0] != operation {
		return fmt.Errorf("answer belongs to another operation: %q", first)
	}
	if fields[2] != sentHash {
		return errors.New("backend server received another body")
	}
	return nil
}

func (l *Generator) note(res record.Result) {
	if l.opts.Records != nil {
		l.opts.Records.Write(res)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum.Sent++
	l.sum.Outcomes[res.Outcome]++
	if res.Wrong {
		l.sum.Wrong++
	}
	if res.Outcome == header.Answered {
		_ = l.hist.RecordValue(int64(res.Latency))
	}
}

// newBody returns a generated body that is never held in memory as a whole,
// and a function for the hash of what was read from it.
func newBody(size int64) (io.Reader, func() string) {
	hash := sha256.New()
	sum := func() string { return hex.EncodeToString(hash.Sum(nil)) }
	if size == 0 {
		return nil, sum
	}
	return io.TeeReader(io.LimitReader(&pattern{}, size), hash), sum
}

// pattern is an endless sequence of bytes.
type pattern struct{ next byte }

func (p *pattern) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = p.next
		p.next++
	}
	return len(b), nil
}
