package proxy

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/transport/peer"
)

// teamTable returns a table with a fleet document of one team, without the keys in taken.
func teamTable(t *testing.T, epoch uint64, table *policy.Table, keys ...string) {
	t.Helper()
	rank := 3
	f := &policy.Fleet{
		Services: []policy.FleetService{{Name: "booking"}},
		Teams:    []policy.FleetTeam{{Name: "bakers", Rank: &rank, RatePerSecond: 10, Burst: 1}, {Name: "other", Keys: []policy.KeyDigest{policy.DigestKey("other-key")}}},
	}
	for _, k := range keys {
		f.Teams[0].Keys = append(f.Teams[0].Keys, policy.DigestKey(k))
	}
	for _, r := range []struct {
		prefix string
		public bool
	}{{"/", false}, {"/open/", true}} {
		f.Routes = append(f.Routes, policy.FleetRoute{
			Name: "r" + r.prefix, Host: "booking.test", Prefix: r.prefix, Public: r.public, Timeout: policy.Duration(2 * time.Second),
			Rank: 1, MaxAttempts: 2, Targets: []policy.Target{{Service: "booking", Weight: 1}},
		})
	}
	text, err := policy.EncodeFleet(f)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Set(policy.VersionedDocument{Service: policy.FleetName, Epoch: epoch, Text: text}); err != nil {
		t.Fatal(err)
	}
}

// fakeQuotas refuses the requests after the first few.
type fakeQuotas struct{ left, refunds int }

func (q *fakeQuotas) Admit(*policy.Team) (bool, time.Duration) {
	q.left--
	return q.left >= 0, 1500 * time.Millisecond
}

func (q *fakeQuotas) Refund(*policy.Team) { q.refunds++ }

// Guards against a key that reaches a backend server or a log, against a name of a team that the
// caller chose, and against a request that runs without a key that is valid now.
func TestKeysOfTeams(t *testing.T) {
	var log bytes.Buffer
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&log), zap.DebugLevel))
	table := policy.NewTable(policy.TableOptions{})
	teamTable(t, 1, table, "key-1", "key-2")
	current := true
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) {
		in.Policies, in.Logger, in.KeysCurrent = table, logger, func() bool { return current }
	})
	ran := make(chan http.Header, 1)
	f.serve(1, "b1", func(_ http.ResponseWriter, r *http.Request) { ran <- r.Header })
	send := func(path string, keys ...string) result {
		return f.send(0, http.MethodGet, path, nil, func(r *http.Request) {
			r.Header[header.Credential] = keys
			r.Header.Set(header.Team, "forged")
		})
	}
	long := strings.Repeat("k", policy.MaxKeyBytes+1)
	for _, c := range []struct {
		name, path string
		keys       []string
		status     int
		team       string
	}{
		{"valid key", "/a", []string{"key-1"}, 200, "bakers"},
		{"second key", "/a", []string{"key-2"}, 200, "bakers"},
		{"key of another team", "/a", []string{"other-key"}, 200, "other"},
		{"public route", "/open/a", nil, 200, ""},
		{"public route with a key", "/open/a", []string{"key-1"}, 200, ""},
		{"no key", "/a", nil, 401, ""},
		{"empty key", "/a", []string{""}, 401, ""},
		{"unknown key", "/a", []string{"key-3"}, 401, ""},
		{"two keys", "/a", []string{"key-1", "key-2"}, 401, ""},
		{"overlong key", "/a", []string{long}, 401, ""},
	} {
		got := send(c.path, c.keys...)
		if got.status != c.status {
			t.Errorf("%s: status %d, want %d (%s)", c.name, got.status, c.status, got.reason)
			continue
		}
		if c.status != http.StatusOK {
			continue
		}
		h := <-ran
		if team := h.Get(header.Team); team != c.team || h.Get(header.Credential) != "" {
			t.Errorf("%s: backend server got team %q and key %q, want team %q", c.name, team, h.Get(header.Credential), c.team)
		}
	}
	teamTable(t, 2, table, "key-2")
	if got := send("/a", "key-1"); got.status != http.StatusUnauthorized {
		t.Errorf("key that was taken away: status %d", got.status)
	}
	current = false
	if got := send("/a", "key-2"); got.status != http.StatusServiceUnavailable || got.outcome != header.NotRun {
		t.Errorf("node that may have missed a revocation: %d %s", got.status, got.outcome)
	}
	if got := send("/open/a"); got.status != http.StatusOK {
		t.Errorf("public route at such a node: %d", got.status)
	}
	for _, key := range []string{"key-1", "key-2", "key-3", long} {
		if strings.Contains(log.String(), key) || strings.Contains(fmt.Sprint(table.All()[0].Document), key) {
			t.Errorf("key %q is in the log or in the document", key)
		}
	}
}

