package routing

import (
	"time"

	"golang.org/x/time/rate"

	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// spillBurst is the number of requests to other regions that a service may send at
// once. Without it, a service with few requests could send none to other regions.
const spillBurst = 3

// initialResponseBytes is the assumed size of a response before any has been received.
// If it were 0, all requests of the first round trip could leave the region at once.
const initialResponseBytes = 8 << 10

// spill limits the traffic of one service to other regions, by the share of requests
// and by bytes. The share of requests is not limited while no backend server of the
// route serves in the region of this node, because nearly all requests would then be
// refused.
type spill struct {
	// credit is the number of requests that may leave the region now. Each request
	// adds the share that the policy allows.
	credit  float64
	earned  float64 // total credit since start, for the invariant
	spilled float64
	started bool
	bytes   *byteLimiter
	// meanResponseBytes is the moving average of response sizes. It is charged when a
	// request is sent, so that many responses in flight do not exceed the limit together.
	meanResponseBytes float64
}

// addCredit adds the credit of one request.
func (s *spill) addCredit(percent float64) {
	if !s.started {
		s.started = true
		s.credit = spillBurst
		s.meanResponseBytes = initialResponseBytes
	}
	s.earned += percent / 100
	s.credit = min(spillBurst, s.credit+percent/100)
}

// allows reports whether a request may leave the region. The share of requests is
// limited only if limitShare is set. A policy that allows no requests to leave the
// region applies in either case.
func (s *spill) allows(now time.Time, l policy.Limits, limitShare bool) bool {
	if l.SpillPercent <= 0 || l.SpillBytesPerSecond <= 0 || limitShare && s.credit < 1 {
		return false
	}
	if s.bytes == nil {
		s.bytes = newByteLimiter(l.SpillBytesPerSecond)
	}
	s.bytes.setRate(now, l.SpillBytesPerSecond)
	return s.bytes.hasTokens(now)
}

// charge accounts for a request that leaves the region and returns the bytes charged.
func (s *spill) charge(now time.Time, body int64, limitShare bool) int64 {
	if limitShare {
		s.credit--
		s.spilled++
	}
	invariant.Check(s.spilled <= s.earned+spillBurst, "routing_spill_share",
		"%.0f requests left the region, %.1f were allowed", s.spilled, s.earned+spillBurst)
	bytes := body + int64(s.meanResponseBytes)
	if s.bytes != nil {
		s.bytes.charge(now, bytes)
	}
	return bytes
}

// settle charges the bytes in excess of those that were charged in advance. An advance
// charge that was too high is not refunded, so that the traffic stays below the limit
// rather than above it.
func (s *spill) settle(now time.Time, a *attempt, bytes int64) {
	if s.bytes != nil {
		s.bytes.charge(now, bytes-a.chargedBytes)
	}
	const share = 0.1
	s.meanResponseBytes += share * (float64(max(0, bytes-a.bodyBytes)) - s.meanResponseBytes)
}

// byteLimiter is a token bucket whose level may become negative. A transfer of any size
// may start while tokens are left, and the next one waits until the level is positive
// again. The average rate therefore holds although the size of a response is known only
// at its end.
type byteLimiter struct {
	limiter *rate.Limiter
	rate    int64
}

func newByteLimiter(bytesPerSecond int64) *byteLimiter {
	return &byteLimiter{
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), int(bytesPerSecond)),
		rate:    bytesPerSecond,
	}
}

func (l *byteLimiter) setRate(now time.Time, bytesPerSecond int64) {
	if l.rate != bytesPerSecond {
		l.rate = bytesPerSecond
		l.limiter.SetLimitAt(now, rate.Limit(bytesPerSecond))
		l.limiter.SetBurstAt(now, int(bytesPerSecond))
	}
}

func (l *byteLimiter) hasTokens(now time.Time) bool { return l.limiter.TokensAt(now) > 0 }

// charge takes the bytes in parts, because a reservation is at most one burst.
func (l *byteLimiter) charge(now time.Time, bytes int64) {
	for bytes > 0 {
		n := min(bytes, l.rate)
		l.limiter.ReserveN(now, int(n))
		bytes -= n
	}
}
