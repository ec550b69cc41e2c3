package header

import (
	"net/http"
	"testing"
)

// Guards against request headers that make an owner panic, and against a hop that changes
// when it is written and read again.
func FuzzReadHop(f *testing.F) {
	id := "0123456789abcdef0123456789abcdef"
	f.Add(id, "b1", "booking", "all", "7", "1500", "200", "1", "team", "r1", "failure_rate=0.01 median_us=1500 samples=40")
	f.Add(id, "b1", "booking", "", "18446744073709551615", "99999999999999999999", "", "1000", "a b", "", "failure_rate=1 median_us=0 samples=0")
	f.Add("", "", "", "", "-1", "-1", "x", "0", "", "", "failure_rate=NaN median_us=1 samples=1")
	f.Fuzz(func(t *testing.T, id, backend, service, route, incarnation, deadline, within, attempt, caller, region, baseline string) {
		h := http.Header{}
		for name, value := range map[string]string{
			RequestID: id, Backend: backend, Service: service, Route: route, OwnerIncarnation: incarnation, DeadlineMillis: deadline,
			AnswerWithinMillis: within, Attempt: attempt, Caller: caller, Region: region, Baseline: baseline,
		} {
			h.Set(name, value)
		}
		p, err := ReadHop(h)
		if err != nil {
			return
		}
		if p.TimeLeft < 0 || p.TimeLeft > maxDeadline || p.AnswerWithin < 0 || p.AnswerWithin > maxDeadline || p.Attempt < 1 || p.Attempt > maxAttempt {
			t.Fatalf("out of bounds: %+v", p)
		}
		out := http.Header{}
		p.Write(out)
		again, err := ReadHop(out)
		if err != nil {
			t.Fatalf("%+v is refused: %v", p, err)
		}
		p.Baseline.FailureRate, again.Baseline.FailureRate = 0, 0 // written with four digits
		if p != again {
			t.Fatalf("%+v became %+v", p, again)
		}
	})
}

// Guards against a load report that makes an ingress node panic or is accepted although it
// is out of bounds.
func FuzzParseLoad(f *testing.F) {
	f.Add("slots=5 in_use=2 queued=0 weight=1")
	f.Add("slots=1073741824 in_use=0 queued=0 weight=1e-310")
	f.Add("slots=-1 in_use=0x2 queued= weight=Inf")
	f.Fuzz(func(t *testing.T, s string) {
		l, err := ParseLoad(s)
		if err != nil {
			return
		}
		again, err := ParseLoad(FormatLoad(l))
		if err != nil || l.Weight < 0 || l.Weight > 1 {
			t.Fatalf("%+v: %v", l, err)
		}
		again.Weight = l.Weight // written with four digits
		if l != again {
			t.Fatalf("%+v became %+v", l, again)
		}
	})
}

// Guards against a baseline that makes an owner panic or is accepted although it is out of
// bounds.
func FuzzParseBaseline(f *testing.F) {
	f.Add("failure_rate=0.01 median_us=1500 samples=40")
	f.Add("failure_rate=0.99999 median_us=1073741824 samples=1073741824")
	f.Add("failure_rate=1.1 median_us=-1 samples=")
	f.Fuzz(func(t *testing.T, s string) {
		v, err := ParseBaseline(s)
		if err != nil {
			return
		}
		again, err := ParseBaseline(FormatBaseline(v))
		if err != nil || v.FailureRate < 0 || v.FailureRate > 1 {
			t.Fatalf("%+v: %v", v, err)
		}
		again.FailureRate = v.FailureRate // written with four digits
		if v != again {
			t.Fatalf("%+v became %+v", v, again)
		}
	})
}

// Guards against a query for an attempt that makes an owner panic, or that changes when it is
// written and read again.
func FuzzReadRecovery(f *testing.F) {
	f.Add("0123456789abcdef0123456789abcdef", "n1.01234567", "7", "9", "1500")
	f.Add("", "", "-1", "18446744073709551616", "x")
	f.Fuzz(func(t *testing.T, id, origin, sequence, incarnation, deadline string) {
		h := http.Header{}
		for name, value := range map[string]string{
			RequestID: id, Origin: origin, Sequence: sequence, OwnerIncarnation: incarnation, DeadlineMillis: deadline,
		} {
			h.Set(name, value)
		}
		q, err := ReadRecovery(h)
		if err != nil {
			return
		}
		if q.TimeLeft < 0 || q.TimeLeft > maxDeadline || q.Origin == "" || len(q.Origin) > maxOriginBytes {
			t.Fatalf("out of bounds: %+v", q)
		}
		out := http.Header{}
		q.Write(out)
		if again, err := ReadRecovery(out); err != nil || again != q {
			t.Fatalf("%+v became %+v: %v", q, again, err)
		}
	})
}

// Guards against a cost that makes an ingress node panic or is accepted although it is out of
// bounds.
func FuzzParseCost(f *testing.F) {
	f.Add("work_us=1500 wait_us=0")
	f.Add("work_us=1073741824 wait_us=99999999999999999999")
	f.Fuzz(func(t *testing.T, s string) {
		work, wait, err := ParseCost(s)
		if err != nil {
			return
		}
		againWork, againWait, err := ParseCost(FormatCost(work, wait))
		if err != nil || work < 0 || wait < 0 || againWork != work || againWait != wait {
			t.Fatalf("%v, %v: %v", work, wait, err)
		}
	})
}