// Guards against an owner that does not learn the team of a request and its quota, or that
// takes them from the caller.
func TestOwnerLearnsTeamAndQuota(t *testing.T) {
	for shares, want := range map[bool]header.Hop{true: {Caller: "bakers", CallerWeight: 10}, false: {}} {
		if got := hopOfTeam(t, shares); got.Caller != want.Caller || got.CallerWeight != want.CallerWeight {
			t.Errorf("team shares %t: owner got caller %q of weight %v, want %q of weight %v",
				shares, got.Caller, got.CallerWeight, want.Caller, want.CallerWeight)
		}
	}
}

// hopOfTeam returns what the owner gets with a request of the team bakers whose caller forges
// the headers between nodes.
func hopOfTeam(t *testing.T, shares bool) header.Hop {
	t.Helper()
	table := policy.NewTable(policy.TableOptions{})
	teamTable(t, 1, table, "key-1")
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.Policies, in.TeamShares = table, shares })
	hops := make(chan header.Hop, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hop, err := header.ReadHop(r.Header)
		if err != nil {
			t.Error(err)
		}
		hops <- hop
		f.nodes[1].owner.ServeHTTP(w, r)
	}))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	f.nodes[1].addr = l.Addr().String()
	f.serve(1, "b1", func(http.ResponseWriter, *http.Request) {})
	got := f.send(0, http.MethodGet, "/a", nil, func(r *http.Request) {
		r.Header.Set(header.Credential, "key-1")
		r.Header.Set(header.Caller, "forged")
		r.Header.Set(header.CallerWeight, "1000")
	})
	if got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	return <-hops
}

// Guards against a request beyond the quota that runs or waits, and against a request that has
// not run and still counts.
func TestQuotaOfTeam(t *testing.T) {
	table := policy.NewTable(policy.TableOptions{})
	teamTable(t, 1, table, "key-1")
	quotas := &fakeQuotas{left: 2}
	f := newFleet(t, 1, func(_ *OwnerOptions, in *IngressOptions) { in.Policies, in.Quotas = table, quotas })
	send := func() result {
		return f.send(0, http.MethodGet, "/a", nil, func(r *http.Request) { r.Header.Set(header.Credential, "key-1") })
	}
	if got := send(); got.status != http.StatusServiceUnavailable || quotas.refunds != 1 {
		t.Errorf("without a backend server: status %d, %d refunds", got.status, quotas.refunds)
	}
	f.serve(0, "b1", func(http.ResponseWriter, *http.Request) {})
	if got := send(); got.status != http.StatusOK || quotas.refunds != 1 {
		t.Errorf("within the quota: status %d, %d refunds", got.status, quotas.refunds)
	}
	got := send()
	if got.status != http.StatusTooManyRequests || got.outcome != header.NotRun || got.header.Get("Retry-After") != "1.50" || quotas.refunds != 1 {
		t.Errorf("beyond the quota: %d %s, Retry-After %q, %d refunds", got.status, got.outcome, got.header.Get("Retry-After"), quotas.refunds)
	}
}

// Guards against a key that reaches a backend server while the policies in force have no teams,
// at a node that has not learned of the first ones.
func TestKeyStaysAtNodeWithoutTeams(t *testing.T) {
	dialect := *header.DefaultDialect()
	dialect.Credential, dialect.Team = "Credential", "Team-Name"
	f := newFleet(t, 2, func(o *OwnerOptions, in *IngressOptions) { o.Dialect, in.Dialect = &dialect, &dialect })
	ran := make(chan http.Header, 1)
	f.serve(1, "b1", func(_ http.ResponseWriter, r *http.Request) { ran <- r.Header })
	got := f.send(0, http.MethodGet, "/a", nil, func(r *http.Request) {
		r.Header.Set(dialect.Credential, "key-1")
		r.Header.Set(dialect.Team, "forged")
	})
	if got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	if h := <-ran; h.Get(dialect.Credential) != "" || h.Get(dialect.Team) != "" {
		t.Errorf("backend server got key %q and team %q", h.Get(dialect.Credential), h.Get(dialect.Team))
	}
}
