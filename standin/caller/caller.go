// Package caller simulates callers. It generates an open-loop load of idempotent
// reads, non-idempotent bookings and streamed uploads, and checks that each
// response is complete and belongs to its request.
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
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/standin/record"
)

// Kinds of operations. A read is idempotent, a booking and an upload are not.
const (
	Read    = "read"
	Booking = "booking"
	Upload  = "upload"
	// Hold is an operation with a key. It may run more than once.
	Hold = "hold"
	// Feed is an idempotent read whose response is streamed.
	Feed = "feed"
)

// kindPaths holds the path, or its beginning, of the operations of a kind.
var kindPaths = map[string]string{Read: "/items/", Booking: "/bookings", Upload: "/photos", Hold: "/holds/new", Feed: "/feeds/"}

// Options configures the load.
type Options struct {
	// Targets are caller addresses of nodes, or addresses of backend servers.
	Targets []string
	Service string
	// Host is the HTTP host name that selects the service.
	Host string
	// Rate is the number of operations started per second. It does not depend on
	// the responses.
	Rate     float64
	Duration time.Duration
	// BookingPercent and UploadPercent are the shares of bookings and uploads among
	// the operations. All others are reads.
	BookingPercent float64
	UploadPercent  float64
	UploadBytes    int64
	// HoldPercent and FeedPercent are the shares of the operations of these kinds.
	HoldPercent float64
	FeedPercent float64
	// NewConnectionPercent is the share of the operations that are sent on connections which
	// are not kept.
	NewConnectionPercent int
	// HTTP2Percent is the share of the operations, of those that are not segmented, that are sent
	// by HTTP/2 without TLS.
	HTTP2Percent int
	// Origins, if set, holds the service on the VM of each target. Operations then have
	// targets that a decoder changes, and name a false origin.
	Origins map[string]string
	// Headers names the headers of the nodes; nil selects header.DefaultDialect.
	Headers *header.Dialect
	// ChunkedPercent is the share of the bodies that are sent in chunks, without a length.
	ChunkedPercent int
	// SegmentedPercent is the share of the operations that callers send on connections of
	// their own, their bodies in several segments with pauses. Such a caller goes on sending
	// when the response comes before the end of its body.
	SegmentedPercent float64
	// LargestSegmented is the size of the largest segmented body in bytes; 0 selects
	// maxSegmentedBody, and no uploads below largeBody.
	LargestSegmented int64
	// SegmentPause is the longest pause between two segments; 0 selects maxSegmentPause.
	SegmentPause time.Duration
	// CutPercent is the share of the segmented bodies that callers break off.
	CutPercent float64
	// Timeout is how long a caller waits for a complete response.
	Timeout time.Duration
	// Teams is the number of teams in whose name operations are sent.
	Teams int
	Seed  uint64
	// IDPrefix makes operation identifiers unique among load generators.
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
	opts      Options
	client    *http.Client
	http2     *http.Client
	idle      idleConnections
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	summary   Summary
}

const maxLatency = int64(2 * time.Minute)

// New returns a Generator.
func New(opts Options) *Generator {
	if opts.Headers == nil {
		opts.Headers = header.DefaultDialect()
	}
	var http2 http.Protocols
	http2.SetUnencryptedHTTP2(true)
	return &Generator{
		opts:      opts,
		client:    newClient(opts.Timeout, nil),
		http2:     newClient(opts.Timeout, &http2),
		latencies: hdrhistogram.New(int64(time.Microsecond), maxLatency, 3),
		summary:   Summary{Outcomes: map[string]int64{}},
	}
}

// newClient returns a client for the given protocols; nil selects HTTP/1.1.
func newClient(timeout time.Duration, protocols *http.Protocols) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, Protocols: protocols},
	}
}

