// Package health runs the ejection core of the daemon on one goroutine. The
// request path hands observations over through a bounded ring and never waits:
// a full ring drops the observation and counts it.
package health
