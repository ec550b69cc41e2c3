package policy

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/state/platform"
)

const (
	// KeyPrefix is the prefix of the platform keys that hold policies.
	KeyPrefix = "policy/"
	// HostsKey is the platform key of the host claims. It does not start with
	// KeyPrefix, so that watchers of policies do not receive it.
	HostsKey = "policy-hosts"

	// recentOperations is the number of operation ids that an envelope holds. A
	// writer that got no response finds its id even if other operators have applied
	// this many policies in the meantime.
	recentOperations = 8
	// maxApplyAttempts bounds the writes of one object within one call of Apply.
	maxApplyAttempts = 5
)

// Key returns the platform key of a service's policy.
func Key(service string) string { return KeyPrefix + service }

// Envelope is a policy as stored in the platform.
type Envelope struct {
	Epoch    uint64    `json:"epoch"`
	Text     string    `json:"text"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	// Operation identifies the write that stored this epoch.
	Operation string `json:"operation"`
	// Recent are the operations of the preceding epochs, the newest first.
	Recent []string `json:"recent,omitempty"`
}

// DecodeEnvelope decodes the envelope in a platform object.
func DecodeEnvelope(obj platform.Object) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(obj.Value, &e); err != nil {
		return Envelope{}, fault.New("decode policy envelope", obj.Key, err)
	}
	return e, nil
}

// ConflictError reports that the policy in the platform is not the one on which the
// operator based the change.
type ConflictError struct {
	Service string
	// Base is the epoch that the operator started from.
	Base uint64
	// Epoch, Operator and Time describe the stored policy; Epoch 0 means that the
	// service has no policy.
	Epoch    uint64
	Operator string
	Time     time.Time
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Epoch == 0 {
		return fmt.Sprintf("policy of service %s: based on epoch %d, but the platform has none", e.Service, e.Base)
	}
	return fmt.Sprintf("policy of service %s: based on epoch %d, but operator %s applied epoch %d at %s",
		e.Service, e.Base, e.Operator, e.Epoch, e.Time.UTC().Format(time.RFC3339))
}

// ClaimError reports that another service has claimed a host in the platform.
type ClaimError struct {
	Service string
	Host    string
	Holder  string
	// Epoch is the epoch for which the holder claimed the host.
	Epoch uint64
}

// Error implements error.
func (e *ClaimError) Error() string {
	return fmt.Sprintf("policy of service %s: host %s is claimed by service %s since epoch %d", e.Service, e.Host, e.Holder, e.Epoch)
}

// UnknownOutcomeError reports that the platform did not respond to a write and the
// policy could not be read back. The policy may or may not have been accepted.
type UnknownOutcomeError struct {
	Service string
	Epoch   uint64
	Err     error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("policy of service %s: epoch %d may or may not have been accepted: %v", e.Service, e.Epoch, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// ApplyOptions configures Apply.
type ApplyOptions struct {
	Operator string
	// AfterEpoch is an epoch that the new one must exceed although the platform does
	// not store it: after a restore of the platform from a backup, nodes refuse
	// epochs up to the one that they have in force. 0 means the stored epoch.
	AfterEpoch uint64
	// Now returns the time stored in the envelope; nil means time.Now.
	Now func() time.Time
	// RetryDelay is the time between two attempts of a write; 0 means 200 ms.
	RetryDelay time.Duration
}

// claim is the entry of one host under HostsKey.
type claim struct {
	Service string `json:"service"`
	// Epoch is the policy epoch for which the host was claimed. A release for an
	// earlier epoch does not remove the claim.
	Epoch uint64 `json:"epoch"`
}

// Apply validates text and stores it as the next epoch of its service, or as the one
// after ApplyOptions.AfterEpoch if that is higher. It stores the policy only if the
// platform still holds baseEpoch; 0 means that the service has no policy yet. The error
// is Problems, a ConflictError, a ClaimError, an UnknownOutcomeError or that of the
// platform.
//
// New hosts are claimed before the policy is written, and hosts that the policy no longer
// names are released afterwards. Concurrent policies of different services therefore
// cannot both be accepted with the same host.
func Apply(ctx context.Context, c platform.Client, text []byte, baseEpoch uint64, o ApplyOptions) (Envelope, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.RetryDelay == 0 {
		o.RetryDelay = 200 * time.Millisecond
	}
	doc, problems := Parse(text)
	if len(problems) > 0 {
		return Envelope{}, problems
	}
	service := doc.Service.Name
	cur, version, err := Read(ctx, c, service)
	if err != nil {
		return Envelope{}, err
	}
	if cur.Epoch != baseEpoch {
		return Envelope{}, conflict(service, baseEpoch, cur)
	}
	env := Envelope{
		Epoch: max(baseEpoch, o.AfterEpoch) + 1, Text: string(text), Operator: o.Operator, Time: o.Now().UTC(), Operation: rand.Text(),
	}
	if cur.Operation != "" {
		env.Recent = append([]string{cur.Operation}, cur.Recent...)
		env.Recent = env.Recent[:min(len(env.Recent), recentOperations)]
	}
	if err := updateClaims(ctx, c, o.RetryDelay, service, env.Epoch, doc.Service.Hosts, false); err != nil {
		return Envelope{}, err
	}
	if err := write(ctx, c, service, env, baseEpoch, version, o.RetryDelay); err != nil {
		return Envelope{}, err
	}
	// The policy is accepted. Claims that could not be released here are released by
	// the next Apply of the service.
	_ = updateClaims(ctx, c, o.RetryDelay, service, env.Epoch, doc.Service.Hosts, true)
	return env, nil
}

// Read returns the stored policy of a service and the version of its object.
// Both are zero if the service has none.
func Read(ctx context.Context, c platform.Client, service string) (Envelope, uint64, error) {
	obj, err := c.Get(ctx, Key(service))
	if errors.Is(err, platform.ErrNotFound) {
		return Envelope{}, 0, nil
	}
	if err != nil {
		return Envelope{}, 0, fault.New("read policy", service, err)
	}
	env, err := DecodeEnvelope(obj)
	return env, obj.Version, err
}

func conflict(service string, base uint64, stored Envelope) error {
	return &ConflictError{Service: service, Base: base, Epoch: stored.Epoch, Operator: stored.Operator, Time: stored.Time}
}

// write stores the envelope. A write without a response may have taken effect. It is
// therefore looked up by its operation id, and repeated with the same version until the
// platform shows which write succeeded.
func write(ctx context.Context, c platform.Client, service string, env Envelope, base, version uint64, retryDelay time.Duration) error {
	value, err := json.Marshal(env)
	if err != nil {
		return fault.New("encode policy envelope", service, err)
	}
	noResponse := false
	for attempt := 0; ; attempt++ {
		_, err := c.Put(ctx, Key(service), value, version)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrUnavailable):
			noResponse = true
		case !errors.Is(err, platform.ErrConflict):
			return fault.New("write policy", service, err)
		}
		cur, curVersion, readErr := Read(ctx, c, service)
		if readErr == nil {
			if cur.Operation == env.Operation || slices.Contains(cur.Recent, env.Operation) {
				return nil
			}
			// A read that shows no later version than the one replaced is stale.
			if curVersion > version && !(noResponse && cur.Epoch >= env.Epoch+recentOperations) {
				return conflict(service, base, cur)
			}
			readErr = err
		}
		if attempt+1 == maxApplyAttempts || !sleep(ctx, retryDelay) {
			if !noResponse {
				return fault.New("write policy", service, readErr)
			}
			return &UnknownOutcomeError{Service: service, Epoch: env.Epoch, Err: readErr}
		}
	}
}

// updateClaims claims the hosts for the service. If release is set, it instead releases
// the claims of the service on all other hosts.
func updateClaims(ctx context.Context, c platform.Client, retryDelay time.Duration, service string, epoch uint64, hosts []string, release bool) error {
	for attempt := 0; ; attempt++ {
		claims := map[string]claim{}
		obj, err := c.Get(ctx, HostsKey)
		if err == nil {
			err = json.Unmarshal(obj.Value, &claims)
		} else if errors.Is(err, platform.ErrNotFound) {
			err = nil
		}
		if err == nil {
			changed, refusal := changeClaims(claims, service, epoch, hosts, release)
			if refusal != nil || !changed {
				return refusal
			}
			var value []byte
			if value, err = json.Marshal(claims); err == nil {
				if _, err = c.Put(ctx, HostsKey, value, obj.Version); err == nil {
					return nil
				}
			}
		}
		retryable := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrConflict)
		if !retryable || attempt+1 == maxApplyAttempts || !sleep(ctx, retryDelay) {
			return fault.New("claim hosts", service, err)
		}
	}
}

func changeClaims(claims map[string]claim, service string, epoch uint64, hosts []string, release bool) (changed bool, err error) {
	before := maps.Clone(claims)
	if release {
		maps.DeleteFunc(claims, func(host string, cl claim) bool {
			return cl.Service == service && cl.Epoch <= epoch && !slices.Contains(hosts, host)
		})
		return !maps.Equal(before, claims), nil
	}
	for _, h := range hosts {
		cl, taken := claims[h]
		if taken && cl.Service != service {
			return false, &ClaimError{Service: service, Host: h, Holder: cl.Service, Epoch: cl.Epoch}
		}
		claims[h] = claim{Service: service, Epoch: max(epoch, cl.Epoch)}
	}
	return !maps.Equal(before, claims), nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
