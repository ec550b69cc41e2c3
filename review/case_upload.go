package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["upload"] = playUpload }

// Figures of the case upload. The gray failures are those that every service of the site file has
// (noise): 0.3 of the backends fail 0.75 of their requests by a reset. Here it is one of four
// backends, in turn.
const (
	grayFails   = 0.75
	grayFor     = 3 * time.Second
	grayPause   = time.Second
	uploads     = 450
	uploadEvery = 100 * time.Millisecond
	photoChunks = 12
	chunkBytes  = 5000
	chunkEvery  = 40 * time.Millisecond
)

// playUpload: clients on a machine of another service upload photos of 60 KB in chunks, each within
// half a second, while one backend at a time fails gray.
func playUpload(w *world, trouble bool) (bool, error) {
	const service, other, host = "vrat04d", "huvo11a", "jepu9.example"
	if err := w.putConfig(7, []string{service, other}, route{"r-1", host, "/fiti832/", "upload", service, 2}); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var gray *backend
	rng := rand.New(rand.NewPCG(1, 2))
	var backends []*backend
	zones := []string{"zapad-a", "zapad-b"}
	for i := range 5 {
		s := service
		if i == 4 {
			s = other
		}
		n, err := w.addNode(zones[i%2], s)
		if err != nil {
			return false, err
		}
		b, err := w.startBackend(n, fmt.Sprintf("i-83d1c0a%d", i), 150*time.Millisecond)
		if err != nil {
			return false, err
		}
		b.fails = func() bool {
			mu.Lock()
			defer mu.Unlock()
			return gray == b && rng.Float64() < grayFails
		}
		if i < 4 {
			backends = append(backends, b)
		}
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}
	ingress := w.nodes[4]
	r := request{method: http.MethodPost, host: host, path: "/fiti832/2f", deadline: 10 * time.Second}
	if err := w.waitServed(ingress, r, 20, 15*time.Second); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() {
			for i := 0; ; i++ {
				b := backends[i%len(backends)]
				for _, on := range []bool{true, false} {
					mu.Lock()
					gray = nil
					pause := grayPause
					if on {
						gray, pause = b, grayFor
						w.note("%s begins to fail %.2f of its requests", b.id, grayFails)
					}
					mu.Unlock()
					select {
					case <-time.After(pause):
					case <-stop:
						return
					}
				}
			}
		})
	}
	sent := map[string]string{}
	statuses := map[int]int{}
	answered := map[string]answer{}
	ticker := time.NewTicker(uploadEvery)
	defer ticker.Stop()
	var clients sync.WaitGroup
	for range uploads {
		<-ticker.C
		q := r
		q.id = newID()
		q.body = photo(q.id)
		mu.Lock()
		sent[q.id] = q.body
		mu.Unlock()
		clients.Go(func() {
			a := upload(ingress.outbound(), q)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			answered[q.id] = a
			w.note("client: upload %s of %d bytes (%x) is answered %s", q.id, len(q.body), digest(q.body), a)
		})
	}
	clients.Wait()
	close(stop)
	wg.Wait()
	whole, changed, told := 0, 0, 0
	for _, b := range backends {
		for _, x := range b.recorded() {
			body, ok := sent[x.id]
			switch {
			case !ok: // before the disruption
			case x.body == body:
				whole++
			default:
				changed++
				a := answered[x.id]
				if a.status == http.StatusOK {
					told++
				}
				w.note("BROKEN: %s runs upload %s with %d bytes (%x) of %d; only the first ones are missing: %v; its client is answered %d",
					b.id, x.id, len(x.body), digest(x.body), len(body), strings.HasSuffix(body, x.body), a.status)
			}
		}
	}
	w.note("%d uploads, answers by status: %v; %d ran with the whole body, %d with another one, and %d of these were answered 200", uploads, statuses, whole, changed, told)
	if statuses[http.StatusOK] < uploads/2 {
		return false, fmt.Errorf("only %d of %d uploads were served", statuses[http.StatusOK], uploads)
	}
	return changed > 0, nil
}

// photo returns the body of an upload.
func photo(id string) string {
	var b strings.Builder
	for i := 0; b.Len() < photoChunks*chunkBytes; i++ {
		fmt.Fprintf(&b, "%s %08d\n", id, i)
	}
	return b.String()[:photoChunks*chunkBytes]
}

func digest(s string) []byte {
	sum := sha256.Sum256([]byte(s))
	return sum[:4]
}

// upload sends a body in chunks, one every chunkEvery, and reads the answer.
func upload(addr string, r request) answer {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.deadline + 2*time.Second))
	if _, err := fmt.Fprintf(c, wire("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n{deadline}: %d\r\nTransfer-Encoding: chunked\r\n\r\n"),
		r.method, r.path, r.host, r.id, r.deadline.Milliseconds()); err != nil {
		return answer{err: err}
	}
	go func() {
		for body := r.body; body != ""; body = body[chunkBytes:] {
			time.Sleep(chunkEvery)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", chunkBytes, body[:chunkBytes]); err != nil {
				return
			}
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}
