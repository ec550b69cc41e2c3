// Package header defines the HTTP headers that nodes exchange with each other, with
// callers and with backend servers, and the outcomes of a request.
package header

// Headers of requests and responses.
const (
	// RequestID identifies a request on every hop. The response has the same value.
	RequestID = "Wigeonspring-Request-Id"
	// Outcome is the outcome of the request, in the response to the caller.
	Outcome = "Wigeonspring-Outcome"
	// Reason is a short machine-readable cause for an outcome other than answered.
	Reason = "Wigeonspring-Reason"
	// Caller identifies the team that sent the request.
	Caller = "Wigeonspring-Caller"
	// CallerWeight is the share of the caller in the slots relative to others; absent means 1.
	CallerWeight = "Wigeonspring-Caller-Weight"
	// DeadlineMillis is the time left for the request in milliseconds.
	DeadlineMillis = "Wigeonspring-Deadline-Ms"
	// AnswerWithinMillis is the time in milliseconds within which the response to an
	// attempt must begin, so that time for another attempt is left.
	AnswerWithinMillis = "Wigeonspring-Answer-Within-Ms"
	// Attempt is the number of the attempt, starting at 1.
	Attempt = "Wigeonspring-Attempt"
	// Backend is the backend server that an ingress node chose.
	Backend = "Wigeonspring-Backend"
	// OwnerIncarnation is the incarnation of the owner that the ingress node
	// addressed. An owner with another incarnation refuses the request.
	OwnerIncarnation = "Wigeonspring-Owner-Incarnation"
	// Route is the name of the matched route.
	Route = "Wigeonspring-Route"
	// Service is the name of the service.
	Service = "Wigeonspring-Service"
	// Region is the region of the ingress node.
	Region = "Wigeonspring-Region"
	// Baseline is the recent behaviour of the service as observed by the ingress node,
	// without the chosen backend server.
	Baseline = "Wigeonspring-Baseline"
	// Load is the load of the backend server as known to its owner.
	Load = "Wigeonspring-Load"
	// Cost is the service time of a request and the wait for a slot at its backend server, as
	// known to its owner; see FormatCost.
	Cost = "Wigeonspring-Cost"
	// RetryAfterMillis is the time in milliseconds for which requests like the refused one
	// should avoid the backend server, because it is suspect.
	RetryAfterMillis = "Wigeonspring-Retry-After-Ms"
	// Rank is the priority of requests that wait for a slot. 0 is served first.
	Rank = "Wigeonspring-Rank"
	// ObjectiveMillis is the time left, in milliseconds, in which a response is
	// fully useful to the caller.
	ObjectiveMillis = "Wigeonspring-Objective-Ms"
	// Idempotent marks a request that may run more than once.
	Idempotent = "Wigeonspring-Idempotent"
	// Trial marks a request that may test a suspect backend server.
	Trial = "Wigeonspring-Trial"
	// Repeat marks an attempt of a request that may have reached a backend server
	// before.
	Repeat = "Wigeonspring-Repeat"
	// Explore marks an attempt that may test a suspect backend server: the request may
	// run again or was tried elsewhere before, and its service has a high share of
	// unserved requests.
	Explore = "Wigeonspring-Explore"
	// NoBetterBackend marks an attempt that a suspect backend server may serve, because no
	// other is better for it.
	NoBetterBackend = "Wigeonspring-No-Better"
	// StatusInHeader marks a request whose ingress node reads the status of the response from
	// the header Status.
	StatusInHeader = "Wigeonspring-Status-In-Header"
	// Status is the status of the response, if it is not that of the reply of the owner.
	Status = "Wigeonspring-Status"
	// CallerService names the service on the VM where the request began.
	CallerService = "Wigeonspring-Caller-Service"
	// Credential is the key of a caller's team, and Team the name of the team that a backend
	// server gets in its place.
	Credential = "Wigeonspring-Credential"
	Team       = "Wigeonspring-Team"
	// ExpectedInstance and Instance identify backend servers; see Dialect.
	ExpectedInstance = "Wigeonspring-Expected-Instance"
	Instance         = "Wigeonspring-Instance"
	// Origin identifies the ingress process that makes an attempt, and Sequence numbers
	// its attempts. With both, the ingress node can ask for the attempt on another
	// connection.
	Origin   = "Wigeonspring-Origin"
	Sequence = "Wigeonspring-Sequence"
	// Recover marks a request that asks an owner what became of an attempt.
	Recover = "Wigeonspring-Recover"
	// BackendNotRun marks a response of a backend server that did not run the request.
	BackendNotRun = "Wigeonspring-Backend-Not-Run"
)

// Outcomes of a request.
const (
	// Answered means that the complete response of the backend server follows.
	Answered = "answered"
	// NotRun means that no backend server has started the request.
	NotRun = "not-run"
	// Unknown means that the request may have run. The caller must not repeat it
	// without checking its effect.
	Unknown = "unknown"
	// Failed means that every attempt of an idempotent request has failed.
	Failed = "failed"
)
