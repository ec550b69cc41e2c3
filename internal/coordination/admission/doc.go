// Package admission decides which requests a backend server runs, which wait in a queue and
// which are refused. The owner node keeps one Controller per backend server. The package
// reads no clock: every call takes the current time.
package admission
