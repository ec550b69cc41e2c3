package membership

import "time"

// tokenBucket is the token bucket of the send budget, in bytes.
type tokenBucket struct {
	rate, burst float64
	tokens      float64
	// debt is the number of bytes of syncs that have not been paid off yet. A share
	// of each refill pays it off. It is not taken from the tokens at once, because
	// a node with an empty bucket cannot send acks and would be suspected.
	debt float64
	last time.Time
	// unlimited disables the limit.
	unlimited bool
}

func (b *tokenBucket) refill(now time.Time) {
	if b.last.IsZero() {
		b.tokens = b.burst
	} else if d := now.Sub(b.last); d > 0 {
		added := b.rate * d.Seconds()
		paid := min(b.debt, added*syncShare)
		b.debt -= paid
		b.tokens = min(b.burst, b.tokens+added-paid)
	}
	b.last = now
}

// allow takes n bytes if that leaves reserve bytes in the bucket.
func (b *tokenBucket) allow(n, reserve int) bool {
	if b.unlimited {
		return true
	}
	if b.tokens < float64(n+reserve) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// available returns the bytes that may be sent while reserve bytes are kept.
func (b *tokenBucket) available(reserve int) int {
	if b.unlimited {
		return 1 << 20
	}
	return max(0, int(b.tokens)-reserve)
}
