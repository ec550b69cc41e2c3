package main

import (
	"sync"
	"time"
)

func init() { cases["clock"] = caseClock }

// caseClock starts a backend server while the time of day of its machine is 2 s ahead, and again,
// under its id, after the clock has jumped back. Then the server leaves.
func caseClock(w *world) bool {
	a, b, c := w.addNode("volg", "mid-a"), w.addNode("boek", "mid-a"), w.addNode("boek", "mid-a")
	w.store.putConfig(3, []any{route("r-1", "jepu9.example", "/xapu/", "unsafe", "boek", "4000ms"),
		route("r-2", "jepu9.example", "/lepu/", "safe", "boek", "4000ms"), serviceEntry("boek"), serviceEntry("volg"), limits()})
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
	for i := range 12 {
		wg.Go(func() {
			method, path, body := "POST", "/xapu/1", []byte("book a repair")
			if i%2 == 0 {
				method, path, body = "GET", "/lepu/1", nil
			}
			for {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				r := send(a, method, "jepu9.example", path, body, 8*time.Second)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	start := func(ahead time.Duration) *server {
		s := &server{w: w, n: b, id: "i-bbbb0001", addr: b.app, capacity: 5, work: 300 * time.Millisecond, state: "ready", queue: make(chan struct{}, 5), ahead: ahead}
		s.seq = 1
		s.start()
		w.rec.printf("backend server %s starts at %s, born %d", s.id, b.name, s.born)
		return s
	}
	ahead := 2 * time.Second
	if !w.trouble {
		ahead = 0
	}
	w.rec.printf("the time of day of machine %s is %s ahead", b.name, ahead)
	first := start(ahead)
	time.Sleep(800 * time.Millisecond)
	w.rec.printf("the time of day of machine %s is right again", b.name)
	time.Sleep(100 * time.Millisecond)
	first.stop()
	_ = first.srv.Close()
	w.rec.printf("backend server %s is down", first.id)
	time.Sleep(500 * time.Millisecond)
	second := start(0)
	// 3 s (stable) after the end of the last disruption, all machines are in touch.
	time.Sleep(4 * time.Second)
	second.drain()
	time.Sleep(3500 * time.Millisecond)
	second.leave()
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	late := map[string]bool{}
	for _, r := range second.seen() {
		if after := r.at.Sub(second.ackedAt); after > 2*time.Second {
			late[r.id] = true
			w.rec.printf("DRAIN: request %s reached %s %.3f s after the acknowledgement; drain is 2 s", r.id, second.id, after.Seconds())
		}
	}
	lost := 0
	for _, r := range results {
		if late[r.id] && r.status != 200 {
			lost++
			w.rec.printf("client: %s", r)
		}
	}
	w.rec.printf("%d requests reached %s later than 2 s after the acknowledgement; %d of them, which ran there when it ended, got no answer of a backend server", len(late), second.id, lost)
	w.rec.printf("%d requests in all, %d at %s", len(results), len(sc.seen()), sc.id)
	return len(late) == 0
}
