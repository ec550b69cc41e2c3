package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["gone"] = playGone }

// Figures of the case gone. The share of the clients that leave is that of give_up in the site
// files, and they leave within half the objective of the route, which is 2.5 s.
const (
	leaveEvery = 5 // every fifth client leaves: a share of 0.2
	leaveAfter = 400 * time.Millisecond
	goneSlack  = 500 * time.Millisecond
	aFew       = 5
)

// playGone: at a busy service, one in five clients leaves before it has its answer. All bodies
// are small and sent in chunks.
func playGone(w *world, trouble bool) (bool, error) {
	const service, host = "wuno96b", "hulo84.example"
	if err := w.putConfig(7, []string{service, "huvo11a"}, route{"r-1", host, "/xapu221/", "unsafe", service, 2}); err != nil {
		return false, err
	}
	var b *backend
	for i, zone := range []string{"zapad-a", "zapad-b"} {
		n, err := w.addNode(zone, []string{service, "huvo11a"}[i])
		if err != nil {
			return false, err
		}
		started, err := w.startBackend(n, fmt.Sprintf("i-63f0a9e%d", i), 1200*time.Millisecond)
		if err != nil {
			return false, err
		}
		if i == 0 {
			b = started
		}
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}
	r := request{method: http.MethodPost, host: host, path: "/xapu221/2f", deadline: 10 * time.Second, body: "tin 7, pickup on Monday"}
	for _, n := range w.nodes {
		if err := w.waitServed(n, r, 2, 15*time.Second); err != nil {
			return false, err
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	left := map[string]time.Time{}
	total, served := 0, 0
	ticker := time.NewTicker(100 * time.Millisecond) // 10 requests/s; 7 slots take 5.8 of them
	defer ticker.Stop()
	for i := range 300 {
		<-ticker.C
		n := w.nodes[i%2]
		q := r
		q.id = newID()
		wg.Go(func() {
			leaves := i%leaveEvery == 0
			a := sendChunked(n.outbound(), q, leaves && trouble)
			mu.Lock()
			defer mu.Unlock()
			total++
			if leaves && trouble {
				left[q.id] = time.Now()
				w.note("client: %s at %s: the client has closed its connection", q.id, n.name)
				return
			}
			if a.err == nil && a.status == http.StatusOK {
				served++
			}
			w.note("client: %s at %s is answered %s", q.id, n.name, a)
		})
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	late, early := 0, 0
	for _, x := range b.recorded() {
		at, gone := left[x.id]
		switch {
		case !gone:
		case x.at.Sub(at) > goneSlack:
			late++
			w.note("BROKEN: %s reaches %s %s after its client has closed its connection", x.id, b.id, x.at.Sub(at).Round(time.Millisecond))
		default:
			early++
		}
	}
	w.note("%d requests, %d served; %d clients left: %d of their requests reached the backend over %s later, %d before", total, served, len(left), late, goneSlack, early)
	if served < total*4/10 {
		return false, fmt.Errorf("only %d of %d requests were served", served, total)
	}
	return late > aFew, nil
}

// sendChunked sends a request whose body is one chunk. If leave is set, the client closes its
// connection after leaveAfter.
func sendChunked(addr string, r request, leave bool) answer {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.deadline + 2*time.Second))
	if _, err := fmt.Fprintf(c, wire("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n{deadline}: %d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"),
		r.method, r.path, r.host, r.id, r.deadline.Milliseconds(), len(r.body), r.body); err != nil {
		return answer{err: err}
	}
	if leave {
		time.Sleep(leaveAfter)
		return answer{}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}
