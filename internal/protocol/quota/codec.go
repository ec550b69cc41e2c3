// Package quota encodes the reports and replies about the quotas of teams as datagrams.
//
// A datagram begins with Marker, which no protobuf message begins with, so that it can share
// a socket with the datagrams of the membership protocol. A report of two teams has about 40
// bytes.
package quota

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/quota"
)

// Marker is the first byte of a datagram.
const Marker = 0 // gossip.AppMarker

// Kinds of datagrams, in the second byte.
const (
	kindReport = 1
	kindReply  = 2
)

const (
	// fractionUnit is the resolution of a fraction.
	fractionUnit = math.MaxUint16
	// retryUnit is the resolution of a retry delay, which has one byte.
	retryUnit = 100 * time.Millisecond
)

// Errors of the decoders.
var (
	errTruncated = errors.New("quota datagram is truncated")
	errKind      = errors.New("quota datagram has an unknown kind")
	errRange     = errors.New("quota datagram has a value out of range")
)

// AppendReport appends an encoded report to b.
func AppendReport(b []byte, r quota.Report) []byte {
	b = append(b, Marker, kindReport)
	b = binary.LittleEndian.AppendUint64(b, r.Session)
	b = binary.AppendUvarint(b, uint64(r.Partition))
	b = binary.AppendUvarint(b, r.Seq)
	b = binary.AppendUvarint(b, r.Seq-r.Base)
	for _, u := range r.Usages {
		b = binary.LittleEndian.AppendUint64(b, uint64(u.Team))
		b = binary.AppendVarint(b, u.Admitted)
		b = binary.AppendUvarint(b, u.Refused)
	}
	return b
}

// AppendReply appends an encoded reply to b.
func AppendReply(b []byte, r quota.Reply) []byte {
	b = append(b, Marker, kindReply)
	b = binary.LittleEndian.AppendUint64(b, r.Session)
	b = binary.AppendUvarint(b, uint64(r.Partition))
	b = binary.AppendUvarint(b, r.Seq)
	for _, d := range r.Directives {
		b = binary.LittleEndian.AppendUint64(b, uint64(d.Team))
		b = binary.LittleEndian.AppendUint16(b, uint16(d.Fraction*fractionUnit))
		b = append(b, byte(min(d.RetryAfter/retryUnit, math.MaxUint8)))
	}
	return b
}

// Decode decodes a datagram into a report or a reply; the other one is nil.
func Decode(b []byte) (*quota.Report, *quota.Reply, error) {
	if len(b) < 2 || b[0] != Marker {
		return nil, nil, errKind
	}
	d := &decoder{b: b[2:]}
	switch b[1] {
	case kindReport:
		r := d.report()
		return r, nil, d.err
	case kindReply:
		r := d.reply()
		return nil, r, d.err
	}
	return nil, nil, errKind
}

// decoder reads values until the first error.
type decoder struct {
	b   []byte
	err error
}

func (d *decoder) report() *quota.Report {
	r := &quota.Report{Session: d.uint64(), Partition: d.partition(), Seq: d.uvarint()}
	behind := d.uvarint()
	if behind > r.Seq {
		d.err = errRange
	}
	r.Base = r.Seq - behind
	for d.more() {
		u := quota.Usage{Team: quota.TeamKey(d.uint64()), Admitted: d.varint(), Refused: d.uvarint()}
		if max(u.Admitted, -u.Admitted) > math.MaxInt32 || u.Refused > math.MaxInt32 {
			d.err = errRange
		}
		r.Usages = append(r.Usages, u)
	}
	return r
}

func (d *decoder) reply() *quota.Reply {
	r := &quota.Reply{Session: d.uint64(), Partition: d.partition(), Seq: d.uvarint()}
	for d.more() {
		r.Directives = append(r.Directives, quota.Directive{
			Team:       quota.TeamKey(d.uint64()),
			Fraction:   float64(binary.LittleEndian.Uint16(d.take(2))) / fractionUnit,
			RetryAfter: time.Duration(d.take(1)[0]) * retryUnit,
		})
	}
	return r
}

func (d *decoder) more() bool { return d.err == nil && len(d.b) > 0 }

// zeros is returned in place of missing bytes.
var zeros [8]byte

// take returns the next n bytes, n being at most 8.
func (d *decoder) take(n int) []byte {
	if d.err != nil || len(d.b) < n {
		d.err, d.b = errTruncated, nil
		return zeros[:n]
	}
	taken := d.b[:n]
	d.b = d.b[n:]
	return taken
}

func (d *decoder) uint64() uint64 { return binary.LittleEndian.Uint64(d.take(8)) }

func (d *decoder) partition() quota.Partition {
	v := d.uvarint()
	if v > math.MaxUint32 {
		d.err = errRange
	}
	return quota.Partition(v)
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	return d.advance(n, v)
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.b)
	return int64(d.advance(n, uint64(v)))
}

// advance skips the n bytes of a variable-length value. It returns 0 if there is none.
func (d *decoder) advance(n int, v uint64) uint64 {
	if d.err != nil || n <= 0 {
		d.err, d.b = errTruncated, nil
		return 0
	}
	d.b = d.b[n:]
	return v
}
