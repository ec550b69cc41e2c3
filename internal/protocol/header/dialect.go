package header

import "net/http"

// Dialect defines the headers that callers and backend servers use, and how callers
// interpret refusals. A header with an empty name is neither sent nor read. Names are in
// canonical form.
type Dialect struct {
	// RequestID identifies a request at callers and backend servers.
	RequestID string
	// UseCallerRequestID makes the ingress node use the identifier of the caller, which
	// must send one. Otherwise the ingress node generates one.
	UseCallerRequestID bool
	// Deadline is the time left in milliseconds.
	Deadline string
	// CallerService names the service on the VM where the request began.
	CallerService string
	// ExpectedInstance identifies the backend server that a request is sent to, and
	// Instance the one that responds. Any other backend server responds with status 421.
	ExpectedInstance string
	Instance         string
	// RefusalsMeanNotRun is set if callers interpret status 408, 429 and 503 as a
	// guarantee that the request has not run and will not run. If a backend server sends
	// such a response to a request that must not be repeated, the node passes the response
	// on only if it proves that the request has not run.
	RefusalsMeanNotRun bool
	// ResponsesRepeatID is set if a backend server repeats the request identifier in every
	// response that it sends.
	ResponsesRepeatID bool
	// Signature is a header that a backend server adds to every response to a request that
	// it ran successfully.
	Signature string
	// Credential is the key with which a caller proves its team, and Team the name of the
	// team that backend servers get in its place.
	Credential string
	Team       string
	// NotRun marks a response of a backend server that did not run the request.
	NotRun string
}

// DefaultDialect returns the dialect with the headers of this package.
func DefaultDialect() *Dialect {
	return &Dialect{
		RequestID:        RequestID,
		Deadline:         DeadlineMillis,
		CallerService:    CallerService,
		ExpectedInstance: ExpectedInstance,
		Instance:         Instance,
		NotRun:           BackendNotRun,
		Credential:       Credential,
		Team:             Team,
	}
}

// Set sets a header, or removes it if the value is empty. It does nothing if the name is
// empty.
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

// BelongsToRequest reports whether a response can be that of the request. id is the request
// identifier in the response, which is the right one or empty. On a reused connection, a
// response without an identifier may consist of bytes that the backend server sent after an
// earlier response. A success needs the signature.
func (d *Dialect) BelongsToRequest(resp *http.Response, id string, reused bool) bool {
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	if d.ResponsesRepeatID && id == "" && (success || reused) {
		return false
	}
	return !success || d.Signature == "" || resp.Header.Get(d.Signature) != ""
}

// ProvesNotRun reports whether a response proves that the backend server has not run the
// request.
func (d *Dialect) ProvesNotRun(resp *http.Response) bool {
	if d.NotRun != "" && resp.Header.Get(d.NotRun) != "" {
		return true
	}
	return d.ExpectedInstance != "" && resp.StatusCode == http.StatusMisdirectedRequest
}

// IsUnprovedRefusal reports whether callers would interpret a response as a guarantee that
// the request has not run although the response does not prove it.
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
