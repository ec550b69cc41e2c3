package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	api "wigeonspring.example/wigeonspring/internal/state/platform"
	adapter "wigeonspring.example/wigeonspring/platform"
	"wigeonspring.example/wigeonspring/platform/objectstore"
	standin "wigeonspring.example/wigeonspring/standin/platform"
)

// implementation is one implementation of the object API with the controls of its
// stand-in.
type implementation struct {
	api.Client
	setFaults func(standin.Faults)
	calls     func() standin.Calls
}

// forEachImplementation runs a test against the HTTP client and server, against the
// store in memory, and against the adapter to the object store of the users' platform.
func forEachImplementation(t *testing.T, history int, test func(*testing.T, implementation)) {
	t.Run("http", func(t *testing.T) {
		server := standin.New(standin.Options{History: history})
		hs := httptest.NewServer(server)
		t.Cleanup(hs.Close)
		client := api.NewHTTP(api.Options{URL: hs.URL, Timeout: 2 * time.Second})
		t.Cleanup(client.Close)
		test(t, implementation{
			Client: client,
			setFaults: func(f standin.Faults) {
				body, _ := json.Marshal(f)
				resp, err := http.Post(hs.URL+"/admin/faults", "application/json", bytes.NewReader(body))
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("set faults: %v %v", resp, err)
				}
				resp.Body.Close()
			},
			calls: func() (c standin.Calls) {
				resp, err := http.Get(hs.URL + "/admin/calls")
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
					t.Fatal(err)
				}
				return c
			},
		})
	})
	t.Run("memory", func(t *testing.T) {
		m := standin.NewMemoryWith(standin.Options{History: history})
		test(t, implementation{Client: m, setFaults: m.SetFaults, calls: m.Calls})
	})
	t.Run("objects", func(t *testing.T) {
		m := standin.NewMemoryWith(standin.Options{History: history})
		hs := httptest.NewServer(objectstore.New(m))
		t.Cleanup(hs.Close)
		client := adapter.NewStore(adapter.StoreOptions{URL: hs.URL, Timeout: 2 * time.Second, Log: zap.NewNop()})
		t.Cleanup(client.Close)
		test(t, implementation{Client: client, setFaults: m.SetFaults, calls: m.Calls})
	})
}

func requireError(t *testing.T, what string, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("%s: error %v, want %v", what, got, want)
	}
}

func mustPut(t *testing.T, s implementation, key, value string, version uint64) api.Object {
	t.Helper()
	obj, err := s.Put(context.Background(), key, []byte(value), version)
	if err != nil {
		t.Fatalf("put %s: %v", key, err)
	}
	return obj
}

// Guards against a write that ignores the version of the object.
func TestConditionalWrites(t *testing.T) {
	forEachImplementation(t, 0, func(t *testing.T, s implementation) {
		ctx := context.Background()
		_, err := s.Get(ctx, "a/1")
		requireError(t, "get of a missing object", err, api.ErrNotFound)
		first := mustPut(t, s, "a/1", "x", 0)
		_, err = s.Put(ctx, "a/1", []byte("y"), 0)
		requireError(t, "second creation", err, api.ErrConflict)
		second := mustPut(t, s, "a/1", "y", first.Version)
		_, err = s.Put(ctx, "a/1", []byte("z"), first.Version)
		requireError(t, "put on an old version", err, api.ErrConflict)
		requireError(t, "delete on an old version", s.Delete(ctx, "a/1", first.Version), api.ErrConflict)
		if err := s.Delete(ctx, "a/1", second.Version); err != nil {
			t.Fatal(err)
		}
		requireError(t, "delete of a missing object", s.Delete(ctx, "a/1", second.Version), api.ErrNotFound)
		_, err = s.Put(ctx, "a/1", []byte("w"), second.Version)
		requireError(t, "put on a deleted version", err, api.ErrConflict)
		if again := mustPut(t, s, "a/1", "w", 0); again.Version <= second.Version {
			t.Fatalf("version after deletion = %d, want more than %d", again.Version, second.Version)
		}
	})
}

// Guards against a list that has deleted objects or objects of another prefix, or that
// lacks the revision to watch from, and against a wrong limit of the value size.
func TestListAndValueLimit(t *testing.T) {
	forEachImplementation(t, 0, func(t *testing.T, s implementation) {
		ctx := context.Background()
		mustPut(t, s, "a/2", "2", 0)
		mustPut(t, s, "a/1", "1", 0)
		mustPut(t, s, "b/1", "3", 0)
		deleted := mustPut(t, s, "a/3", "4", 0)
		if err := s.Delete(ctx, "a/3", deleted.Version); err != nil {
			t.Fatal(err)
		}
		objects, revision, err := s.List(ctx, "a/")
		if err != nil || len(objects) != 2 || objects[0].Key != "a/1" || string(objects[1].Value) != "2" || revision != 5 {
			t.Fatalf("list: %v at %d, %v", objects, revision, err)
		}
		// The object store of the users' platform holds JSON. Any other value is encoded
		// in base64 for it, which adds a third to its size.
		large := `["` + strings.Repeat("x", api.MaxValueBytes-4) + `"]`
		mustPut(t, s, "large", large, 0)
		_, err = s.Put(ctx, "larger", make([]byte, api.MaxValueBytes+1), 0)
		requireError(t, "put above the limit", err, api.ErrTooLarge)
		if c := s.calls(); c.List != 1 || c.Delete != 1 || c.Put < 5 {
			t.Fatalf("calls = %+v", c)
		}
	})
}

