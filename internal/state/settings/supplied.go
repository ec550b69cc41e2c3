package settings

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// Supplied holds values that the platform fills in when it starts a node. They are read as
// text, so that no form of a value keeps the node from starting: a value that cannot be used
// leaves the setting of the operator in force.
type Supplied struct {
	KillAfter        string `toml:"kill_after" allowed:"\"\" (none) or a duration from 1s; above 10m counts as 10m" doc:"Value of the platform for drain.kill_after, which it replaces. Any other text is ignored with a warning."`
	RetrySlack       string `toml:"retry_slack" allowed:"\"\" (none) or a number from 0, also a fraction; above 100000 counts as 100000" doc:"Value of the platform for fleet.retry_slack, which it replaces. 0 allows no repeats beyond the share. Any other text is ignored with a warning."`
	RetryRatio       string `toml:"retry_ratio" allowed:"\"\" (none) or a number from 0 to 1" doc:"Share of the requests to a service that the platform allows nodes to repeat. 85 percent of it replace fleet.retry_percent. Any other text is ignored with a warning."`
	RetryWindow      string `toml:"retry_window" allowed:"\"\" (none) or a duration from 1s; above 10m counts as 10m" doc:"Time in which the platform counts the repeats that the retry ratio and the retry slack bound. It replaces the 10 s of the retry settings. Any other text is ignored with a warning."`
	FloorShare       string `toml:"floor_share" allowed:"\"\" (none) or a number from 0 to 1" doc:"Share of a service's backend servers that the platform expects to get requests. It replaces fleet.floor_percent. Any other text is ignored with a warning."`
	StrictRevocation string `toml:"strict_revocation" allowed:"\"\" (not known), \"true\" or \"false\"" doc:"Whether a key that was taken away must stop working within supplied.revoke_within also at a node that cannot hear of it. Such a node then refuses requests that need a key. Any other text is ignored with a warning."`
	RevokeWithin     string `toml:"revoke_within" allowed:"\"\" (none) or a duration from 1s; above 10m counts as 10m" doc:"Time after which a key that was taken away must not work any more. Any other text is ignored with a warning."`
	QuotaWindow      string `toml:"quota_window" allowed:"\"\" (none) or a duration from 1s; above 10m counts as 10m" doc:"Time in which the platform counts the requests of a team against its quota. Any other text is ignored with a warning."`
	QuotaOverage     string `toml:"quota_overage" allowed:"\"\" (none) or a number from 0 to 1" doc:"Share of a quota by which the requests of a team may exceed it within supplied.quota_window. Any other text is ignored with a warning."`
	QuotaSlack       string `toml:"quota_slack" allowed:"\"\" (none) or a number from 0; above 100000 counts as 100000" doc:"Requests by which a team may exceed its quota within supplied.quota_window beyond that share. Any other text is ignored with a warning."`
	FirstStart       string `toml:"first_start" allowed:"\"\" (not known), \"true\" or \"false\"" doc:"Whether the whole fleet starts for the first time. Nothing that an earlier process of the node has kept on the platform is read then. Any other text is ignored with a warning."`
}

const (
	minKillAfter  = time.Second
	maxKillAfter  = 10 * time.Minute
	maxRetrySlack = 100000
	// defaultRetryWindow is the window to which fleet.retry_percent and fleet.retry_slack refer.
	defaultRetryWindow = 10 * time.Second
	minRetryWindow     = time.Second
	maxRetryWindow     = 10 * time.Minute
	// minSuppliedDuration and maxSuppliedDuration bound the supplied durations of keys and
	// quotas.
	minSuppliedDuration = time.Second
	maxSuppliedDuration = 10 * time.Minute
	defaultQuotaWindow  = 5 * time.Second
	maxQuotaSlack       = 100000
	// retryPercentOfRatio is how much of a supplied retry ratio is used, in percent. The rest
	// covers the calls that retried requests make.
	retryPercentOfRatio = 85
	// minRetryPercent stands for a ratio of 0, because a percentage of 0 selects a default.
	minRetryPercent = 0.001
)

