package proxy

import (
	"net/http"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// Quotas bounds the requests of each team over all nodes.
type Quotas interface {
	// Admit reports whether the team may send another request now. If not, it returns the
	// time after which the caller should try again.
	Admit(team *policy.Team) (admitted bool, retryAfter time.Duration)
	// Refund returns an admitted request that has not run and will not run.
	Refund(team *policy.Team)
}

// takeKeys returns the keys that the request bears, and removes them and the name of a team that
// the caller chose.
func takeKeys(h http.Header, d *header.Dialect) []string {
	keys := h[d.Credential]
	delete(h, d.Credential)
	delete(h, d.Team)
	return keys
}

// authenticate finds the team whose key the request bears. If the request needs a key and bears
// none that is valid now, it responds to the caller and returns false.
func (c *call) authenticate(keys []string, m *policy.Match, keysCurrent bool) bool {
	if m.Teams == nil || m.Route.Public {
		return true
	}
	// A node that may have missed a revocation cannot tell which keys are valid.
	if !keysCurrent {
		return c.refuse(http.StatusServiceUnavailable, reasonKeysOutdated)
	}
	if len(keys) != 1 {
		return c.refuse(http.StatusUnauthorized, reasonNoKey)
	}
	team, ok := m.Teams.Authenticate(keys[0])
	if !ok {
		return c.refuse(http.StatusUnauthorized, reasonUnknownKey)
	}
	c.team = team
	if team.Rank != nil {
		c.rank = *team.Rank
	}
	return c.admitByQuota()
}

// admitByQuota responds to the caller and returns false if the team has used its quota.
func (c *call) admitByQuota() bool {
	q := c.in.opt.Quotas
	if q == nil || c.team.RatePerSecond <= 0 {
		return true
	}
	admitted, retryAfter := q.Admit(c.team)
	if admitted {
		c.quotaTaken = true
		return true
	}
	c.retryAfterQuota = retryAfter
	return c.refuse(http.StatusTooManyRequests, reasonOverQuota)
}

// refundQuota returns the request to the quota of its team, because it has not run.
func (c *call) refundQuota() {
	if c.quotaTaken {
		c.quotaTaken = false
		c.in.opt.Quotas.Refund(c.team)
	}
}
