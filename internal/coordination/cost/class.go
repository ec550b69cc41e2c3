package cost

import (
	"math/bits"
	"strings"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Class groups requests that are likely to need similar work.
type Class struct {
	Service registry.ServiceID
	Route   string
	Method  string
	// Shape is the result of PathShape.
	Shape string
	// Size is the result of SizeBucket.
	Size uint8
	Team string
}

// maxSegments bounds the path segments that a shape describes.
const maxSegments = 8

// PathShape describes the segments of a path without their text: n for a number, x for a
// mixture of letters and digits, and w for any other word. A path thus reveals nothing, and
// identifiers in paths do not make new classes.
func PathShape(path string) string {
	var b strings.Builder
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "" {
			continue
		}
		if b.Len() == maxSegments {
			break
		}
		b.WriteByte(segmentKind(segment))
	}
	return b.String()
}

func segmentKind(segment string) byte {
	switch digits := strings.Count(strings.Map(maskDigit, segment), "0"); digits {
	case 0:
		return 'w'
	case len(segment):
		return 'n'
	}
	return 'x'
}

// maskDigit maps digits to 0 and everything else to a dash.
func maskDigit(r rune) rune {
	if r >= '0' && r <= '9' {
		return '0'
	}
	return '-'
}

// SizeBucket returns the bucket of a body of n bytes, which doubles from bucket to bucket. An
// unknown size, which is negative, has its own bucket.
func SizeBucket(n int64) uint8 {
	if n < 0 {
		return 255
	}
	return uint8(bits.Len64(uint64(n)))
}