// killAfter returns the supplied duration and reports whether it can be used.
func (v *Supplied) killAfter() (time.Duration, bool) {
	d, err := time.ParseDuration(v.KillAfter)
	return min(d, maxKillAfter), err == nil && d >= minKillAfter
}

// retrySlack returns the supplied number and reports whether it can be used.
func (v *Supplied) retrySlack() (float64, bool) {
	n, err := strconv.ParseFloat(v.RetrySlack, 64)
	return min(n, maxRetrySlack), err == nil && n >= 0 && !math.IsInf(n, 0)
}

// retryPercent returns the percentage of a supplied ratio and reports whether it can be used.
func (v *Supplied) retryPercent() (float64, bool) {
	ratio, err := strconv.ParseFloat(v.RetryRatio, 64)
	return max(ratio*retryPercentOfRatio, minRetryPercent), err == nil && ratio >= 0 && ratio <= 1
}

// retryWindow returns the supplied duration and reports whether it can be used.
func (v *Supplied) retryWindow() (time.Duration, bool) {
	d, err := time.ParseDuration(v.RetryWindow)
	return min(d, maxRetryWindow), err == nil && d >= minRetryWindow
}

// floorShare returns the supplied share and reports whether it can be used.
func (v *Supplied) floorShare() (float64, bool) {
	share, err := strconv.ParseFloat(v.FloorShare, 64)
	return share, err == nil && share >= 0 && share <= 1
}

// firstStart returns the supplied truth value and reports whether it can be used.
func (v *Supplied) firstStart() (first, ok bool) {
	return v.FirstStart == "true", v.FirstStart == "true" || v.FirstStart == "false"
}

// RevokeWithin returns the time after which a key that was taken away must not work at any
// node, also at one that cannot hear of it. It reports false if the platform does not demand
// that.
func (s *Settings) RevokeWithin() (time.Duration, bool) {
	if s.Supplied.StrictRevocation != "true" {
		return 0, false
	}
	return s.Supplied.revokeWithin()
}

// Quota returns the bound that the platform sets on the requests of a team.
func (s *Settings) Quota() QuotaBound {
	q := QuotaBound{Window: defaultQuotaWindow}
	if d, ok := s.Supplied.quotaWindow(); ok {
		q.Window = d
	}
	if share, ok := s.Supplied.quotaOverage(); ok {
		q.Overage = share
	}
	if n, ok := s.Supplied.quotaSlack(); ok {
		q.Slack = n
	}
	return q
}

// QuotaBound is how far the requests of a team may exceed its quota: within any Window, they
// may be (rate x Window + burst) x (1 + Overage) + Slack.
type QuotaBound struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// revokeWithin returns the supplied duration and reports whether it can be used.
func (v *Supplied) revokeWithin() (time.Duration, bool) {
	d, err := time.ParseDuration(v.RevokeWithin)
	return min(d, maxSuppliedDuration), err == nil && d >= minSuppliedDuration
}

// quotaWindow returns the supplied duration and reports whether it can be used.
func (v *Supplied) quotaWindow() (time.Duration, bool) {
	d, err := time.ParseDuration(v.QuotaWindow)
	return min(d, maxSuppliedDuration), err == nil && d >= minSuppliedDuration
}

// quotaOverage returns the supplied share and reports whether it can be used.
func (v *Supplied) quotaOverage() (float64, bool) {
	share, err := strconv.ParseFloat(v.QuotaOverage, 64)
	return share, err == nil && share >= 0 && share <= 1
}

// quotaSlack returns the supplied number and reports whether it can be used.
func (v *Supplied) quotaSlack() (float64, bool) {
	n, err := strconv.ParseFloat(v.QuotaSlack, 64)
	return min(n, maxQuotaSlack), err == nil && n >= 0 && !math.IsInf(n, 0)
}

// RetryWindow returns the time in which retries are counted. Without a supplied value it is
// that of the retry settings.
func (s *Settings) RetryWindow() time.Duration {
	if d, ok := s.Supplied.retryWindow(); ok {
		return d
	}
	return defaultRetryWindow
}

// FloorShare returns the share of a service's backend servers that ejection leaves in service,
// 0 to 1.
func (s *Settings) FloorShare() float64 {
	if share, ok := s.Supplied.floorShare(); ok {
		return share
	}
	return float64(s.Fleet.FloorPercent) / 100
}

