// Package floor enforces the capacity floor of a service: an ejection must never
// leave fewer healthy backend servers than the floor. The package defines the
// ledger of a service, which lists the ejection permits, and the Holder, which
// acquires, holds and transfers the permits of one node. Neither uses
// goroutines, sockets or clocks.
//
// The ledger bounds the number of permits by the allowance: the backend servers
// that serve or are ejected, minus the floor. The allowance does not change when
// a server is ejected or returns to service, so views that differ only in recent
// ejections agree on it. Crashes can reduce the allowance below the number of
// permits. Then only the permits whose position in the ledger is within the
// allowance may be used.
package floor
