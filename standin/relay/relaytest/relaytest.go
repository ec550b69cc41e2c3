// Package relaytest starts relays in tests. Only tests import it.
package relaytest

import (
	"context"
	"testing"

	"wigeonspring.example/wigeonspring/standin/relay"
)

// Start runs a relay to target on a free loopback port until the test ends.
func Start(t testing.TB, target string) *relay.Relay {
	t.Helper()
	link, err := relay.New(relay.Options{Listen: "127.0.0.1:0", Target: target})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- link.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return link
}
