// Package floor guards the floor of a service: the healthy capacity that
// removing sick backend servers must never undercut. It holds the ledger of a
// service, which lists the ejection permits, and the core that obtains, holds
// and gives away permits at one node. Both are free of goroutines, sockets and
// clocks.
//
// The ledger bounds the number of permits by the allowance: the backend servers
// that serve or are ejected, minus the floor. The allowance does not change when
// a server is ejected or returned, so views that differ only in recent
// ejections agree on it. When crashes shrink the allowance below the number of
// permits, the position of a permit in the ledger decides: only the first
// permits, as many as the allowance, may be used.
package floor
