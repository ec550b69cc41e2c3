package membership

import "time"

// bucket is the token bucket of the send budget, in bytes.
type bucket struct {
	rate, burst float64
	tokens      float64
	// debt is the number of bytes of syncs that are not paid off yet. It is paid
	// off by a share of the refill instead of at once, because an empty bucket
	// silences acks and gets the node suspected.
	debt float64
	last time.Time
	off  bool
}

func (b *bucket) refill(now time.Time) {
	if b.last.IsZero() {
		b.tokens = b.burst
	} else if d := now.Sub(b.last); d > 0 {
		fresh := b.rate * d.Seconds()
		paid := min(b.debt, fresh*syncShare)
		b.debt -= paid
		b.tokens = min(b.burst, b.tokens+fresh-paid)
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
