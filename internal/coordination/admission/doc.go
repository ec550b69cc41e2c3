// Package admission decides which requests a backend server runs, which wait and
// which are refused. The owner node keeps one Gate per backend server. The package
// reads no clock: every call carries the time.
package admission
