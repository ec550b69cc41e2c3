// Package suspicion decides within one or two requests whether a backend server is
// safe for work that must not be repeated. It covers backend servers that fail most
// of their requests for some seconds while their health check succeeds. Such a backend
// server gets 0.5 to 4 requests/s. At these rates a sequential test needs most of the
// duration of the fault to reach a verdict.
//
// The owner of a backend server keeps one Tracker for it. A failure that practically
// never occurs at a healthy backend server, such as a reset connection, makes the
// backend server suspect at once. A failure that occasionally occurs at healthy ones
// has to be repeated. While the backend server is suspect, work that must not be
// repeated is refused before anything is sent, so that it runs elsewhere. Idempotent
// requests are admitted as trials, a few at a time. If a trial fails, it is retried
// elsewhere and the caller does not see the failure. Successful trials end the
// suspicion.
//
// A request for which no other backend server is left may be a trial too, so that a
// service without idempotent requests recovers as well. The same holds for a request
// that may run again or was tried elsewhere before, if no trial has run for some time
// and too many requests of the service are not served. Otherwise backend servers that
// have recovered would stay unused when the retry budget is spent.
//
// An idempotent request that all other backend servers have refused runs on a suspect
// one without being a trial, because a failure costs it nothing. If most backend
// servers of a service are suspect, none of them is a better choice and nothing is
// refused. Suspicion therefore never takes a service below half of its capacity, and
// the owners need no agreement for this.
package suspicion
