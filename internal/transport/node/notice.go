package node

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// maxNoticeBytes is the size of the largest compressed document that is sent with a
// policy notice. It keeps the datagram below the usual MTU of 1,500 B.
const maxNoticeBytes = 1000

// compressNotice compresses a document, or returns nil if it is too large.
func compressNotice(text []byte) []byte {
	if len(text) == 0 {
		return nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestCompression)
	if err != nil {
		return nil // The level is a constant that flate accepts.
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(text)
	_ = w.Close()
	if b.Len() > maxNoticeBytes {
		return nil
	}
	return b.Bytes()
}

// decompressNotice decompresses a document that was compressed by compressNotice.
func decompressNotice(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), policy.MaxFleetBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > policy.MaxFleetBytes {
		return nil, fmt.Errorf("document has more than %d bytes", policy.MaxFleetBytes)
	}
	return text, nil
}
