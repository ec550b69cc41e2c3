package backend

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/standin/record"
)

// callsPerRun is the number of calls that a run makes at the same time.
const callsPerRun = 2

// Calls configures the calls that runs make to another service. A run whose calls fail fails.
type Calls struct {
	// Node is the address for callers of the node on the VM. No calls are made if it is empty.
	Node string
	// Service is the service that is called, and Host selects it.
	Service, Host string
	// PathPrefix begins the paths of the requests that make calls.
	PathPrefix string
}

// makeCalls makes the calls of a run and reports whether all of them were answered. Each call
// has an identity of its own, also if the request runs again.
func (s *Server) makeCalls(r *http.Request, run record.Run) bool {
	if s.opts.Calls.Node == "" || !strings.HasPrefix(r.URL.Path, s.opts.Calls.PathPrefix) {
		return true
	}
	var failed atomic.Bool
	var calls sync.WaitGroup
	for range callsPerRun {
		calls.Go(func() {
			if !s.makeCall(r, run) {
				failed.Store(true)
			}
		})
	}
	calls.Wait()
	return !failed.Load()
}

func (s *Server) makeCall(r *http.Request, run record.Run) bool {
	n := s.calls.Add(1)
	call := record.Run{
		Backend: s.opts.ID, Service: s.opts.Calls.Service, Operation: fmt.Sprintf("%s_%s-%d", run.Operation, s.opts.ID, n),
		Method: http.MethodGet, Target: fmt.Sprintf("/items/call?n=%d", n), Origin: s.opts.Service,
	}
	req, err := http.NewRequestWithContext(r.Context(), call.Method, "http://"+s.opts.Calls.Node+call.Target, nil)
	if err != nil {
		return false
	}
	req.Host = s.opts.Calls.Host
	req.Header.Set(record.OperationHeader, call.Operation)
	names := s.opts.Headers
	header.Set(req.Header, names.Deadline, r.Header.Get(names.Deadline))
	if names.UseCallerRequestID {
		call.RequestID = call.Operation
		header.Set(req.Header, names.RequestID, call.RequestID)
	}
	s.recordRun(call, record.Called)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
