package main

import (
	"sync"
	"time"
)

func init() { cases["beat"] = caseBeat }

// caseBeat starts a backend server whose first heartbeat is held up on its way for some seconds.
// Meanwhile it has sent others, and leaves.
func caseBeat(w *world) bool {
	a, b, c := w.addNode("volg", "mid-a"), w.addNode("boek", "mid-a"), w.addNode("boek", "mid-a")
	w.store.putConfig(3, []any{route("r-1", "jepu9.example", "/xapu/", "unsafe", "boek", "4000ms"), serviceEntry("boek"), serviceEntry("volg"), limits()})
	for _, n := range w.nodes {
		n.start()
	}
	newServer(a, "i-aaaa0001", 5, 300*time.Millisecond)
	sc := newServer(c, "i-cccc0001", 5, 300*time.Millisecond)
	waitFor("nodes are ready", 20*time.Second, func() bool { return a.isReady() && b.isReady() && c.isReady() })
	waitFor("a request is served", 20*time.Second, func() bool {
		return send(a, "POST", "jepu9.example", "/xapu/1", []byte("book"), 8*time.Second).status == 200
	})
	var mu sync.Mutex
	var results []result
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 12 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				r := send(a, "POST", "jepu9.example", "/xapu/1", []byte("book a repair"), 8*time.Second)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	sb := &server{w: w, n: b, id: "i-bbbb0001", addr: b.app, capacity: 5, work: 300 * time.Millisecond, state: "ready", queue: make(chan struct{}, 5)}
	if w.trouble {
		sb.late = make(chan struct{})
	}
	w.rec.printf("backend server %s starts at %s; heartbeat seq 0 is delayed on its way: %v", sb.id, b.name, w.trouble)
	sb.start()
	waitFor("the new server gets requests", 15*time.Second, func() bool { return len(sb.seen()) > 5 })
	time.Sleep(time.Second)
	sb.drain()
	time.Sleep(2100*time.Millisecond - time.Since(sb.ackedAt))
	// The delayed heartbeat arrives between two others.
	beats := sb.beatsSent()
	waitFor("another heartbeat", 3*time.Second, func() bool { return sb.beatsSent() > beats })
	if w.trouble {
		close(sb.late)
	}
	time.Sleep(1200 * time.Millisecond)
	sb.leave()
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	late, lateIDs := 0, map[string]bool{}
	for _, r := range sb.seen() {
		if after := r.at.Sub(sb.ackedAt); after > 2*time.Second {
			late++
			lateIDs[r.id] = true
			w.rec.printf("DRAIN: request %s reached %s %.3f s after the acknowledgement; drain is 2 s", r.id, sb.id, after.Seconds())
		}
	}
	lost := 0
	for _, r := range results {
		if lateIDs[r.id] && r.status != 200 {
			lost++
			w.rec.printf("client: %s", r)
		}
	}
	w.rec.printf("%d requests reached %s later than 2 s after the acknowledgement; %d of them, which ran there when it ended, got no answer of a backend server", late, sb.id, lost)
	w.rec.printf("%d requests in all, %d at %s", len(results), len(sc.seen()), sc.id)
	return late == 0
}
