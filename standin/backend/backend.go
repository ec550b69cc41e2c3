// Package backend simulates a backend server. The server announces itself to a
// node, runs requests in a fixed number of slots, drains, is slower after a cold
// start and rejects requests above its slots. It can inject faults that its health
// endpoint does not show.
package backend

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/standin/record"
)

// Options configures a simulated backend server.
type Options struct {
	ID      string
	Service string
	// Listen is the IP:port on which work and administration requests are served.
	Listen string
	// Calls configures the calls that runs make.
	Calls Calls
	// Nodes are the peer addresses of nodes, that of the server's own VM first. Without any, the
	// server does not announce itself.
	Nodes []string
	// Headers names the headers; nil selects header.DefaultDialect.
	Headers *header.Dialect
	Slots   int
	// Labels are announced and matched by the selectors of routes.
	Labels map[string]string
	// ServiceTime is the time that a request takes after the cold start.
	ServiceTime time.Duration
	// ColdStart is how long after the start requests take three times the
	// ServiceTime.
	ColdStart time.Duration
	// AnswerBytes is the size of the filler in a response.
	AnswerBytes int
	Seed        uint64
	Records     *record.Writer
}

// coldStartFactor multiplies the service time during the cold start.
const coldStartFactor = 3

// Server is a simulated backend server.
type Server struct {
	opts      Options
	started   time.Time
	faults    *faultInjector
	inUse     atomic.Int64
	draining  atomic.Bool
	released  atomic.Bool
	announcer *announcer
	listener  net.Listener
	http      *http.Server
	// calls counts the calls that this process has made.
	calls atomic.Uint64
}

