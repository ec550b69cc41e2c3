package policy

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonspring.example/wigeonspring/internal/invariant"
)

// VersionedDocument is the text of a service's policy at an epoch.
type VersionedDocument struct {
	Service string
	Epoch   uint64
	Text    []byte
}

// InForce is a policy in force on this node. It must not be changed.
type InForce struct {
	Service  string
	Epoch    uint64
	Hash     uint64
	Text     []byte
	Document *Document
	// Since is when this node put the policy in force.
	Since time.Time

	fleet *fleetTable
}

// Services returns the policies that a fleet document defines for its services. For a
// policy of one service, it returns the policy itself.
func (p *InForce) Services() []*InForce {
	if p.fleet == nil {
		return []*InForce{p}
	}
	return slices.Collect(maps.Values(p.fleet.services))
}

// Errors of Match.
var (
	// ErrUnknownHost says that no policy in force claims the host.
	ErrUnknownHost = errors.New("no policy claims the host")
	// ErrNoRoute says that the host has no route for the request.
	ErrNoRoute = errors.New("no route for the request")
)

// SetResult is the result of Table.Set.
type SetResult struct {
	// Changed is false if the same epoch and hash were already in force.
	Changed bool
	// Policies are the policies that Set put in force: the given one and the pending
	// ones that waited for a host that is now free.
	Policies []*InForce
}

// EpochError reports that the offered epoch is lower than the one known to the table.
type EpochError struct {
	Service        string
	Known, Offered uint64
}

// Error implements error.
func (e *EpochError) Error() string {
	return fmt.Sprintf("policy of service %s: epoch %d refused, epoch %d is known", e.Service, e.Offered, e.Known)
}

// HashError reports that a different text was offered for a known epoch.
type HashError struct {
	Service        string
	Epoch          uint64
	Known, Offered uint64
}

// Error implements error.
func (e *HashError) Error() string {
	return fmt.Sprintf("policy of service %s: epoch %d has hash %s, refused hash %s",
		e.Service, e.Epoch, FormatHash(e.Known), FormatHash(e.Offered))
}

// DocumentError reports that the offered text is not a valid policy of the service.
type DocumentError struct {
	Service  string
	Epoch    uint64
	Problems Problems
}

// Error implements error.
func (e *DocumentError) Error() string {
	return fmt.Sprintf("policy of service %s: epoch %d is invalid: %v", e.Service, e.Epoch, e.Problems)
}

// Unwrap returns the problems.
func (e *DocumentError) Unwrap() error { return e.Problems }

// HostError reports that a host of the offered policy belongs to another service. The
// policy is pending, and the table puts it in force when the host becomes free.
type HostError struct {
	Service string
	Epoch   uint64
	Host    string
	// Holder is the service to which the host belongs by the policies in force.
	Holder string
}

// Error implements error.
func (e *HostError) Error() string {
	return fmt.Sprintf("policy of service %s: epoch %d refused, host %s belongs to service %s", e.Service, e.Epoch, e.Host, e.Holder)
}

// TableOptions configures a Table.
type TableOptions struct {
	// Now returns the time recorded in InForce.Since; nil means time.Now.
	Now func() time.Time
	// AcceptLowerEpochs disables the epoch check. Tests use it to show that the
	// invariant of rising epochs depends on the check.
	AcceptLowerEpochs bool
	// Defaults are the settings that a fleet document does not contain; zero means
	// DefaultServiceDefaults.
	Defaults ServiceDefaults
}

// Table holds the policies in force on a node. Reads take no lock, so that they are
// cheap on the request path; every change replaces the snapshot.
//
// Policies of different services arrive in any order. While a host moves from one
// service to another, a node that receives the policy of the new service first has two
// policies that claim the host. Set then refuses the new policy with a HostError and
// keeps it pending. The table puts it in force as soon as its hosts are free, so that
// the final state does not depend on the order of arrival.
type Table struct {
	now               func() time.Time
	acceptLowerEpochs bool
	defaults          ServiceDefaults
	snapshot          atomic.Pointer[snapshot]

	mu sync.Mutex
	// pending holds, by service, the newest policies that wait for a host.
	pending map[string]*InForce
}

type snapshot struct {
	byService map[string]*InForce
	byHost    map[string]*InForce
	digest    uint64
}

// NewTable returns an empty table.
func NewTable(o TableOptions) *Table {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Defaults == (ServiceDefaults{}) {
		o.Defaults = DefaultServiceDefaults()
	}
	t := &Table{now: o.Now, acceptLowerEpochs: o.AcceptLowerEpochs, defaults: o.Defaults, pending: map[string]*InForce{}}
	t.snapshot.Store(&snapshot{byService: map[string]*InForce{}, byHost: map[string]*InForce{}})
	return t
}

