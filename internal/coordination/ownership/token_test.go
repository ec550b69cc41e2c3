package ownership

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against a lease that counts from a later time than the token allows, and
// against the use of a token that was issued by another process.
func TestTokenLeaseFrom(t *testing.T) {
	tokens := NewTokenIssuer(1, t0)
	issued := t0.Add(time.Second)
	now := issued.Add(2 * time.Second)
	cases := []struct {
		name  string
		token []byte
		want  time.Time
	}{
		{"response 2 s ago", tokens.Issue(issued), issued},
		{"response just now", tokens.Issue(now), now},
		{"none", nil, time.Time{}},
		{"truncated", tokens.Issue(issued)[:tokenSize-1], now.Add(-unknownTokenAge)},
		{"other process", NewTokenIssuer(2, t0).Issue(issued), now.Add(-unknownTokenAge)},
		{"from the future", tokens.Issue(now.Add(time.Hour)), now},
		{"suspended for an hour", NewTokenIssuer(1, t0.Add(-time.Hour)).Issue(issued.Add(-time.Hour)), issued.Add(-time.Hour)},
	}
	for _, c := range cases {
		if got := tokens.LeaseFrom(now, c.token); !got.Equal(c.want) {
			t.Errorf("%s: lease from %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against a lease for a backend server that has left, because an announcement from before
// the restart of its owner arrives late. One that is still there gets its lease with the token
// of the refusal.
func TestLateAnnouncementAfterRestart(t *testing.T) {
	token := NewTokenIssuer(1, t0).Issue(t0)
	restarted, tokens, now := New(Options{}), NewTokenIssuer(2, t0), t0.Add(6*time.Second)
	restarted.Tick(now)
	a := announcement()
	a.LeaseFrom = tokens.LeaseFrom(now, token)
	if res := restarted.Announce(now, a); res.Reason != StaleAnnouncement {
		t.Errorf("announcement with the token of an earlier process: %+v", res)
	}
	a.LeaseFrom = tokens.LeaseFrom(now, tokens.Issue(now))
	if res := restarted.Announce(now, a); !res.Accepted {
		t.Errorf("announcement with the token of the refusal: %+v", res)
	}
}

// Guards against two nodes that hold the lease because the network delays a renewal
// until the backend server has moved to another owner. Without the token, both nodes
// hold the lease.
func TestDelayedRenewal(t *testing.T) {
	for _, withToken := range []bool{false, true} {
		old, next := New(Options{}), New(Options{})
		tokens := NewTokenIssuer(1, t0)
		old.Announce(t0, announcement())
		token := tokens.Issue(t0)
		// The renewal is sent after 1 s and arrives at 6 s. Its sender moves after
		// the lease duration and the margin of 1 s.
		moved, arrival := t0.Add(time.Second+registry.LeaseDuration+time.Second), t0.Add(6*time.Second)
		next.Announce(moved, announcement())
		for now := t0; now.Before(arrival); now = now.Add(100 * time.Millisecond) {
			old.Tick(now)
		}
		late := announcement()
		if withToken {
			late.LeaseFrom = tokens.LeaseFrom(arrival, token)
		}
		res := old.Announce(arrival, late)
		if !next.Holds(arrival, "b1") {
			t.Error("the new owner does not hold the lease")
		}
		if withToken != (res.Reason == StaleAnnouncement) || withToken == old.Holds(arrival, "b1") {
			t.Errorf("with token %t: %+v, held by the old owner: %t", withToken, res, old.Holds(arrival, "b1"))
		}
	}
}
