package proxy

import (
	"net/http"
	"testing"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// changingPolicies changes the policies after each Match and before its result is used.
type changingPolicies struct {
	table  *policy.Table
	change func()
}

func (p *changingPolicies) Match(host, method, path string) (policy.Match, error) {
	m, err := p.table.Match(host, method, path)
	p.change()
	return m, err
}

// Guards against a removed key that works because the node learns of the removal, and that its
// policies are current again, after the policies of the request were read.
func TestKeysAreCurrentBeforePoliciesAreRead(t *testing.T) {
	table := policy.NewTable(policy.TableOptions{})
	teamTable(t, 1, table, "key-1", "key-2")
	current := false
	policies := &changingPolicies{table: table, change: func() {
		if !current {
			teamTable(t, 2, table, "key-2")
			current = true
		}
	}}
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) {
		in.Policies, in.KeysCurrent = policies, func() bool { return current }
	})
	f.serve(1, "b1", func(http.ResponseWriter, *http.Request) {})
	send := func(key string) result {
		return f.send(0, http.MethodGet, "/a", nil, func(r *http.Request) { r.Header.Set(header.Credential, key) })
	}
	if got := send("key-1"); got.status != http.StatusServiceUnavailable || got.outcome != header.NotRun {
		t.Errorf("removed key: %d %s", got.status, got.outcome)
	}
	if got := send("key-2"); got.status != http.StatusOK {
		t.Errorf("other key: %d %s", got.status, got.reason)
	}
}
