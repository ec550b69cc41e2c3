// Package record defines the JSON lines that the stand-ins print, so that the
// answers that callers saw can be compared with the work that backend servers
// ran, also when a process was killed.
package record

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// OperationHeader carries the identifier that a caller gives to one operation.
// It is the same on every attempt.
const OperationHeader = "Operation-Id"

// BodyHashHeader carries the hash of an answer's body.
const BodyHashHeader = "Body-Hash"

// Phase is the progress of one run on a backend server.
type Phase string

// Phases of a run.
const (
	Started   Phase = "started"
	Committed Phase = "committed"
	Aborted   Phase = "aborted"
)

// Run is one line of a backend server's log.
type Run struct {
	Time      time.Time `json:"time"`
	Backend   string    `json:"backend"`
	Service   string    `json:"service"`
	Operation string    `json:"operation"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Phase     Phase     `json:"phase"`
	// Bytes is the size of the received body.
	Bytes int64 `json:"bytes,omitempty"`
	// Sick says that a fault was active when the run began.
	Sick bool `json:"sick,omitempty"`
}

// Result is what a caller saw of one operation.
type Result struct {
	Time      time.Time `json:"time"`
	Operation string    `json:"operation"`
	Service   string    `json:"service"`
	Kind      string    `json:"kind"`
	// Idempotent says that the operation may run more than once.
	Idempotent bool   `json:"idempotent"`
	Outcome    string `json:"outcome"`
	Status     int    `json:"status"`
	// Wrong says that the answer was not the whole answer to this operation.
	Wrong         bool          `json:"wrong,omitempty"`
	Error         string        `json:"error,omitempty"`
	Latency       time.Duration `json:"latency"`
	BodyBytesSent int64         `json:"body_bytes_sent,omitempty"`
}

// Writer writes one JSON line for each record. It is safe for concurrent use.
type Writer struct {
	mu  sync.Mutex
	enc *json.Encoder
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{enc: json.NewEncoder(w)} }

// Write writes a record as one line.
func (w *Writer) Write(v any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.enc.Encode(v)
}
