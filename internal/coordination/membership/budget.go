package membership

import "time"

// bucket is the token bucket of the send budget, in bytes.
type bucket struct {
	rate, burst float64
	tokens      float64
	last        time.Time
	off         bool
}

func (b *bucket) refill(now time.Time) {
	if b.last.IsZero() {
		b.tokens = b.burst
	} else if d := now.Sub(b.last); d > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*d.Seconds())
	}
	b.last = now
}

// allow takes n bytes if that leaves reserve bytes in the bucket.
func (b *bucket) allow(n, reserve int) bool {
	if b.off {
		return true
	}
	if b.tokens < float64(n+reserve) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// available returns the bytes that may be sent while reserve bytes are kept.
func (b *bucket) available(reserve int) int {
	if b.off {
		return 1 << 20
	}
	return max(0, int(b.tokens)-reserve)
}

// debit takes n bytes that were sent outside the core, such as by a sync. It
// leaves no debt, because a debt would silence acks and get the node suspected.
func (b *bucket) debit(n int) { b.tokens = max(0, b.tokens-float64(n)) }