// Run sends operations until the duration has passed or ctx ends. Then it waits
// for the responses and returns the summary.
func (g *Generator) Run(ctx context.Context) Summary {
	rng := rand.New(rand.NewPCG(g.opts.Seed, 7))
	segmentRNG := rand.New(rand.NewPCG(g.opts.Seed, 8))
	start := time.Now()
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		due := start.Add(time.Duration(float64(i) / g.opts.Rate * float64(time.Second)))
		if due.Sub(start) >= g.opts.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		op := g.newOperation(i, rng)
		if g.opts.SegmentedPercent > 0 {
			g.segment(&op, segmentRNG)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.recordResult(g.execute(op, due))
		}()
	}
	wg.Wait()
	g.idle.close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summary.P50 = time.Duration(g.latencies.ValueAtQuantile(50))
	g.summary.P99 = time.Duration(g.latencies.ValueAtQuantile(99))
	g.summary.Max = time.Duration(g.latencies.Max())
	return g.summary
}

type operation struct {
	id, kind, method, path, target, team string
	key                                  string
	bodyBytes                            int64
	chunked, newConnection, http2        bool
	// segments is nil if the body is sent at once by net/http.
	segments *segments
}

func (g *Generator) newOperation(i int, rng *rand.Rand) operation {
	op := operation{
		id:     fmt.Sprintf("%s-%d", g.opts.IDPrefix, i),
		kind:   Read,
		method: http.MethodGet,
		path:   kindPaths[Read] + fmt.Sprint(rng.IntN(1000)),
		target: g.opts.Targets[rng.IntN(len(g.opts.Targets))],
		team:   fmt.Sprintf("team-%d", rng.IntN(max(g.opts.Teams, 1))),
		// Spreads the choice over successive operations without a random number.
		chunked:       i*37%100 < g.opts.ChunkedPercent,
		newConnection: i*53%100 < g.opts.NewConnectionPercent,
		http2:         i*71%100 < g.opts.HTTP2Percent,
	}
	share := rng.Float64() * 100
	booked := g.opts.BookingPercent
	uploaded := booked + g.opts.UploadPercent
	held := uploaded + g.opts.HoldPercent
	switch {
	case share < booked:
		op.kind, op.method, op.path, op.bodyBytes = Booking, http.MethodPost, kindPaths[Booking], 200
	case share < uploaded:
		op.kind, op.method, op.path, op.bodyBytes = Upload, http.MethodPost, kindPaths[Upload], g.opts.UploadBytes
	case share < held:
		op.kind, op.method, op.path, op.key, op.bodyBytes = Hold, http.MethodPost, kindPaths[Hold], "key-"+op.id, 300
	case share < held+g.opts.FeedPercent:
		op.kind, op.path = Feed, kindPaths[Feed]+fmt.Sprint(i)
	}
	if g.opts.Origins != nil {
		if op.kind != Hold {
			op.path = strings.TrimSuffix(op.path, "/") + "/a%2fpart"
		}
		op.path += fmt.Sprintf("?z=%d&path=a%%2fb&flag", i)
	}
	return op
}

func (g *Generator) execute(op operation, due time.Time) record.Result {
	res := record.Result{
		Operation:  op.id,
		Service:    g.opts.Service,
		Kind:       op.kind,
		Method:     op.method,
		Target:     op.path,
		Key:        op.key,
		Origin:     g.opts.Origins[op.target],
		Idempotent: op.kind == Read || op.kind == Hold || op.kind == Feed,
		BodyBytes:  op.bodyBytes,
		BodyHash:   hashBody(g.opts.Host, op.id, op.bodyBytes),
	}
	var body io.Reader
	if op.bodyBytes > 0 {
		body = newBody(g.opts.Host, op.id, op.bodyBytes)
	}
	req, err := http.NewRequest(op.method, "http://"+op.target+op.path, body)
	if err != nil {
		res.Outcome, res.Error = "transport-error", err.Error()
		return res
	}
	if body != nil {
		req.ContentLength = op.bodyBytes
		if op.chunked {
			req.ContentLength = -1
		}
	}
	req.Host = g.opts.Host
	req.Header.Set(record.OperationHeader, op.id)
	req.Header.Set(header.Caller, op.team)
	if op.key != "" {
		req.Header.Set(record.KeyHeader, op.key)
	}
	if g.opts.Origins != nil {
		header.Set(req.Header, g.opts.Headers.CallerService, "forged")
	}
	if g.opts.Headers.UseCallerRequestID {
		res.RequestID = op.id
		header.Set(req.Header, g.opts.Headers.RequestID, op.id)
		header.Set(req.Header, g.opts.Headers.Deadline, header.FormatDeadline(g.opts.Timeout))
	}
	req.Close = op.newConnection
	switch {
	case op.segments != nil:
		g.exchangeSegmented(op, req, &res)
	case op.http2:
		exchange(g.http2, req, &res)
	default:
		exchange(g.client, req, &res)
	}
	res.Time = time.Now()
	res.Latency = time.Since(due)
	return res
}

