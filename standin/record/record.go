// Package record defines the JSON lines that simulated callers and backend servers
// write. They allow a comparison of the responses that callers received with the
// work that backend servers ran. A line is written as soon as its event happens, so
// that the lines of a killed process are not lost.
package record

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// OperationHeader is the header with the identifier that a caller assigns to an
// operation. All attempts of the operation have the same identifier.
const OperationHeader = "Operation-Id"

// KeyHeader is the header with the key by which a backend server could recognise a repeated
// operation. Nodes pass it on as it is.
const KeyHeader = "Idempotency-Key"

// BodyHashHeader is the header with the hash of the body of a response.
const BodyHashHeader = "Body-Hash"

// BodyNotReceived stands for the hash of the request's body in the response of a backend
// server that has not read the body yet.
const BodyNotReceived = "-"

// Phase is the progress of a run, or of the backend server itself.
type Phase string

// Phases of a run. Each run has a line for its start, and normally one for its end:
// committed if the work was done, aborted if not. A run that reads its body to the end has
// a line for that too, which may come after its commit.
const (
	Started   Phase = "started"
	Received  Phase = "received"
	Committed Phase = "committed"
	Aborted   Phase = "aborted"
)

// Called is the phase of a call that a run makes: a request of the backend server's own. The
// line has the identity of the call, and the service that is called.
const Called Phase = "called"

// Phases of a backend server: it starts, and a node acknowledges that it leaves.
const (
	Joined Phase = "joined"
	Left   Phase = "left"
)

// Run is a line in the log of a backend server. A run is the execution of one
// request.
type Run struct {
	Time      time.Time `json:"time"`
	Backend   string    `json:"backend"`
	Service   string    `json:"service"`
	Operation string    `json:"operation"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	// Target is the path with the query as it was received.
	Target string `json:"target,omitempty"`
	// Key is the value of KeyHeader.
	Key string `json:"key,omitempty"`
	// RequestID is the identifier that a node gave the request.
	RequestID string `json:"request_id,omitempty"`
	// Origin is the service on the VM where the request began.
	Origin string `json:"origin,omitempty"`
	Phase  Phase  `json:"phase"`
	// Bytes is the size of the received body.
	Bytes int64 `json:"bytes,omitempty"`
	// BodyHash is the hash of a body that was received whole.
	BodyHash string `json:"body_hash,omitempty"`
	// Faulty says that the injected faults in effect at the start of the run could
	// affect it.
	Faulty bool `json:"sick,omitempty"`
}

// Result is the result of an operation as its caller saw it.
type Result struct {
	Time      time.Time `json:"time"`
	Operation string    `json:"operation"`
	Service   string    `json:"service"`
	Kind      string    `json:"kind"`
	Method    string    `json:"method,omitempty"`
	Target    string    `json:"target,omitempty"`
	Key       string    `json:"key,omitempty"`
	// RequestID is the identifier that the caller gave the request. It is empty if nodes do.
	RequestID string `json:"request_id,omitempty"`
	// Origin is the service on the VM of the node to which the operation was sent.
	Origin string `json:"origin,omitempty"`
	// Idempotent says that the operation may run more than once.
	Idempotent bool   `json:"idempotent"`
	Outcome    string `json:"outcome"`
	Status     int    `json:"status"`
	// Wrong says that the response was not the complete response to this operation.
	Wrong   bool          `json:"wrong,omitempty"`
	Error   string        `json:"error,omitempty"`
	Latency time.Duration `json:"latency"`
	// BodyBytes and BodyHash are the size and the hash of the whole body.
	BodyBytes int64  `json:"body_bytes,omitempty"`
	BodyHash  string `json:"body_hash,omitempty"`
	// Cut says how the caller broke off its body. It is empty if it did not.
	Cut string `json:"cut,omitempty"`
	// SentAt is when the last byte of the request was sent. It is zero if it was not.
	SentAt time.Time `json:"sent_at,omitzero"`
}

// Writer writes records as JSON lines. It is safe for concurrent use.
type Writer struct {
	mu  sync.Mutex
	enc *json.Encoder
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{enc: json.NewEncoder(w)} }

// Write writes a record as one JSON line. Errors of the underlying writer are
// ignored.
func (w *Writer) Write(v any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.enc.Encode(v)
}