// New binds the address and returns a server that is ready to Run.
func New(opts Options) (*Server, error) {
	if opts.Headers == nil {
		opts.Headers = header.DefaultDialect()
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, err
	}
	s := &Server{
		opts:     opts,
		started:  time.Now(),
		faults:   newFaultInjector(opts.Seed),
		listener: listener,
	}
	s.announcer = newAnnouncer(opts.Nodes, s.announcement)
	s.http = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second}
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves and announces until ctx ends. Then it drains and releases the lease.
func (s *Server) Run(ctx context.Context) error {
	s.recordRun(record.Run{Backend: s.opts.ID, Service: s.opts.Service}, record.Joined)
	announceCtx, stopAnnouncing := context.WithCancel(context.Background())
	defer stopAnnouncing()
	announcerStopped := make(chan struct{})
	go func() {
		defer close(announcerStopped)
		if len(s.opts.Nodes) > 0 {
			s.announcer.run(announceCtx)
		}
	}()
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.http.Serve(s.listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	s.draining.Store(true)
	stopAnnouncing()
	<-announcerStopped
	s.announceDeparture()
	s.waitUntilIdle(10 * time.Second)
	s.released.Store(true)
	s.announceDeparture()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return s.http.Shutdown(shutdownCtx)
}

// announceDeparture announces the drain or the release, and records that it was acknowledged.
func (s *Server) announceDeparture() {
	if len(s.opts.Nodes) > 0 && s.announcer.announceNow(context.Background()) {
		s.recordRun(record.Run{Backend: s.opts.ID, Service: s.opts.Service}, record.Left)
	}
}

// waitUntilIdle waits until no request has been in progress for 200 ms, or until
// the limit has passed.
func (s *Server) waitUntilIdle(limit time.Duration) {
	deadline := time.Now().Add(limit)
	idleSince := time.Now()
	for time.Now().Before(deadline) {
		if s.inUse.Load() > 0 {
			idleSince = time.Now()
		}
		if time.Since(idleSince) > 200*time.Millisecond {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *Server) announcement() *controlpb.AnnounceRequest {
	return &controlpb.AnnounceRequest{
		BackendId:     s.opts.ID,
		Service:       s.opts.Service,
		Address:       s.Addr(),
		Slots:         int32(s.opts.Slots),
		Labels:        s.opts.Labels,
		Draining:      s.draining.Load(),
		ReportedInUse: int32(s.faults.loadReport(int(s.inUse.Load()))),
		Released:      s.released.Load(),
		Incarnation:   uint64(s.started.UnixMilli()),
	}
}

// Handler returns the HTTP handler for work, health, load and administration.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]int{"in_use": s.faults.loadReport(int(s.inUse.Load()))})
	})
	r.Post("/admin/faults", s.setFaults)
	r.Post("/admin/drain", func(w http.ResponseWriter, r *http.Request) {
		s.draining.Store(true)
		w.WriteHeader(http.StatusNoContent)
	})
	r.Get("/admin/announcement", s.serveAnnouncement)
	r.NotFound(s.serveWork)
	r.MethodNotAllowed(s.serveWork)
	return r
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	f := Faults{LoadReport: -1}
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.faults.set(f, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

// NodeHeader is the header with the node to which the last announcement was sent, in the
// response that has this announcement in its wire format.
const NodeHeader = "Node"

// serveAnnouncement returns the last announcement, so that a test can deliver it late.
func (s *Server) serveAnnouncement(w http.ResponseWriter, _ *http.Request) {
	node, data := s.announcer.lastAnnouncement()
	w.Header().Set(NodeHeader, node)
	_, _ = w.Write(data)
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	names := s.opts.Headers
	header.Set(w.Header(), names.RequestID, r.Header.Get(names.RequestID))
	if s.inUse.Add(1) > int64(s.opts.Slots) {
		s.inUse.Add(-1)
		if names.RefusalsMeanNotRun {
			header.Set(w.Header(), names.NotRun, "1")
		}
		http.Error(w, "all slots in use", http.StatusServiceUnavailable)
		return
	}
	defer s.inUse.Add(-1)

	if instance := r.Header.Get(names.ExpectedInstance); instance != "" && instance != s.opts.ID {
		header.Set(w.Header(), names.NotRun, "1")
		http.Error(w, "another backend server is expected", http.StatusMisdirectedRequest)
		return
	}
	faults := s.faults.forRequest(r.URL.Path, time.Now())
	run := record.Run{
		Backend:   s.opts.ID,
		Service:   s.opts.Service,
		Operation: r.Header.Get(record.OperationHeader),
		Method:    r.Method,
		Path:      r.URL.Path,
		Target:    r.RequestURI,
		Key:       r.Header.Get(record.KeyHeader),
		RequestID: r.Header.Get(names.RequestID),
		Origin:    r.Header.Get(names.CallerService),
		Faulty:    faults.faulty,
	}
	s.recordRun(run, record.Started)
	switch {
	case faults.bodyReset && r.ContentLength != 0:
		s.resetDuringBody(w, r, run)
		return
	case faults.earlyCut && r.ContentLength != 0:
		s.cutEarlyResponse(w, run)
		return
	case faults.early && r.ContentLength != 0:
		s.respondBeforeBody(w, r, run, faults)
		return
	}
	err := s.receiveBody(r, &run)
	if err == nil {
		err = s.simulateWork(r.Context(), faults)
	}
	if err != nil {
		s.recordRun(run, record.Aborted)
		panic(http.ErrAbortHandler)
	}
	if faults.fail || !s.makeCalls(r, run) {
		s.recordRun(run, record.Aborted)
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	s.recordRun(run, record.Committed)
	s.writeResponse(w, r, faults, run.Bytes, run.BodyHash)
}

// receiveBody reads the body to its end, and records that it was received whole.
func (s *Server) receiveBody(r *http.Request, run *record.Run) error {
	hash := sha256.New()
	n, err := io.Copy(hash, r.Body)
	run.Bytes = n
	if err != nil {
		return err
	}
	run.BodyHash = hex.EncodeToString(hash.Sum(nil))
	s.recordRun(*run, record.Received)
	return nil
}

// earlyResponsePause is the time between a response and the read of the body that it
// preceded.
const earlyResponsePause = 100 * time.Millisecond

// respondBeforeBody responds, and then reads the body to its end.
func (s *Server) respondBeforeBody(w http.ResponseWriter, r *http.Request, run record.Run, faults requestFaults) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	s.recordRun(run, record.Committed)
	s.writeResponse(w, r, faults, 0, record.BodyNotReceived)
	_ = control.Flush()
	time.Sleep(earlyResponsePause)
	if s.receiveBody(r, &run) != nil {
		panic(http.ErrAbortHandler)
	}
}

// resetDuringBody resets the connection after the first bytes of the body.
func (s *Server) resetDuringBody(w http.ResponseWriter, r *http.Request, run record.Run) {
	_, _ = io.ReadFull(r.Body, make([]byte, 1))
	s.recordRun(run, record.Aborted)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resetConn(conn)
}

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// cutPause is the time between a part of a response and the reset of its connection.
const cutPause = 5 * time.Millisecond

// cutEarlyResponse sends a part of a response without a length before it has read the body, and
// resets the connection.
func (s *Server) cutEarlyResponse(w http.ResponseWriter, run record.Run) {
	s.recordRun(run, record.Aborted)
	header.Set(w.Header(), s.opts.Headers.Signature, "signed")
	conn, _, err := hijackWith(w, "200 OK", []byte(run.Operation+" part"))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(cutPause)
	resetConn(conn)
}

// hijackWith takes over the connection and sends a response with the given status line and
// body. Only the header can state a length. The reader gets what the client sends next.
func hijackWith(w http.ResponseWriter, status string, body []byte) (net.Conn, *bufio.Reader, error) {
	head := w.Header().Clone()
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil, err
	}
	_, _ = buf.WriteString("HTTP/1.1 " + status + "\r\n")
	_ = head.Write(buf)
	_, _ = buf.WriteString("\r\n")
	_, _ = buf.Write(body)
	_ = buf.Flush()
	return conn, buf.Reader, nil
}

func (s *Server) recordRun(run record.Run, phase record.Phase) {
	if s.opts.Records == nil {
		return
	}
	run.Time = time.Now()
	run.Phase = phase
	s.opts.Records.Write(run)
}

var errWorkHung = errors.New("work hung past its deadline")

func (s *Server) simulateWork(ctx context.Context, faults requestFaults) error {
	if faults.hang {
		<-ctx.Done()
		return errWorkHung
	}
	d := time.Duration(float64(s.opts.ServiceTime) * faults.slowFactor)
	if time.Since(s.started) < s.opts.ColdStart {
		d *= coldStartFactor
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeResponse writes the operation, the size and the hash of the received body, and
// a filler. The hash of the whole response body is sent in a header, so that a caller
// can detect a truncated response.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, faults requestFaults, received int64, receivedHash string) {
	if faults.reset {
		panic(http.ErrAbortHandler)
	}
	operation := r.Header.Get(record.OperationHeader)
	body := []byte(operation + " " + strconv.FormatInt(received, 10) + " " + receivedHash + "\n")
	filler := make([]byte, s.opts.AnswerBytes)
	for i := range filler {
		filler[i] = 'a' + byte(i%26)
	}
	body = append(body, filler...)
	sum := sha256.Sum256(body)
	w.Header().Set(record.BodyHashHeader, hex.EncodeToString(sum[:]))
	w.Header().Set(record.OperationHeader, operation)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(w.Header(), s.opts.Headers.Signature, "signed")
	if faults.status != "" {
		if conn, _, err := hijackWith(w, faults.status+" Invalid", body); err == nil {
			_ = conn.Close()
		}
		return
	}
	if faults.extra && sendExtraBytes(w, body) {
		return
	}
	w.WriteHeader(http.StatusOK)
	if faults.truncate {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(r.URL.Path, feedPath) {
		s.streamBody(w, body)
		return
	}
	_, _ = w.Write(body)
}

// feedPath begins the paths whose responses are streamed, in feedPieces pieces with a pause of
// feedPause before each.
const (
	feedPath   = "/feeds/"
	feedPieces = 5
	feedPause  = 40 * time.Millisecond
)

func (s *Server) streamBody(w http.ResponseWriter, body []byte) {
	control := http.NewResponseController(w)
	for piece := range slices.Chunk(body, len(body)/feedPieces+1) {
		time.Sleep(feedPause)
		_, _ = w.Write(piece)
		_ = control.Flush()
	}
}

// extraBytesWait bounds the wait for the request that extra bytes are to precede.
const extraBytesWait = 2 * time.Second

// sendExtraBytes sends a response and, after the next request has arrived on the connection,
// bytes that look like a response to it. It reports false if nothing was sent.
func sendExtraBytes(w http.ResponseWriter, body []byte) bool {
	conn, received, err := hijackWith(w, "200 OK", body)
	if err != nil {
		return false
	}
	go func() {
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(extraBytesWait))
		if _, err := received.ReadByte(); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nextra\n")
		}
	}()
	return true
}