// Set puts a policy in force if its epoch is higher than the known one and its
// document is valid. Otherwise it returns an EpochError, HashError, DocumentError or
// HostError, and the old policy stays in force.
func (t *Table) Set(v VersionedDocument) (SetResult, error) {
	hash := Hash(v.Text)
	t.mu.Lock()
	defer t.mu.Unlock()
	cur := t.snapshot.Load()
	known, isPending := t.pending[v.Service]
	if !isPending {
		known = cur.byService[v.Service]
	}
	if known != nil && !(t.acceptLowerEpochs && v.Epoch < known.Epoch) {
		switch {
		case v.Epoch < known.Epoch:
			return SetResult{}, &EpochError{Service: v.Service, Known: known.Epoch, Offered: v.Epoch}
		case v.Epoch == known.Epoch && hash != known.Hash:
			return SetResult{}, &HashError{Service: v.Service, Epoch: v.Epoch, Known: known.Hash, Offered: hash}
		case v.Epoch == known.Epoch && !isPending:
			return SetResult{}, nil
		}
	}
	if v.Service == FleetName {
		return t.setFleet(v, hash)
	}
	doc, problems := Parse(v.Text)
	if doc != nil && doc.Service.Name != v.Service {
		problems = Problems{{Line: 1, Key: "service.name", Reason: "document of another service", Found: doc.Service.Name, Allowed: v.Service}}
	}
	if len(problems) > 0 {
		return SetResult{}, &DocumentError{Service: v.Service, Epoch: v.Epoch, Problems: problems}
	}
	p := &InForce{Service: v.Service, Epoch: v.Epoch, Hash: hash, Text: slices.Clone(v.Text), Document: doc}
	t.pending[v.Service] = p
	applied := t.applyPending()
	if slices.Contains(applied, p) {
		return SetResult{Changed: true, Policies: applied}, nil
	}
	host, holder := t.hostConflict(p, nil)
	return SetResult{Policies: applied}, &HostError{Service: v.Service, Epoch: v.Epoch, Host: host, Holder: holder}
}

// setFleet puts a fleet document in force. t.mu must be held.
func (t *Table) setFleet(v VersionedDocument, hash uint64) (SetResult, error) {
	f, err := ParseFleet(v.Text)
	if err != nil {
		problems := Problems{{Line: 1, Key: FleetName, Reason: err.Error()}}
		return SetResult{}, &DocumentError{Service: v.Service, Epoch: v.Epoch, Problems: problems}
	}
	p := &InForce{
		Service: v.Service, Epoch: v.Epoch, Hash: hash, Text: slices.Clone(v.Text), Since: t.now(),
		Document: &Document{Service: Service{Name: v.Service}},
	}
	p.fleet = newFleetTable(f, p, t.defaults)
	t.replace(map[string]*InForce{p.Service: p})
	return SetResult{Changed: true, Policies: []*InForce{p}}, nil
}

// hostConflict returns a host of p that belongs to another service, and this service.
// Services in group do not count, because their policies are replaced together with p.
func (t *Table) hostConflict(p *InForce, group map[string]*InForce) (host, holder string) {
	cur := t.snapshot.Load()
	for _, h := range p.Document.Service.Hosts {
		if q := cur.byHost[h]; q != nil && q.Service != p.Service && group[q.Service] == nil {
			return h, q.Service
		}
	}
	return "", ""
}

// applyPending puts in force every pending policy whose hosts are free, or become free
// when other pending policies take effect at the same time.
func (t *Table) applyPending() []*InForce {
	var applied []*InForce
	for progress := true; progress; {
		progress = false
		for _, service := range slices.Sorted(maps.Keys(t.pending)) {
			if group := t.group(t.pending[service]); group != nil {
				t.replace(group)
				for _, s := range slices.Sorted(maps.Keys(group)) {
					applied = append(applied, group[s])
					delete(t.pending, s)
				}
				progress = true
				break
			}
		}
	}
	return applied
}

// group returns p together with the pending policies that must take effect at the same
// time to free its hosts. It returns nil if a host is not freed.
func (t *Table) group(p *InForce) map[string]*InForce {
	group := map[string]*InForce{p.Service: p}
	for grown := true; grown; {
		grown = false
		for _, member := range slices.Collect(maps.Values(group)) {
			_, holder := t.hostConflict(member, group)
			if holder == "" {
				continue
			}
			if t.pending[holder] == nil {
				return nil
			}
			group[holder] = t.pending[holder]
			grown = true
		}
	}
	hosts := map[string]bool{}
	for _, member := range group {
		for _, h := range member.Document.Service.Hosts {
			if hosts[h] {
				return nil
			}
			hosts[h] = true
		}
	}
	return group
}

