package quota

import (
	"reflect"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/quota"
)

// maxDatagram is the size of the largest datagram that fits into the MTU.
const maxDatagram = 1400

func TestRoundTrip(t *testing.T) {
	report := quota.Report{Session: 1 << 63, Partition: 17, Seq: 300, Base: 299, Usages: []quota.Usage{
		{Team: quota.KeyOf("a"), Admitted: -2, Refused: 0}, {Team: quota.KeyOf("b"), Admitted: 300, Refused: 9},
	}}
	data := AppendReport(nil, report)
	if got, _, err := Decode(data); err != nil || !reflect.DeepEqual(*got, report) {
		t.Errorf("report: got %+v, %v", got, err)
	}
	if len(data) > 40 {
		t.Errorf("a report of two teams has %d bytes", len(data))
	}
	reply := quota.Reply{Session: 7, Partition: 1, Seq: 2, Directives: []quota.Directive{
		{Team: quota.KeyOf("a"), Fraction: 1, RetryAfter: 1200 * time.Millisecond}, {Team: quota.KeyOf("b")},
	}}
	if _, got, err := Decode(AppendReply(nil, reply)); err != nil || !reflect.DeepEqual(*got, reply) {
		t.Errorf("reply: got %+v, %v", got, err)
	}
}

// Guards against datagrams that do not fit into one packet.
func TestLargestDatagrams(t *testing.T) {
	report := quota.Report{Session: 1 << 63, Partition: 1 << 30, Seq: 1 << 40}
	reply := quota.Reply{Session: 1 << 63, Partition: 1 << 30, Seq: 1 << 40}
	for range quota.MaxUsages {
		report.Usages = append(report.Usages, quota.Usage{Team: 1 << 63, Admitted: 1 << 20, Refused: 1 << 20})
	}
	for range quota.MaxDirectives {
		reply.Directives = append(reply.Directives, quota.Directive{Team: 1 << 63})
	}
	if n := len(AppendReport(nil, report)); n > maxDatagram {
		t.Errorf("report has %d bytes", n)
	}
	if n := len(AppendReply(nil, reply)); n > maxDatagram {
		t.Errorf("reply has %d bytes", n)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(AppendReport(nil, quota.Report{Seq: 2, Base: 1, Usages: []quota.Usage{{Team: 1, Admitted: 1}}}))
	f.Add(AppendReply(nil, quota.Reply{Seq: 2, Directives: []quota.Directive{{Team: 1, Fraction: 0.5}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		report, reply, err := Decode(data)
		if err != nil {
			return
		}
		if (report == nil) == (reply == nil) {
			t.Fatalf("decoded into %v and %v", report, reply)
		}
		if reply != nil {
			for _, d := range reply.Directives {
				if d.Fraction < 0 || d.Fraction > 1 {
					t.Errorf("fraction %v", d.Fraction)
				}
			}
		}
	})
}
