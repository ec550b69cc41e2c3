// Package backend is a stand-in for a backend server. It announces itself to a
// node, runs requests in a fixed number of slots, drains, starts cold, sheds
// load and can be told to fail in ways that its health endpoint does not show.
package backend

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/standin/record"
)

// Options configures a stand-in.
type Options struct {
	ID      string
	Service string
	// Listen is the address for work and administration, IP:port.
	Listen string
	// Nodes are the peer addresses of nodes, the node of the own VM first.
	Nodes []string
	Slots int
	// Labels are announced and matched by the selectors of routes.
	Labels map[string]string
	// ServiceTime is the time that a request takes in a warm backend server.
	ServiceTime time.Duration
	// ColdStart is how long after the start requests take three times as long.
	ColdStart time.Duration
	// AnswerBytes is the size of an answer's filler.
	AnswerBytes int
	Seed        uint64
	Records     *record.Writer
}

const coldFactor = 3

// Server is a running stand-in.
type Server struct {
	opts      Options
	started   time.Time
	faults    *faultSwitch
	inUse     atomic.Int64
	draining  atomic.Bool
	released  atomic.Bool
	announcer *announcer
	listener  net.Listener
	http      *http.Server
}

// New binds the address and returns a stand-in that is ready to Run.
func New(opts Options) (*Server, error) {
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, err
	}
	s := &Server{
		opts:     opts,
		started:  time.Now(),
		faults:   newFaultSwitch(opts.Seed),
		listener: listener,
	}
	s.announcer = newAnnouncer(opts.Nodes, s.announcement)
	s.http = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second}
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves and announces until ctx ends, then drains and releases the lease.
func (s *Server) Run(ctx context.Context) error {
	announceCtx, stopAnnouncing := context.WithCancel(context.Background())
	defer stopAnnouncing()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		s.announcer.run(announceCtx)
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
	<-announced
	s.announcer.sendNow(context.Background())
	s.waitIdle(10 * time.Second)
	s.released.Store(true)
	s.announcer.sendNow(context.Background())
	shutdownCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return s.http.Shutdown(shutdownCtx)
}

// waitIdle waits until no work has been in progress for a moment.
func (s *Server) waitIdle(limit time.Duration) {
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
	r.NotFound(s.work)
	r.MethodNotAllowed(s.work)
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

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	if s.inUse.Add(1) > int64(s.opts.Slots) {
		s.inUse.Add(-1)
		http.Error(w, "all slots in use", http.StatusServiceUnavailable)
		return
	}
	defer s.inUse.Add(-1)

	p := s.faults.plan(r.URL.Path, time.Now())
	run := record.Run{
		Backend:   s.opts.ID,
		Service:   s.opts.Service,
		Operation: r.Header.Get(record.OperationHeader),
		Method:    r.Method,
		Path:      r.URL.Path,
		Sick:      p.sick,
	}
	s.note(run, record.Started)
	bodyHash := sha256.New()
	n, err := io.Copy(bodyHash, r.Body)
	run.Bytes = n
	if err == nil {
		err = s.spendServiceTime(r.Context(), p)
	}
	if err != nil {
		s.note(run, record.Aborted)
		panic(http.ErrAbortHandler)
	}
	if p.fail {
		s.note(run, record.Aborted)
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	s.note(run, record.Committed)
	s.answer(w, r, p, n, hex.EncodeToString(bodyHash.Sum(nil)))
}

func (s *Server) note(run record.Run, phase record.Phase) {
	if s.opts.Records == nil {
		return
	}
	run.Time = time.Now()
	run.Phase = phase
	s.opts.Records.Write(run)
}

var errHung = errors.New("work hung past its deadline")

func (s *Server) spendServiceTime(ctx context.Context, p plan) error {
	if p.hang {
		<-ctx.Done()
		return errHung
	}
	d := time.Duration(float64(s.opts.ServiceTime) * p.slow)
	if time.Since(s.started) < s.opts.ColdStart {
		d *= coldFactor
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

// answer writes the operation, the hash of the received body and a filler. The
// hash of the whole answer is a header, so that a caller can detect a cut.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, p plan, received int64, receivedHash string) {
	if p.reset {
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
	if id := r.Header.Get(header.RequestID); id != "" {
		w.Header().Set(header.RequestID, id)
	}
	w.WriteHeader(http.StatusOK)
	if p.truncate {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}
