package routing

import (
	"time"

	"golang.org/x/time/rate"

	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// spillBurst is the number of requests to other regions that a service may send
// at once. It lets a service with few requests spill at all.
const spillBurst = 3

// firstResponse is the size that responses are taken to have before any was seen.
// Without it, all requests of the first round trip would leave the region at once.
const firstResponse = 8 << 10

// spill limits the traffic of one service to other regions, in requests and bytes.
// The share of requests is not limited while the own region has no backend server
// of the route that serves, because it would refuse nearly all requests.
type spill struct {
	// credit is the number of requests that may leave the region now. Each request
	// earns the share that the policy allows.
	credit  float64
	earned  float64 // since start, for the invariant
	spilled float64
	started bool
	bytes   *byteLimiter
	// response is the moving average of response sizes. It is charged in advance,
	// so that many responses in flight do not exceed the limit together.
	response float64
}

// earn adds the credit of one request.
func (s *spill) earn(percent float64) {
	if !s.started {
		s.started = true
		s.credit = spillBurst
		s.response = firstResponse
	}
	s.earned += percent / 100
	s.credit = min(spillBurst, s.credit+percent/100)
}

// allows reports whether a request may leave the region. With share, the limited
// share of requests applies too. A policy that allows no requests at all to leave
// is obeyed in either case.
func (s *spill) allows(now time.Time, l policy.Limits, share bool) bool {
	if l.SpillPercent <= 0 || l.SpillBytesPerSecond <= 0 || share && s.credit < 1 {
		return false
	}
	if s.bytes == nil {
		s.bytes = newByteLimiter(l.SpillBytesPerSecond)
	}
	s.bytes.setRate(now, l.SpillBytesPerSecond)
	return s.bytes.open(now)
}

// spend charges a request that leaves the region and returns the bytes charged.
func (s *spill) spend(now time.Time, body int64, share bool) int64 {
	if share {
		s.credit--
		s.spilled++
	}
	invariant.Check(s.spilled <= s.earned+spillBurst, "routing_spill_share",
		"%.0f requests left the region, %.1f were allowed", s.spilled, s.earned+spillBurst)
	bytes := body + int64(s.response)
	if s.bytes != nil {
		s.bytes.charge(now, bytes)
	}
	return bytes
}

// settle charges the bytes beyond those that spend charged. A charge that was too
// high stays, so that the limit errs on the low side.
func (s *spill) settle(now time.Time, a *attempt, bytes int64) {
	if s.bytes != nil {
		s.bytes.charge(now, bytes-a.charged)
	}
	const share = 0.1
	s.response += share * (float64(max(0, bytes-a.body)) - s.response)
}

// byteLimiter is a token bucket that may go into debt: a transfer of any size
// starts while tokens are left, and the next one waits until the debt is paid. The
// average rate holds although the size of a response is known only at its end.
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

func (l *byteLimiter) open(now time.Time) bool { return l.limiter.TokensAt(now) > 0 }

// charge takes the bytes in parts, because a reservation is at most one burst.
func (l *byteLimiter) charge(now time.Time, bytes int64) {
	for bytes > 0 {
		n := min(bytes, l.rate)
		l.limiter.ReserveN(now, int(n))
		bytes -= n
	}
}
