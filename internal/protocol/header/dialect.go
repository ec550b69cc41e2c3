package header

import "net/http"

// Dialect names the headers that callers and backend servers use. An empty name
// means that the header is neither sent nor read. Names are in canonical form.
type Dialect struct {
	// RequestID identifies a request at callers and backend servers.
	RequestID string
	// UseCallerRequestID takes the identifier over from the caller, which must send
	// one; otherwise the ingress node makes one.
	UseCallerRequestID bool
	// Deadline is the time left in milliseconds.
	Deadline string
	// CallerService names the service on the VM where the request began.
	CallerService string
	// ExpectedInstance names the backend server that a request is meant for, and
	// Instance the one that answers. Another backend server answers 421.
	ExpectedInstance string
	Instance         string
	// RefusalsMeanNotRun says that callers take 408, 429 and 503 as a promise that the
	// request has not run and never will. Such an answer of a backend server without
	// proof is not passed on for a request that must not be repeated.
	RefusalsMeanNotRun bool
	// NotRun marks an answer of a backend server that did not run the request.
	NotRun string
}

// DefaultDialect returns the project's own headers.
func DefaultDialect() *Dialect {
	return &Dialect{
		RequestID:        RequestID,
		Deadline:         DeadlineMillis,
		CallerService:    CallerService,
		ExpectedInstance: ExpectedInstance,
		Instance:         Instance,
		NotRun:           BackendNotRun,
	}
}

// Set replaces a header that has a name.
func Set(h http.Header, name, value string) {
	if name == "" {
		return
	}
	if value == "" {
		delete(h, name)
		return
	}
	h[name] = []string{value}
}

// ProvesNotRun reports whether an answer states that the backend server did not
// run the request.
func (d *Dialect) ProvesNotRun(resp *http.Response) bool {
	if d.NotRun != "" && resp.Header.Get(d.NotRun) != "" {
		return true
	}
	return d.ExpectedInstance != "" && resp.StatusCode == http.StatusMisdirectedRequest
}

// IsUnprovedRefusal reports whether callers would take an answer without proof as a
// promise that the request has not run.
func (d *Dialect) IsUnprovedRefusal(resp *http.Response) bool {
	if !d.RefusalsMeanNotRun || d.ProvesNotRun(resp) {
		return false
	}
	switch resp.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