// Guards against a watch that misses a change, returns before a change or continues to
// wait after it.
func TestWatch(t *testing.T) {
	forEachImplementation(t, 0, func(t *testing.T, s implementation) {
		ctx := context.Background()
		objects, revision, err := s.Watch(ctx, "a/", 0, 20*time.Millisecond)
		if err != nil || len(objects) != 0 || revision != 0 {
			t.Fatalf("watch without a change: %v at %d, %v", objects, revision, err)
		}
		type result struct {
			objects  []api.Object
			revision uint64
			err      error
		}
		results := make(chan result, 1)
		go func() {
			o, r, err := s.Watch(ctx, "a/", 0, 5*time.Second)
			results <- result{o, r, err}
		}()
		for s.calls().Watch < 2 {
			time.Sleep(time.Millisecond)
		}
		mustPut(t, s, "b/1", "other", 0)
		first := mustPut(t, s, "a/1", "x", 0)
		r := <-results
		if r.err != nil || len(r.objects) != 1 || r.objects[0].Key != "a/1" || r.revision != 2 {
			t.Fatalf("waiting watch after a change: %+v", r)
		}
		mustPut(t, s, "a/1", "y", first.Version)
		if err := s.Delete(ctx, "a/1", first.Version+1); err != nil {
			t.Fatal(err)
		}
		objects, revision, err = s.Watch(ctx, "a/", r.revision, 5*time.Second)
		if err != nil || len(objects) != 1 || !objects[0].Deleted || revision != 4 {
			t.Fatalf("watch over a deletion: %v at %d, %v", objects, revision, err)
		}
	})
}

// Guards against a watch from a compacted revision that misses changes without an
// error.
func TestWatchAfterCompaction(t *testing.T) {
	forEachImplementation(t, 3, func(t *testing.T, s implementation) {
		ctx := context.Background()
		var version uint64
		for range 5 {
			version = mustPut(t, s, "a/1", "x", version).Version
		}
		_, _, err := s.Watch(ctx, "a/", 1, time.Second)
		requireError(t, "watch from a compacted revision", err, api.ErrCompacted)
		_, _, err = s.Watch(ctx, "a/", 99, time.Second)
		requireError(t, "watch from a revision of another store", err, api.ErrCompacted)
		_, revision, err := s.List(ctx, "a/")
		if err != nil || revision != 5 {
			t.Fatalf("list at %d, %v", revision, err)
		}
		if objects, _, err := s.Watch(ctx, "a/", 2, time.Second); err != nil || len(objects) != 1 {
			t.Fatalf("watch from the oldest kept revision: %v, %v", objects, err)
		}
	})
}

// Guards against injected faults without effect. Tests of failures rely on them.
func TestFaults(t *testing.T) {
	forEachImplementation(t, 0, func(t *testing.T, s implementation) {
		ctx := context.Background()
		first := mustPut(t, s, "k", "1", 0)

		s.setFaults(standin.Faults{LoseAnswers: 1})
		_, err := s.Put(ctx, "k", []byte("2"), first.Version)
		requireError(t, "put with a lost response", err, api.ErrUnavailable)
		if obj, err := s.Get(ctx, "k"); err != nil || string(obj.Value) != "2" {
			t.Fatalf("write with a lost response took no effect: %v, %v", obj, err)
		}
		third := mustPut(t, s, "k", "3", first.Version+1)

		s.setFaults(standin.Faults{StaleReads: 2})
		if obj, err := s.Get(ctx, "k"); err != nil || string(obj.Value) != "1" {
			t.Fatalf("stale get: %v, %v", obj, err)
		}
		if objects, revision, err := s.List(ctx, "k"); err != nil || string(objects[0].Value) != "1" || revision != 1 {
			t.Fatalf("stale list: %v at %d, %v", objects, revision, err)
		}
		mustPut(t, s, "k", "4", third.Version)

		s.setFaults(standin.Faults{Outage: true})
		for what, err := range map[string]error{
			"get":    func() error { _, err := s.Get(ctx, "k"); return err }(),
			"list":   func() error { _, _, err := s.List(ctx, "k"); return err }(),
			"put":    func() error { _, err := s.Put(ctx, "k", nil, 4); return err }(),
			"delete": s.Delete(ctx, "k", 4),
			"watch":  func() error { _, _, err := s.Watch(ctx, "k", 0, time.Second); return err }(),
		} {
			requireError(t, what+" in an outage", err, api.ErrUnavailable)
		}

		s.setFaults(standin.Faults{DelayMillis: 50})
		start := time.Now()
		if obj, err := s.Get(ctx, "k"); err != nil || string(obj.Value) != "4" {
			t.Fatalf("get after the outage: %v, %v", obj, err)
		}
		if took := time.Since(start); took < 50*time.Millisecond {
			t.Fatalf("delayed get took %s", took)
		}
	})
}

// Guards against a waiting watch that does not end when an outage begins.
func TestOutageEndsWaitingWatch(t *testing.T) {
	forEachImplementation(t, 0, func(t *testing.T, s implementation) {
		done := make(chan error, 1)
		go func() {
			_, _, err := s.Watch(context.Background(), "k", 0, 30*time.Second)
			done <- err
		}()
		for s.calls().Watch < 1 {
			time.Sleep(time.Millisecond)
		}
		s.setFaults(standin.Faults{Outage: true})
		requireError(t, "waiting watch", <-done, api.ErrUnavailable)
	})
}
