// Package proptest holds the helpers that property tests of all packages share:
// seeds that can be repeated and the check that an invariant detects a fault. Only
// tests import it.
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

// SeedVariable is the environment variable that sets the seed of a run: a number,
// or "random" for a new seed in each test.
const SeedVariable = "WIGEONSPRING_SEED"

// defaultSeed makes a run of CI give the same verdict every time. "make long" uses
// random seeds.
const defaultSeed = 1

// Seed returns the seed of a randomised test and prints it.
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

// Rand returns a random source with a printed seed.
func Rand(t testing.TB) *rand.Rand {
	t.Helper()
	return rand.New(rand.NewPCG(uint64(Seed(t)), 0))
}

// Parameters returns the parameters of a property with a printed seed and at least
// runs successful runs.
func Parameters(t testing.TB, runs int) *gopter.TestParameters {
	t.Helper()
	p := gopter.DefaultTestParametersWithSeed(Seed(t))
	p.MinSuccessfulTests = runs
	return p
}

// Check tests a property with the helper's parameters. The condition takes one
// argument per generator and returns Result.
func Check(t *testing.T, runs int, name string, condition any, gens ...gopter.Gen) {
	t.Helper()
	properties := gopter.NewProperties(Parameters(t, runs))
	properties.Property(name, prop.ForAll(condition, gens...))
	properties.TestingRun(t)
}

// ExpectViolation fails the test unless f violates the named invariant. It shows that the
// invariant detects the absence of its mechanism.
func ExpectViolation(t testing.TB, name string, f func()) {
	t.Helper()
	before := invariant.Violations(name)
	func() {
		defer func() { _ = recover() }() // The default handler panics.
		f()
	}()
	if invariant.Violations(name) == before {
		t.Errorf("invariant %s was not violated", name)
	}
}

// Result turns an error into the result of a gopter property.
func Result(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
