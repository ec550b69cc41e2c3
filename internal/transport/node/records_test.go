package node

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against published records without the start of the lease, which decides between
// two nodes that list the same backend server. Also guards against a pause between the
// bind and the first announcement that is not detected.
func TestRecordsOfLeases(t *testing.T) {
	start := time.Now()
	r := newRecords(start, ownership.Options{})
	a := ownership.Announcement{Backend: "b1", Service: "booking", Slots: 5, Incarnation: 1}
	if res := r.leases.Announce(start.Add(registry.LeaseDuration), a); res.Reason != ownership.StaleAnnouncement {
		t.Errorf("announcement after a pause of the lease duration: %+v", res)
	}
	granted := start.Add(2 * registry.LeaseDuration)
	for now := start.Add(registry.LeaseDuration); now.Before(granted); now = now.Add(leaseCheckInterval) {
		r.leases.Tick(now)
	}
	r.leases.Announce(granted, a)
	r.leases.Announce(granted.Add(leaseCheckInterval), a)
	if list := r.backends(); len(list) != 1 || list[0].LeaseStartMillis != uint64(granted.UnixMilli()) {
		t.Errorf("published %+v, want a lease since %d", list, granted.UnixMilli())
	}
}
