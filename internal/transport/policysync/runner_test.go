package policysync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/distribution"
	"wigeonspring.example/wigeonspring/internal/protocol/policypb"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against a notification that goes out without the text of the policy because another
// one about the same version has none.
func TestNotificationKeepsText(t *testing.T) {
	v := distribution.Version{Service: "booking", Epoch: 3}
	for _, texts := range [][2]string{{"text", ""}, {"", "text"}} {
		var sent string
		r := &Runner{opts: Options{SendNotification: func(_ distribution.Version, text []byte, to []registry.NodeID) {
			sent = string(text)
			if len(to) != 2 {
				t.Errorf("sent to %v", to)
			}
		}}}
		r.sendNotifications([]distribution.Notification{
			{To: "n1", Version: v, Text: []byte(texts[0])}, {To: "n2", Version: v, Text: []byte(texts[1])},
		})
		if sent != "text" {
			t.Errorf("%q then %q: sent with %q", texts[0], texts[1], sent)
		}
	}
}

// countingWriter counts the bytes of the bodies that a handler writes.
type countingWriter struct {
	http.ResponseWriter
	bytes *int
}

func (w countingWriter) Write(p []byte) (int, error) {
	*w.bytes += len(p)
	return w.ResponseWriter.Write(p)
}

// Guards against a policy with many routes that is in force late, because each node fetches it
// uncompressed over the slow link of a small VM.
func TestLargePolicySpreadsOverSlowLinksInTime(t *testing.T) {
	const (
		linkBytesPerSecond = 10_000_000 / 8
		// A policy must be in force 2 s after the platform has accepted it. The watch of a
		// node may take 1 s of it. A failure domain of 16 nodes needs two fetches in a row
		// after that, each while the peer serves pushFanout others.
		timeForFetches = time.Second
		fetches        = 2
		pushFanout     = 4
	)
	document := largeFleetDocument(t, 1400)
	core := distribution.New(distribution.Options{Self: "n1", Start: time.Now(), Rand: rand.New(rand.NewPCG(1, 1))})
	if _, err := core.Table().Set(policy.VersionedDocument{Service: policy.FleetName, Epoch: 1, Text: document}); err != nil {
		t.Fatal(err)
	}
	sent := 0
	handler := New(Options{Core: core}).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(countingWriter{w, &sent}, r)
	}))
	t.Cleanup(server.Close)
	client := policypb.NewPoliciesProtobufClient(server.URL, server.Client())
	reply, err := pull(context.Background(), client, &distribution.Pull{Services: []string{policy.FleetName}})
	if err != nil || len(reply.Policies) != 1 || string(reply.Policies[0].Text) != string(document) {
		t.Fatalf("the document did not arrive: %v", err)
	}
	took := time.Duration(fetches*pushFanout*sent) * time.Second / linkBytesPerSecond
	if took > timeForFetches {
		t.Errorf("%d bytes for a document of %d: %s for %d fetches in a row", sent, len(document), took, fetches)
	}
}

func largeFleetDocument(t *testing.T, routes int) []byte {
	t.Helper()
	rng := rand.New(rand.NewPCG(7, 7))
	f := &policy.Fleet{Services: []policy.FleetService{{Name: "booking"}, {Name: "status"}}}
	for i := range routes {
		f.Routes = append(f.Routes, policy.FleetRoute{
			Name: fmt.Sprintf("route-%d", i), Host: "shop.example", Prefix: fmt.Sprintf("/%x/%x/", rng.Uint32(), rng.Uint32()),
			Timeout: policy.Duration(10 * time.Second), Objective: policy.Duration(3 * time.Second), MaxAttempts: 2,
			Targets: []policy.Target{{Service: f.Services[i%2].Name, Weight: 1}},
		})
	}
	text, err := policy.EncodeFleet(f)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
