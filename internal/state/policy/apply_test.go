package policy_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	api "wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/standin/platform"
)

func text(service, host string, floor int) []byte {
	return fmt.Appendf(nil, "[service]\nname = %q\nhosts = [%q]\nfloor = %d\n[[service.route]]\nname = \"all\"\npath = \"/*\"\n", service, host, floor)
}

func apply(c api.Client, t []byte, base uint64, operator string) (policy.Envelope, error) {
	return policy.Apply(context.Background(), c, t, base, policy.ApplyOptions{Operator: operator, RetryDelay: time.Millisecond})
}

// Guards against a conflict that does not name the operator whose policy is stored, and
// against an invalid document that is stored.
func TestApplyConflict(t *testing.T) {
	m := platform.NewMemory()
	if env, err := apply(m, text("a", "x", 1), 0, "ann"); err != nil || env.Epoch != 1 {
		t.Fatalf("first policy: %+v, %v", env, err)
	}
	if env, err := apply(m, text("a", "x", 2), 1, "ben"); err != nil || env.Epoch != 2 {
		t.Fatalf("second policy: %+v, %v", env, err)
	}
	var conflict *policy.ConflictError
	if _, err := apply(m, text("a", "x", 3), 1, "ann"); !errors.As(err, &conflict) || conflict.Epoch != 2 || conflict.Operator != "ben" {
		t.Fatalf("got %v, want a conflict with epoch 2 of ben", err)
	}
	var problems policy.Problems
	if _, err := apply(m, []byte("[service]"), 2, "ann"); !errors.As(err, &problems) {
		t.Fatalf("invalid document: %v", err)
	}
}

// Guards against a policy that nodes refuse after the platform was restored from a
// backup, and against a restore that bypasses the check of the base epoch.
func TestApplyAfterRestore(t *testing.T) {
	cases := []struct{ stored, after, want uint64 }{{0, 7, 8}, {2, 7, 8}, {2, 1, 3}, {2, 2, 3}}
	for _, c := range cases {
		m := platform.NewMemory()
		for base := range c.stored {
			if _, err := apply(m, text("a", "x", 1), base, "ann"); err != nil {
				t.Fatal(err)
			}
		}
		o := policy.ApplyOptions{Operator: "ben", AfterEpoch: c.after, RetryDelay: time.Millisecond}
		env, err := policy.Apply(context.Background(), &lostResponseClient{Memory: m, takesEffect: true, between: func() {}}, text("a", "x", 2), c.stored, o)
		stored, _, readErr := policy.Read(context.Background(), m, "a")
		if err != nil || readErr != nil || env.Epoch != c.want || stored.Epoch != c.want {
			t.Errorf("stored %d, after %d: epoch %d, stored %d, want %d; %v", c.stored, c.after, env.Epoch, stored.Epoch, c.want, err)
		}
		var conflict *policy.ConflictError
		if _, err := policy.Apply(context.Background(), m, text("a", "x", 3), c.stored, o); !errors.As(err, &conflict) || conflict.Base != c.stored {
			t.Errorf("restore based on an old epoch: %v", err)
		}
	}
}

// Guards against concurrent changes of one policy that are both reported as accepted.
func TestApplyConcurrently(t *testing.T) {
	m := platform.NewMemory()
	for round := range 20 {
		var wg sync.WaitGroup
		errs := make([]error, 4)
		for i := range errs {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, errs[i] = apply(m, text("a", "x", i), uint64(round), fmt.Sprint(i))
			}()
		}
		wg.Wait()
		accepted := 0
		for _, err := range errs {
			var conflict *policy.ConflictError
			if err == nil {
				accepted++
			} else if !errors.As(err, &conflict) && !errors.Is(err, api.ErrConflict) {
				t.Fatal(err)
			}
		}
		env, _, err := policy.Read(context.Background(), m, "a")
		if err != nil || env.Epoch != uint64(round+accepted) || accepted != 1 {
			t.Fatalf("round %d: %d accepted, epoch %d, %v", round, accepted, env.Epoch, err)
		}
	}
}

