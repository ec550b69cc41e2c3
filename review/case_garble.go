package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["garble"] = playGarble }

// playGarble: one of three backends of a service sends, after 2 in 100 of its answers, additional
// bytes that belong to no request. They come late, at the point where the next answer is expected.
func playGarble(w *world, trouble bool) (bool, error) {
	const service, host = "huvo11a", "jepu9.example"
	if err := w.putConfig(7, []string{service}, route{"r-1", host, "/lepu270/", "safe", service, 2}); err != nil {
		return false, err
	}
	var backends []*backend
	for i, zone := range []string{"zapad-a", "zapad-b", "zapad-c"} {
		n, err := w.addNode(zone, service)
		if err != nil {
			return false, err
		}
		b, err := w.startBackend(n, fmt.Sprintf("i-7f3a91c%d", i), 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}
	r := request{method: http.MethodGet, host: host, path: "/lepu270/2f", deadline: 4 * time.Second}
	for _, n := range w.nodes {
		if err := w.waitServed(n, r, 20, 15*time.Second); err != nil {
			return false, err
		}
	}
	if trouble {
		extra := "HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\nbytes of no request\r\n"
		backends[0].mu.Lock()
		backends[0].late = func(n int) []byte {
			if n%50 == 0 {
				return []byte(extra)
			}
			return nil
		}
		backends[0].mu.Unlock()
		w.note("from now on, %s sends additional bytes after every 50th answer", backends[0].id)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	total, ok, foreign := 0, 0, 0
	for _, n := range w.nodes {
		for range 3 {
			wg.Go(func() {
				for range 250 {
					q := r
					q.id = newID()
					a := send(n.outbound(), q)
					mu.Lock()
					total++
					if a.err == nil && a.status/100 == 2 {
						if a.header.Get(wire("{signature}")) == signature(q.id) && a.body == bodyFor(q.id) {
							ok++
							w.note("client: %s at %s is answered rightly", q.id, n.name)
						} else {
							foreign++
							w.note("client: BROKEN: %s at %s is answered %s", q.id, n.name, a)
						}
					} else {
						w.note("client: %s at %s is answered %s", q.id, n.name, a)
					}
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	backends[0].mu.Lock()
	sent := len(backends[0].sent)
	backends[0].mu.Unlock()
	w.note("%d requests, %d answered rightly, %d successes that are not the backend's answer; additional bytes sent %d times", total, ok, foreign, sent)
	if trouble && sent == 0 {
		return false, fmt.Errorf("the backend had no occasion to send the additional bytes")
	}
	if ok < total*8/10 {
		return false, fmt.Errorf("only %d of %d requests were served", ok, total)
	}
	return foreign > 0, nil
}