// errRequestResent is the error of an operation whose request net/http sent a second
// time, as it does with a GET whose connection was closed. The response to the second
// request says nothing about the first one.
var errRequestResent = errors.New("the HTTP client sent the request again on another connection")

func exchange(client *http.Client, req *http.Request, res *record.Result) {
	attempts := 0
	var sentAt atomic.Pointer[time.Time]
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { attempts++ },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if now := time.Now(); info.Err == nil {
				sentAt.Store(&now)
			}
		},
	}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if t := sentAt.Load(); t != nil && attempts == 1 {
		res.SentAt = *t
	}
	if err == nil && attempts > 1 {
		resp.Body.Close()
		err = errRequestResent
	}
	if err != nil {
		res.Outcome, res.Error = "transport-error", err.Error()
		return
	}
	defer resp.Body.Close()
	readResponse(resp, res)
}

// readResponse reads a response and sets the outcome of its operation.
func readResponse(resp *http.Response, res *record.Result) {
	res.Status = resp.StatusCode
	res.Outcome = resp.Header.Get(header.Outcome)
	body, err := io.ReadAll(resp.Body)
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
	if err := checkResponse(res.Operation, resp.Header, body, res.BodyHash); err != nil {
		res.Wrong, res.Error = true, err.Error()
	}
}

// checkResponse checks that a response is complete, that it belongs to the operation
// and that the backend server received the body that was sent.
func checkResponse(operation string, h http.Header, body []byte, sentHash string) error {
	sum := sha256.Sum256(body)
	if hex.EncodeToString(sum[:]) != h.Get(record.BodyHashHeader) {
		return errors.New("answer is not whole")
	}
	firstLine, _, _ := strings.Cut(string(body), "\n")
	fields := strings.Fields(firstLine)
	if len(fields) != 3 || fields[0] != operation {
		return fmt.Errorf("answer belongs to another operation: %q", firstLine)
	}
	if fields[2] != sentHash && fields[2] != record.BodyNotReceived {
		return errors.New("backend server received another body")
	}
	return nil
}

func (g *Generator) recordResult(res record.Result) {
	if g.opts.Records != nil {
		g.opts.Records.Write(res)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summary.Sent++
	g.summary.Outcomes[res.Outcome]++
	if res.Wrong {
		g.summary.Wrong++
	}
	if res.Outcome == header.Answered {
		_ = g.latencies.RecordValue(int64(res.Latency))
	}
}

// newBody returns the body of an operation. It is generated while it is read, and no other
// operation has the same. It begins with a request, which runs if the body is not read as one.
func newBody(host, operation string, size int64) io.Reader {
	embedded := embeddedRequest(header.DefaultDialect(), host, "body-of-"+operation)
	return io.LimitReader(io.MultiReader(strings.NewReader(embedded), rand.NewChaCha8(sha256.Sum256([]byte(operation)))), size)
}

// embeddedRequest returns a request that runs if what contains it is misread. No caller sends it
// as a request.
func embeddedRequest(names *header.Dialect, host, operation string) string {
	id := ""
	if names.UseCallerRequestID {
		id = names.RequestID + ": " + operation + "\r\n"
	}
	return fmt.Sprintf("POST %s/hidden HTTP/1.1\r\nHost: %s\r\n%s%s: %s\r\nContent-Length: 0\r\n\r\n",
		kindPaths[Booking], host, id, record.OperationHeader, operation)
}

// hashBody returns the hash of the body of an operation.
func hashBody(host, operation string, size int64) string {
	hash := sha256.New()
	_, _ = io.Copy(hash, newBody(host, operation, size)) // Neither of them fails.
	return hex.EncodeToString(hash.Sum(nil))
}
