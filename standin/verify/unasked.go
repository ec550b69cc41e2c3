package verify

import (
	"wigeonspring.example/wigeonspring/standin/record"
)

// Unasked counts the runs that no caller asked for, by how they differ from what was sent.
type Unasked struct {
	// Unknown counts runs of operations that no caller and no backend server sent.
	Unknown int `json:"unknown"`
	// OtherRequest counts runs with another method, target, key or identifier of the caller than
	// was sent.
	OtherRequest int `json:"other_request"`
	// OtherService counts runs at a backend server of another service than the operation was
	// sent to.
	OtherService int `json:"other_service"`
	// OtherOrigin counts runs with another origin service than that of the VM to which the
	// operation was sent.
	OtherOrigin int `json:"other_origin"`
	// SharedID counts runs whose request identifier another operation has too.
	SharedID int `json:"shared_id"`
}

func (u Unasked) total() int {
	return u.Unknown + u.OtherRequest + u.OtherService + u.OtherOrigin + u.SharedID
}

// request is the identity of a request as it was sent.
type request struct{ service, method, target, key, origin, id string }

// AddUnasked compares each run with the operation that was sent. results are those of all
// callers that sent anything to the backend servers, and runs also hold the calls that
// backend servers made. Bodies are compared by Compare.
func (r *Report) AddUnasked(runs []record.Run, results []record.Result) {
	sent := make(map[string]request, len(results))
	for _, res := range results {
		sent[res.Operation] = request{res.Service, res.Method, res.Target, res.Key, res.Origin, res.RequestID}
	}
	for _, run := range runs {
		if run.Phase == record.Called {
			sent[run.Operation] = request{run.Service, run.Method, run.Target, run.Key, run.Origin, run.RequestID}
		}
	}
	operations := map[string]string{}
	for _, run := range runs {
		if run.Phase == record.Started {
			r.checkAsked(run, sent)
			r.checkRequestID(run, operations)
		}
	}
}

func (r *Report) checkAsked(run record.Run, sent map[string]request) {
	want, known := sent[run.Operation]
	switch {
	case !known:
		r.Unasked.Unknown++
		r.addExample("nobody sent: %q %s %q at %s", run.Operation, run.Method, run.Target, run.Backend)
		return
	case run.Method != want.method || run.Target != want.target || run.Key != want.key || want.id != "" && run.RequestID != want.id:
		r.Unasked.OtherRequest++
		r.addExample("other request: %s ran as %s %q with key %q and id %q, sent %s %q with key %q and id %q",
			run.Operation, run.Method, run.Target, run.Key, run.RequestID, want.method, want.target, want.key, want.id)
	}
	if run.Service != want.service {
		r.Unasked.OtherService++
		r.addExample("other service: %s ran at %s, sent to %s", run.Operation, run.Backend, want.service)
	}
	if run.Origin != want.origin {
		r.Unasked.OtherOrigin++
		r.addExample("other origin: %s ran with %q, sent at %q", run.Operation, run.Origin, want.origin)
	}
}

// checkRequestID checks that no two operations have the same request identifier. operations
// holds the operation of each identifier seen so far.
func (r *Report) checkRequestID(run record.Run, operations map[string]string) {
	if run.RequestID == "" {
		return
	}
	if first, seen := operations[run.RequestID]; seen && first != run.Operation {
		r.Unasked.SharedID++
		r.addExample("shared identifier: %s has that of %s, %s", run.Operation, first, run.RequestID)
	}
	operations[run.RequestID] = run.Operation
}
