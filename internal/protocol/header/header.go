// Package header names the HTTP headers between nodes and towards callers, and
// the outcomes of a request.
package header

// Headers of requests and responses.
const (
	// RequestID identifies a request on every hop. A response carries the same.
	RequestID = "Wigeonspring-Request-Id"
	// Outcome tells a caller what happened to its request.
	Outcome = "Wigeonspring-Outcome"
	// Reason is a short machine-readable cause for an outcome other than answered.
	Reason = "Wigeonspring-Reason"
	// Caller identifies the team that sent the request.
	Caller = "Wigeonspring-Caller"
	// DeadlineMillis is the time left for the request in milliseconds.
	DeadlineMillis = "Wigeonspring-Deadline-Ms"
	// AnswerWithinMillis is the time in milliseconds within which the answer of an
	// attempt must begin, so that another attempt can follow.
	AnswerWithinMillis = "Wigeonspring-Answer-Within-Ms"
	// Attempt is the number of the attempt, starting at 1.
	Attempt = "Wigeonspring-Attempt"
	// Backend is the backend server that an ingress node chose.
	Backend = "Wigeonspring-Backend"
	// OwnerIncarnation is the incarnation of the owner that the ingress node
	// addressed; another incarnation refuses the request.
	OwnerIncarnation = "Wigeonspring-Owner-Incarnation"
	// Route is the name of the matched route.
	Route = "Wigeonspring-Route"
	// Service is the name of the service.
	Service = "Wigeonspring-Service"
	// Region is the region of the ingress node.
	Region = "Wigeonspring-Region"
	// Baseline is the ingress node's view of the service without the chosen
	// backend server.
	Baseline = "Wigeonspring-Baseline"
	// Load is the load of the backend server as its owner sees it.
	Load = "Wigeonspring-Load"
	// Rank orders requests that compete for a slot, 0 first.
	Rank = "Wigeonspring-Rank"
	// ObjectiveMillis is the time left, in milliseconds, in which an answer is
	// fully useful to the caller.
	ObjectiveMillis = "Wigeonspring-Objective-Ms"
	// Idempotent marks a request that may run more than once.
	Idempotent = "Wigeonspring-Idempotent"
	// Trial marks a request that may test a suspect backend server.
	Trial = "Wigeonspring-Trial"
	// Repeat marks an attempt of a request that may have reached a backend server
	// before.
	Repeat = "Wigeonspring-Repeat"
	// Explore marks an attempt of a request that may run again or was tried elsewhere
	// before, at a service that is short.
	Explore = "Wigeonspring-Explore"
	// NoBetterBackend marks an attempt that a suspect backend server may serve, because no
	// other is better for it.
	NoBetterBackend = "Wigeonspring-No-Better"
	// CallerService names the service on the VM where the request began.
	CallerService = "Wigeonspring-Caller-Service"
	// ExpectedInstance and Instance name backend servers; see Dialect.
	ExpectedInstance = "Wigeonspring-Expected-Instance"
	Instance         = "Wigeonspring-Instance"
	// BackendNotRun marks an answer of a backend server that did not run the request.
	BackendNotRun = "Wigeonspring-Backend-Not-Run"
)

// Outcomes of a request.
const (
	// Answered: the backend server's whole answer follows.
	Answered = "answered"
	// NotRun: no backend server began the request.
	NotRun = "not-run"
	// Unknown: the request may have run; it must not be repeated blindly.
	Unknown = "unknown"
	// Failed: an idempotent request failed on every attempt.
	Failed = "failed"
)
