package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["8"] = func(w *world, trouble bool) (bool, error) { return departure(w, trouble, false) }
	cases["9"] = func(w *world, trouble bool) (bool, error) { return departure(w, trouble, true) }
}

// departure: a backend server leaves and its node is killed soon after. The store is away for a
// moment meanwhile; in a drill, it comes back from a copy that is some seconds old.
func departure(w *world, trouble, inDrill bool) (bool, error) {
	const drain = 2 * time.Second
	const stable = 3 * time.Second
	zones := []string{"zapad-a", "stred-a", "vychod-a"}
	for i := range 6 {
		service := "katalog"
		if i >= 3 {
			service = "vratky"
		}
		w.addMachine(zones[i%3], zones[i%3][:len(zones[i%3])-2], service).addServer(7, 60*time.Millisecond)
	}
	w.store.configure(7, []string{"katalog", "vratky"}, []route{{name: "r-browse", prefix: "/browse/", kind: "safe", service: "katalog"}}, nil)
	if inDrill {
		w.store.era = 1
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	c := newClients(w)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := w.nodes[3:]
	c.load(ctx, callers, 10, func(m *machine) { c.send(m, http.MethodGet, "/browse/2f", "", "") })
	time.Sleep(4 * time.Second)

	left := w.nodes[0]
	copied := w.store.backup()
	if trouble && !inDrill {
		w.record("the store is away")
		w.store.setAway(func(*http.Request) string { return "reset" })
	}
	// One heartbeat is held up on its way.
	left.server.hold()
	time.Sleep(1600 * time.Millisecond)
	acknowledged, at := left.server.leave()
	if !acknowledged {
		w.record("the departure was not acknowledged")
	}
	if trouble && inDrill {
		time.Sleep(200 * time.Millisecond)
		w.record("the store is away")
		w.store.setAway(func(*http.Request) string { return "reset" })
		time.Sleep(500 * time.Millisecond)
		w.store.restore(copied)
		time.Sleep(time.Second)
		left.kill()
	} else if trouble {
		time.Sleep(200 * time.Millisecond)
		left.kill()
		w.store.setAway(nil)
		w.record("the store is back")
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		if err := left.startNode(); err != nil {
			return false, err
		}
	}
	quiet := time.Now()
	time.Sleep(1500 * time.Millisecond)
	left.server.release()
	time.Sleep(quiet.Add(stable + 4*time.Second).Sub(time.Now()))
	cancel()
	c.wg.Wait()
	if !acknowledged {
		return false, nil
	}
	sentAt := map[string]time.Time{}
	for _, s := range c.answers() {
		sentAt[s.id] = s.at
	}
	// Everything is in touch again from here on.
	from := quiet.Add(stable)
	if bound := at.Add(drain); bound.After(from) {
		from = bound
	}
	n := 0
	for _, r := range left.server.allRuns() {
		if t, ok := sentAt[r.id]; ok && t.After(from) && r.at.After(from) {
			n++
			w.record("DRAIN: %s runs %s, %.2f s after the acknowledgement", left.server.id, r.id, r.at.Sub(at).Seconds())
		}
	}
	fmt.Printf("%d requests reached the server later than 2 s after the acknowledgement\n", n)
	return n > 0, nil
}