// lostResponseClient returns ErrUnavailable for the next write of a policy and calls
// between before it returns. The write itself takes place only if takesEffect is set.
type lostResponseClient struct {
	*platform.Memory
	takesEffect bool
	between     func()
}

func (l *lostResponseClient) Put(ctx context.Context, key string, value []byte, version uint64) (api.Object, error) {
	if key == policy.HostsKey || l.between == nil {
		return l.Memory.Put(ctx, key, value, version)
	}
	if l.takesEffect {
		if _, err := l.Memory.Put(ctx, key, value, version); err != nil {
			return api.Object{}, err
		}
	}
	between := l.between
	l.between = nil
	between()
	return api.Object{}, api.ErrUnavailable
}

// Guards against a write without a response that is reported as failed although it took
// effect, or as accepted although another operator's policy was stored.
func TestApplyLostResponse(t *testing.T) {
	for _, takesEffect := range []bool{true, false} {
		for _, others := range []int{0, 1, 3} {
			t.Run(fmt.Sprintf("effect=%v/others=%d", takesEffect, others), func(t *testing.T) {
				m := platform.NewMemory()
				l := &lostResponseClient{Memory: m, takesEffect: takesEffect}
				l.between = func() {
					base := uint64(0)
					if takesEffect {
						base = 1
					}
					for i := range others {
						if _, err := apply(m, text("a", "x", 50+i), base+uint64(i), "ben"); err != nil {
							t.Fatal(err)
						}
					}
				}
				env, err := apply(l, text("a", "x", 1), 0, "ann")
				var conflict *policy.ConflictError
				if takesEffect || others == 0 {
					if err != nil || env.Epoch != 1 {
						t.Fatalf("got %+v, %v, want epoch 1", env, err)
					}
				} else if !errors.As(err, &conflict) || conflict.Operator != "ben" {
					t.Fatalf("got %v, want a conflict", err)
				}
			})
		}
	}
}

// Guards against an outage that is reported as a refusal although the write may have
// taken effect, and against a stale read after which the accepted write is reported as
// failed.
func TestApplyOutageAndStaleReads(t *testing.T) {
	m := platform.NewMemory()
	l := &lostResponseClient{Memory: m, takesEffect: true, between: func() { m.SetFaults(platform.Faults{Outage: true}) }}
	var unknown *policy.UnknownOutcomeError
	if _, err := apply(l, text("a", "x", 1), 0, "ann"); !errors.As(err, &unknown) || !errors.Is(err, api.ErrUnavailable) {
		t.Fatalf("outage after the write: %v", err)
	}
	m.SetFaults(platform.Faults{})
	l.between = func() { m.SetFaults(platform.Faults{StaleReads: 1}) }
	time.AfterFunc(20*time.Millisecond, func() { m.SetFaults(platform.Faults{}) })
	_, err := policy.Apply(context.Background(), l, text("a", "x", 2), 1, policy.ApplyOptions{RetryDelay: 10 * time.Millisecond})
	if err != nil {
		t.Fatalf("stale read-back: %v", err)
	}
}

// Guards against one host that is accepted for two services, and against a host that
// stays claimed after its service released it.
func TestApplyClaimsHosts(t *testing.T) {
	m := platform.NewMemory()
	if _, err := apply(m, text("a", "x", 1), 0, "ann"); err != nil {
		t.Fatal(err)
	}
	var claim *policy.ClaimError
	if _, err := apply(m, text("b", "x", 1), 0, "ben"); !errors.As(err, &claim) || claim.Holder != "a" || claim.Host != "x" {
		t.Fatalf("host of another service: %v", err)
	}
	if _, err := apply(m, text("a", "y", 1), 1, "ann"); err != nil {
		t.Fatal(err)
	}
	m.SetFaults(platform.Faults{LoseAnswers: 2})
	if _, err := apply(m, text("b", "x", 1), 0, "ben"); err != nil {
		t.Fatalf("host that was released: %v", err)
	}
}
