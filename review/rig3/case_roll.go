package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["roll"] = caseRoll }

// caseRoll stops two machines one after the other, as in a rolling restart. Requests that come in at
// the second one, and whose work takes longer than usual, run at the backend server of the first.
func caseRoll(w *world) bool {
	a, b, c := w.addNode("volg", "mid-a"), w.addNode("boek", "mid-a"), w.addNode("boek", "mid-a")
	w.store.putConfig(3, []any{route("r-1", "jepu9.example", "/xapu/", "unsafe", "boek", "4000ms"), serviceEntry("boek"), serviceEntry("volg"), limits()})
	for _, n := range w.nodes {
		n.start()
	}
	newServer(a, "i-aaaa0001", 5, 200*time.Millisecond)
	sb, sc := newServer(b, "i-bbbb0001", 5, 200*time.Millisecond), newServer(c, "i-cccc0001", 5, 200*time.Millisecond)
	const long = 2400 * time.Millisecond
	ended := map[string]time.Time{}
	var mu sync.Mutex
	for _, s := range []*server{sb, sc} {
		s.answer = func(rw http.ResponseWriter, r *http.Request, s *server) bool {
			if !strings.HasSuffix(r.URL.Path, "/long") {
				return false
			}
			id := r.Header.Get("Request-Id")
			_, _ = io.ReadAll(r.Body)
			select {
			case <-time.After(long):
			case <-r.Context().Done():
				mu.Lock()
				ended[id] = time.Now()
				mu.Unlock()
				w.rec.printf("backend server %s: the connection of request %s was closed while the server was at work", s.id, id)
				return true
			}
			rw.Header().Set("Request-Id", id)
			rw.Header().Set("Response-Signature", "sig."+s.id+"."+id)
			fmt.Fprintf(rw, "answer of %s to %s\n", s.id, id)
			return true
		}
	}
	waitFor("nodes are ready", 20*time.Second, func() bool { return a.isReady() && b.isReady() && c.isReady() })
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var usual, wg sync.WaitGroup
	for i := range 6 {
		usual.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				n := []*node{a, c}[i%2]
				if r := send(n, "POST", "jepu9.example", "/xapu/usual", []byte("book a repair"), 8*time.Second); r.status != 200 {
					w.rec.printf("client: %s", r)
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	stopB := time.Now()
	if w.trouble {
		b.signal(syscall.SIGTERM)
	}
	time.Sleep(2 * time.Second)
	stopA := time.Now()
	if w.trouble {
		a.signal(syscall.SIGTERM)
	}
	// A client of the first machine sends a request in time, so that the machine has work to finish.
	wg.Go(func() {
		w.rec.printf("client: %s", send(b, "POST", "jepu9.example", "/xapu/long", []byte("book a repair"), 8*time.Second))
	})
	time.Sleep(1300 * time.Millisecond)
	results := make([]result, 6)
	for i := range results {
		wg.Go(func() {
			results[i] = send(a, "POST", "jepu9.example", "/xapu/long", []byte("book a repair"), 8*time.Second)
			w.rec.printf("client: %s", results[i])
		})
	}
	time.Sleep(time.Second)
	close(stop)
	usual.Wait()
	wg.Wait()
	time.Sleep(100 * time.Millisecond)
	held := true
	mu.Lock()
	defer mu.Unlock()
	for _, r := range results {
		cut, atWork := ended[r.id]
		if r.status == 200 || !atWork {
			continue
		}
		held = false
		w.rec.printf("LOST: request %s, sent %.2f s after the SIGTERM of %s, which took it, and %.2f s after that of %s, was broken off %.2f s and %.2f s after these; its backend server was at work; answer %d, signature %q, %v",
			r.id, r.sent.Sub(stopA).Seconds(), a.name, r.sent.Sub(stopB).Seconds(), b.name, cut.Sub(stopA).Seconds(), cut.Sub(stopB).Seconds(), r.status, r.sig, r.err)
	}
	return held
}
