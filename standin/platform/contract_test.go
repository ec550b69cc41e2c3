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
	users "wigeonspring.example/wigeonspring/platform"
	"wigeonspring.example/wigeonspring/platform/objectstore"
	standin "wigeonspring.example/wigeonspring/standin/platform"
)

// system is one implementation of the object API with its fault switches.
type system struct {
	api.Client
	setFaults func(standin.Faults)
	calls     func() standin.Calls
}

// eachSystem runs a test against HTTP client and server, in memory, and through the
// adapter to the users' platform.
func eachSystem(t *testing.T, history int, test func(*testing.T, system)) {
	t.Run("http", func(t *testing.T) {
		server := standin.New(standin.Options{History: history})
		hs := httptest.NewServer(server)
		t.Cleanup(hs.Close)
		client := api.NewHTTP(api.Options{URL: hs.URL, Timeout: 2 * time.Second})
		t.Cleanup(client.Close)
		test(t, system{
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
		test(t, system{Client: m, setFaults: m.SetFaults, calls: m.Calls})
	})
	t.Run("objects", func(t *testing.T) {
		m := standin.NewMemoryWith(standin.Options{History: history})
		hs := httptest.NewServer(objectstore.New(m))
		t.Cleanup(hs.Close)
		client := users.NewStore(users.StoreOptions{URL: hs.URL, Timeout: 2 * time.Second, Log: zap.NewNop()})
		t.Cleanup(client.Close)
		test(t, system{Client: client, setFaults: m.SetFaults, calls: m.Calls})
	})
}

func wantErr(t *testing.T, what string, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("%s: error %v, want %v", what, got, want)
	}
}

func mustPut(t *testing.T, s system, key, value string, version uint64) api.Object {
	t.Helper()
	obj, err := s.Put(context.Background(), key, []byte(value), version)
	if err != nil {
		t.Fatalf("put %s: %v", key, err)
	}
	return obj
}

// Guards against a write that ignores the version of the object.
func TestConditionalWrites(t *testing.T) {
	eachSystem(t, 0, func(t *testing.T, s system) {
		ctx := context.Background()
		_, err := s.Get(ctx, "a/1")
		wantErr(t, "get of a missing object", err, api.ErrNotFound)
		first := mustPut(t, s, "a/1", "x", 0)
		_, err = s.Put(ctx, "a/1", []byte("y"), 0)
		wantErr(t, "second creation", err, api.ErrConflict)
		second := mustPut(t, s, "a/1", "y", first.Version)
		_, err = s.Put(ctx, "a/1", []byte("z"), first.Version)
		wantErr(t, "put on an old version", err, api.ErrConflict)
		wantErr(t, "delete on an old version", s.Delete(ctx, "a/1", first.Version), api.ErrConflict)
		if err := s.Delete(ctx, "a/1", second.Version); err != nil {
			t.Fatal(err)
		}
		wantErr(t, "delete of a missing object", s.Delete(ctx, "a/1", second.Version), api.ErrNotFound)
		_, err = s.Put(ctx, "a/1", []byte("w"), second.Version)
		wantErr(t, "put on a deleted version", err, api.ErrConflict)
		if again := mustPut(t, s, "a/1", "w", 0); again.Version <= second.Version {
			t.Fatalf("version after deletion = %d, want more than %d", again.Version, second.Version)
		}
	})
}

// Guards against a listing with foreign or deleted objects or without a
// revision to watch from, and against a wrong limit of the value size.
func TestListAndValueLimit(t *testing.T) {
	eachSystem(t, 0, func(t *testing.T, s system) {
		ctx := context.Background()
		mustPut(t, s, "a/2", "2", 0)
		mustPut(t, s, "a/1", "1", 0)
		mustPut(t, s, "b/1", "3", 0)
		gone := mustPut(t, s, "a/3", "4", 0)
		if err := s.Delete(ctx, "a/3", gone.Version); err != nil {
			t.Fatal(err)
		}
		objects, revision, err := s.List(ctx, "a/")
		if err != nil || len(objects) != 2 || objects[0].Key != "a/1" || string(objects[1].Value) != "2" || revision != 5 {
			t.Fatalf("list: %v at %d, %v", objects, revision, err)
		}
		// The platform of the users holds JSON; any other value grows by a third there.
		large := `["` + strings.Repeat("x", api.MaxValueBytes-4) + `"]`
		mustPut(t, s, "large", large, 0)
		_, err = s.Put(ctx, "larger", make([]byte, api.MaxValueBytes+1), 0)
		wantErr(t, "put above the limit", err, api.ErrTooLarge)
		if c := s.calls(); c.List != 1 || c.Delete != 1 || c.Put < 5 {
			t.Fatalf("calls = %+v", c)
		}
	})
}

// Guards against a watch that misses a change, returns early or never wakes.
func TestWatch(t *testing.T) {
	eachSystem(t, 0, func(t *testing.T, s system) {
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
		woken := make(chan result, 1)
		go func() {
			o, r, err := s.Watch(ctx, "a/", 0, 5*time.Second)
			woken <- result{o, r, err}
		}()
		for s.calls().Watch < 2 {
			time.Sleep(time.Millisecond)
		}
		mustPut(t, s, "b/1", "other", 0)
		first := mustPut(t, s, "a/1", "x", 0)
		r := <-woken
		if r.err != nil || len(r.objects) != 1 || r.objects[0].Key != "a/1" || r.revision != 2 {
			t.Fatalf("woken watch: %+v", r)
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

// Guards against a watcher that is too far behind and silently misses changes.
func TestWatchAfterCompaction(t *testing.T) {
	eachSystem(t, 3, func(t *testing.T, s system) {
		ctx := context.Background()
		var version uint64
		for range 5 {
			version = mustPut(t, s, "a/1", "x", version).Version
		}
		_, _, err := s.Watch(ctx, "a/", 1, time.Second)
		wantErr(t, "watch from a compacted revision", err, api.ErrCompacted)
		_, _, err = s.Watch(ctx, "a/", 99, time.Second)
		wantErr(t, "watch from a revision of another store", err, api.ErrCompacted)
		_, revision, err := s.List(ctx, "a/")
		if err != nil || revision != 5 {
			t.Fatalf("list at %d, %v", revision, err)
		}
		if objects, _, err := s.Watch(ctx, "a/", 2, time.Second); err != nil || len(objects) != 1 {
			t.Fatalf("watch from the oldest kept revision: %v, %v", objects, err)
		}
	})
}

// Guards against fault switches without effect, on which tests of failures rely.
func TestFaults(t *testing.T) {
	eachSystem(t, 0, func(t *testing.T, s system) {
		ctx := context.Background()
		first := mustPut(t, s, "k", "1", 0)

		s.setFaults(standin.Faults{LoseAnswers: 1})
		_, err := s.Put(ctx, "k", []byte("2"), first.Version)
		wantErr(t, "put with a lost answer", err, api.ErrUnavailable)
		if obj, err := s.Get(ctx, "k"); err != nil || string(obj.Value) != "2" {
			t.Fatalf("write with a lost answer took no effect: %v, %v", obj, err)
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
			wantErr(t, what+" in an outage", err, api.ErrUnavailable)
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

// Guards against a waiting watch that outlasts the start of an outage.
func TestOutageEndsWaitingWatch(t *testing.T) {
	eachSystem(t, 0, func(t *testing.T, s system) {
		done := make(chan error, 1)
		go func() {
			_, _, err := s.Watch(context.Background(), "k", 0, 30*time.Second)
			done <- err
		}()
		for s.calls().Watch < 1 {
			time.Sleep(time.Millisecond)
		}
		s.setFaults(standin.Faults{Outage: true})
		wantErr(t, "waiting watch", <-done, api.ErrUnavailable)
	})
}