func (t *Table) replace(group map[string]*InForce) {
	cur := t.snapshot.Load()
	next := &snapshot{
		byService: maps.Clone(cur.byService),
		byHost:    maps.Clone(cur.byHost),
		digest:    cur.digest,
	}
	for service := range group {
		if old := next.byService[service]; old != nil {
			invariant.Check(group[service].Epoch > old.Epoch, "policy_epoch_rises",
				"service %s: epoch %d replaces epoch %d", service, group[service].Epoch, old.Epoch)
			next.digest -= EntryDigest(old.Service, old.Epoch, old.Hash)
			for _, h := range old.Document.Service.Hosts {
				delete(next.byHost, h)
			}
		}
	}
	now := t.now()
	for service, p := range group {
		p.Since = now
		next.byService[service] = p
		next.digest += EntryDigest(p.Service, p.Epoch, p.Hash)
		for _, h := range p.Document.Service.Hosts {
			next.byHost[h] = p
		}
	}
	t.snapshot.Store(next)
}

// Get returns the policy in force of a service, or nil.
func (t *Table) Get(service string) *InForce {
	s := t.snapshot.Load()
	if f := s.fleet(); f != nil && service != FleetName {
		return f.services[service]
	}
	return s.byService[service]
}

func (s *snapshot) fleet() *fleetTable {
	if p := s.byService[FleetName]; p != nil {
		return p.fleet
	}
	return nil
}

// Match returns the route of a request. host is in lower case without a port;
// path is as the caller sent it, without the query. If a fleet document is in force and
// has no route for the request, the returned Match has the epoch of this document.
func (t *Table) Match(host, method, path string) (Match, error) {
	s := t.snapshot.Load()
	if f := s.byService[FleetName]; f != nil && f.fleet != nil {
		m, err := f.fleet.match(host, path)
		m.Epoch = f.Epoch
		return m, err
	}
	p := s.byHost[host]
	if p == nil {
		return Match{}, ErrUnknownHost
	}
	route, ok := p.Document.Match(method, path)
	if !ok {
		return Match{}, ErrNoRoute
	}
	return Match{Route: route, Epoch: p.Epoch, Targets: []MatchTarget{{Policy: p, Weight: 1}}}, nil
}

// LongestTimeout returns the longest timeout of a route in the fleet document in force.
// It returns 0 if a route has no timeout or no fleet document is in force.
func (t *Table) LongestTimeout() time.Duration {
	if f := t.snapshot.Load().fleet(); f != nil {
		return f.longestTimeout
	}
	return 0
}

// Teams returns the teams of the fleet document in force, or nil if requests need no key.
func (t *Table) Teams() *Teams {
	if f := t.snapshot.Load().fleet(); f != nil {
		return f.teams
	}
	return nil
}

// CallerLimits returns the limits of the fleet document in force. Without one, it
// returns the zero value.
func (t *Table) CallerLimits() CallerLimits {
	if f := t.snapshot.Load().fleet(); f != nil {
		return f.limits
	}
	return CallerLimits{}
}

// KnownEpoch returns the highest epoch of a service that is in force or pending. It is
// 0 if there is none.
func (t *Table) KnownEpoch(service string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pending[service]; p != nil {
		return p.Epoch
	}
	if p := t.Get(service); p != nil {
		return p.Epoch
	}
	return 0
}

// ByHost returns the policy in force that claims the host, or nil.
func (t *Table) ByHost(host string) *InForce { return t.snapshot.Load().byHost[host] }

// All returns the policies in force, ordered by service name.
func (t *Table) All() []*InForce {
	s := t.snapshot.Load()
	all := make([]*InForce, 0, len(s.byService))
	for _, name := range slices.Sorted(maps.Keys(s.byService)) {
		all = append(all, s.byService[name])
	}
	return all
}

// Digest returns a digest of the whole table. Tables with the same services, epochs and
// hashes have the same digest, regardless of the order of the changes. The digest of an
// empty table is 0.
func (t *Table) Digest() uint64 { return t.snapshot.Load().digest }

// EntryDigest returns the contribution of one policy to the digest of a table. The
// digest is the sum of the contributions modulo 2^64.
func EntryDigest(service string, epoch, hash uint64) uint64 {
	b := make([]byte, 0, 80)
	b = append(b, service...)
	b = append(b, 0)
	b = binary.BigEndian.AppendUint64(b, epoch)
	b = binary.BigEndian.AppendUint64(b, hash)
	return xxhash.Sum64(b)
}
