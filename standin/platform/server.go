package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	api "wigeonspring.example/wigeonspring/internal/state/platform"
)

// maxWait limits the waiting time of a watch, as the real platform does.
const maxWait = time.Minute

// Options configures the store.
type Options struct {
	// History is the number of revisions kept for watches; 0 means 4096.
	History int
}

// Server serves the store over HTTP. Besides the object API it serves
// GET /admin/calls and GET and POST /admin/faults, which no fault affects.
type Server struct {
	store  *store
	router chi.Router
}

// New returns a server with an empty store.
func New(o Options) *Server {
	s := &Server{store: newStore(o.History), router: chi.NewRouter()}
	s.router.Get(api.PathObject, s.get)
	s.router.Put(api.PathObject, s.put)
	s.router.Delete(api.PathObject, s.delete)
	s.router.Get(api.PathObjects, s.list)
	s.router.Get(api.PathWatch, s.watch)
	s.router.Get("/admin/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	s.router.Get("/admin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	s.router.Post("/admin/faults", s.postFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) { s.store.setFaults(f) }

// Faults returns the injected faults. Their LoseAnswers is the number of responses
// that are still to be lost.
func (s *Server) Faults() Faults { return s.store.getFaults() }

// Calls returns the number of calls of each kind.
func (s *Server) Calls() Calls { return s.store.getCalls() }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has closed its connection.
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errResponseLost):
		// This closes the connection without a response.
		panic(http.ErrAbortHandler)
	case errors.Is(err, api.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, api.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, api.ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, api.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, api.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func queryNumber(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		http.Error(w, "query parameter "+name+" must be a number", http.StatusBadRequest)
	}
	return n, err == nil
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	obj, err := s.store.get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, obj)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, revision, err := s.store.list(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, api.ObjectList{Objects: objects, Revision: revision})
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	version, ok := queryNumber(w, r, "version")
	if !ok {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxValueBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			err = api.ErrTooLarge
		}
		writeError(w, err)
		return
	}
	obj, err := s.store.put(r.Context(), r.URL.Query().Get("key"), value, version)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, obj)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	version, ok := queryNumber(w, r, "version")
	if !ok {
		return
	}
	if err := s.store.delete(r.Context(), r.URL.Query().Get("key"), version); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	since, ok := queryNumber(w, r, "since")
	if !ok {
		return
	}
	millis, ok := queryNumber(w, r, "wait_ms")
	if !ok {
		return
	}
	wait := maxWait
	if millis < uint64(maxWait.Milliseconds()) {
		wait = time.Duration(millis) * time.Millisecond
	}
	objects, revision, err := s.store.watch(r.Context(), r.URL.Query().Get("prefix"), since, wait)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, api.ObjectList{Objects: objects, Revision: revision})
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.DelayMillis < 0 || f.LoseAnswers < 0 {
		http.Error(w, "delay_ms and lose_answers must not be negative", http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}