// FirstStart reports whether no process of any node has run before. It is false if that is
// not known.
func (s *Settings) FirstStart() bool {
	first, _ := s.Supplied.firstStart()
	return first
}

// DrainLimit returns the time that requests in flight have to finish after SIGTERM.
func (s *Settings) DrainLimit() time.Duration {
	if d, ok := s.Supplied.killAfter(); ok {
		return d - killMargin
	}
	return s.Drain.limit()
}

// RetrySlack returns the repeats within RetryWindow that the whole fleet may make for a
// service beyond its share. It reports false if each node allows a minimum instead.
func (s *Settings) RetrySlack() (slack float64, shared bool) {
	if n, ok := s.Supplied.retrySlack(); ok {
		return n, true
	}
	return float64(s.Fleet.RetrySlack), s.Fleet.RetrySlack > 0
}

// RetryPercent returns the share of a service's requests that a node may repeat within RetryWindow, in
// percent.
func (s *Settings) RetryPercent() float64 {
	if percent, ok := s.Supplied.retryPercent(); ok {
		return percent
	}
	return float64(s.Fleet.RetryPercent)
}

// Warnings describes the supplied values that cannot be used, one line each, and what
// applies in their place.
func (s *Settings) Warnings() []string {
	var lines []string
	warn := func(key, found, replacement string) {
		lines = append(lines, fmt.Sprintf("supplied.%s: ignored an unusable value; found %q; %s applies", key, found, replacement))
	}
	if _, ok := s.Supplied.killAfter(); !ok && s.Supplied.KillAfter != "" {
		warn("kill_after", s.Supplied.KillAfter, "a drain of "+s.DrainLimit().String())
	}
	if _, ok := s.Supplied.retrySlack(); !ok && s.Supplied.RetrySlack != "" {
		warn("retry_slack", s.Supplied.RetrySlack, fmt.Sprintf("fleet.retry_slack = %d", s.Fleet.RetrySlack))
	}
	if _, ok := s.Supplied.retryPercent(); !ok && s.Supplied.RetryRatio != "" {
		warn("retry_ratio", s.Supplied.RetryRatio, fmt.Sprintf("fleet.retry_percent = %d", s.Fleet.RetryPercent))
	}
	if _, ok := s.Supplied.retryWindow(); !ok && s.Supplied.RetryWindow != "" {
		warn("retry_window", s.Supplied.RetryWindow, "a window of "+s.RetryWindow().String())
	}
	if _, ok := s.Supplied.floorShare(); !ok && s.Supplied.FloorShare != "" {
		warn("floor_share", s.Supplied.FloorShare, fmt.Sprintf("fleet.floor_percent = %d", s.Fleet.FloorPercent))
	}
	if _, ok := s.Supplied.firstStart(); !ok && s.Supplied.FirstStart != "" {
		warn("first_start", s.Supplied.FirstStart, "a start that may not be the first")
	}
	if s.Supplied.StrictRevocation != "" && s.Supplied.StrictRevocation != "true" && s.Supplied.StrictRevocation != "false" {
		warn("strict_revocation", s.Supplied.StrictRevocation, "no strict revocation")
	}
	if _, ok := s.Supplied.revokeWithin(); !ok && s.Supplied.RevokeWithin != "" {
		warn("revoke_within", s.Supplied.RevokeWithin, "no strict revocation")
	}
	if _, ok := s.Supplied.quotaWindow(); !ok && s.Supplied.QuotaWindow != "" {
		warn("quota_window", s.Supplied.QuotaWindow, "a window of "+s.Quota().Window.String())
	}
	if _, ok := s.Supplied.quotaOverage(); !ok && s.Supplied.QuotaOverage != "" {
		warn("quota_overage", s.Supplied.QuotaOverage, "an overage of 0")
	}
	if _, ok := s.Supplied.quotaSlack(); !ok && s.Supplied.QuotaSlack != "" {
		warn("quota_slack", s.Supplied.QuotaSlack, "a slack of 0")
	}
	return lines
}
