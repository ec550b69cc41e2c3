// Package proptest holds helpers for the property tests of all packages:
// reproducible seeds, and a check that an invariant detects a violation. Only tests
// import it.
package proptest

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/prop"

	"wigeonspring.example/wigeonspring/internal/invariant"
)

// SeedVariable is the environment variable that sets the seed of a test run: a
// number, or "random" for a new seed in each test.
const SeedVariable = "WIGEONSPRING_SEED"

// defaultSeed makes CI runs of the same code give the same result. "make long" uses
// random seeds.
const defaultSeed = 1

// Seed returns the seed of a randomized test and logs it.
func Seed(t testing.TB) int64 {
	t.Helper()
	seed := int64(defaultSeed)
	switch text := os.Getenv(SeedVariable); text {
	case "":
	case "random":
		seed = time.Now().UnixNano()
	default:
		var err error
		if seed, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatalf("%s: %v", SeedVariable, err)
		}
	}
	t.Logf("seed %d (repeat with %s=%d)", seed, SeedVariable, seed)
	return seed
}

// Rand returns a random number generator and logs its seed.
func Rand(t testing.TB) *rand.Rand {
	t.Helper()
	return rand.New(rand.NewPCG(uint64(Seed(t)), 0))
}

// Parameters returns the gopter parameters of a property test and logs their seed.
// The property must hold for runs generated inputs.
func Parameters(t testing.TB, runs int) *gopter.TestParameters {
	t.Helper()
	p := gopter.DefaultTestParametersWithSeed(Seed(t))
	p.MinSuccessfulTests = runs
	return p
}

// Check tests a property for runs generated inputs. The condition is a function that
// takes one argument for each generator and returns a string, such as that of Result.
func Check(t *testing.T, runs int, name string, condition any, gens ...gopter.Gen) {
	t.Helper()
	properties := gopter.NewProperties(Parameters(t, runs))
	properties.Property(name, prop.ForAll(condition, gens...))
	properties.TestingRun(t)
}

// ExpectViolation fails the test unless f violates the named invariant. A test calls
// it with the mechanism that upholds the invariant switched off, which shows that the
// invariant detects its absence.
func ExpectViolation(t testing.TB, name string, f func()) {
	t.Helper()
	before := invariant.Violations(name)
	func() {
		defer func() { _ = recover() }() // The default handler of violations panics.
		f()
	}()
	if invariant.Violations(name) == before {
		t.Errorf("invariant %s was not violated", name)
	}
}

// Result converts an error into the result of a gopter property: the empty string
// if the property holds, or the text of the error.
func Result(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
