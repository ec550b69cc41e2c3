package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["signal"] = caseSignal }

// caseSignal stops a machine while requests of its clients run, and stops it once more within grace.
func caseSignal(w *world) bool {
	a, b := w.addNode("volg", "mid-a"), w.addNode("boek", "mid-a")
	w.store.putConfig(3, []any{route("r-1", "jepu9.example", "/xapu/", "unsafe", "boek", "4000ms"), serviceEntry("boek"), serviceEntry("volg"), limits()})
	a.start()
	b.start()
	newServer(a, "i-aaaa0001", 5, 1500*time.Millisecond)
	sb := newServer(b, "i-bbbb0001", 5, 1500*time.Millisecond)
	waitFor("nodes are ready", 20*time.Second, func() bool { return a.isReady() && b.isReady() })
	waitFor("a request is served", 20*time.Second, func() bool {
		return send(a, "POST", "jepu9.example", "/xapu/1", []byte("warm-up"), 8*time.Second).status == 200
	})
	time.Sleep(4 * time.Second)
	results := make([]result, 4)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			results[i] = send(a, "POST", "jepu9.example", "/xapu/2", []byte("book a repair"), 8*time.Second)
			w.rec.printf("client: %s", results[i])
		})
	}
	time.Sleep(500 * time.Millisecond)
	a.signal(syscall.SIGTERM)
	if w.trouble {
		time.Sleep(300 * time.Millisecond)
		a.signal(syscall.SIGTERM)
	}
	wg.Wait()
	a.waitExit(7 * time.Second)
	runs, held := ran(sb), true
	for _, r := range results {
		if r.err != nil && runs[r.id] > 0 {
			w.rec.printf("LOST: request %s was passed on to a backend server, and its connection ended without an answer %.1f s before grace was over",
				r.id, (6*time.Second - r.ended.Sub(r.sent)).Seconds())
			held = false
		}
	}
	return held
}
