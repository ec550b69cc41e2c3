package main

import (
	"net"
	"sync"
	"time"
)

func init() { cases["leave"] = caseLeave }

// caseLeave restarts a backend server under its id. The DELETE of its earlier start is held up on
// its way and arrives after the new start has registered.
func caseLeave(w *world) bool {
	nodes := []*node{w.addNode("volg", "mid-a"), w.addNode("boek", "mid-a"), w.addNode("boek", "mid-a"), w.addNode("boek", "mid-a")}
	w.store.putConfig(3, []any{route("r-1", "jepu9.example", "/xapu/", "unsafe", "boek", "4000ms"), serviceEntry("boek"), serviceEntry("volg"), limits()})
	for _, n := range nodes {
		n.start()
	}
	newServer(nodes[0], "i-aaaa0001", 5, 300*time.Millisecond)
	const work = 300 * time.Millisecond
	first := newServer(nodes[1], "i-bbbb0001", 5, work)
	others := []*server{newServer(nodes[2], "i-cccc0001", 5, work), newServer(nodes[3], "i-dddd0001", 5, work)}
	waitFor("nodes are ready", 20*time.Second, func() bool {
		for _, n := range nodes {
			if !n.isReady() {
				return false
			}
		}
		return true
	})
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	// 43 requests a second; three servers with 5 slots each run 50, and two run 33.
	wg.Go(func() {
		for tick := time.NewTicker(time.Second / 43); ; {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			wg.Go(func() {
				r := send(nodes[0], "POST", "jepu9.example", "/xapu/1", []byte("book a repair"), 8*time.Second)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
			})
		}
	})
	time.Sleep(5 * time.Second)
	// The server leaves. It sends DELETE first, and ends 2.5 s later.
	first.stop()
	late := first.sendDelete(w.trouble)
	time.Sleep(2500 * time.Millisecond)
	_ = first.srv.Close()
	w.rec.printf("backend server %s ends", first.id)
	time.Sleep(500 * time.Millisecond)
	second := newServer(nodes[1], first.id, 5, work)
	w.rec.printf("backend server %s starts again under the same id, born %d", second.id, second.born)
	waitFor("the new start is registered", 5*time.Second, func() bool { return second.beatsSent() > 0 })
	time.Sleep(500 * time.Millisecond)
	close(late)
	time.Sleep(7 * time.Second) // From 6 s after its start on, the server counts as sound.
	from := time.Now()
	time.Sleep(10 * time.Second)
	to := time.Now()
	close(stop)
	wg.Wait()
	counts := map[string]int{}
	for _, s := range append(others, second) {
		for _, a := range s.seen() {
			if a.at.After(from) && a.at.Before(to) {
				counts[s.id]++
			}
		}
	}
	sent, unserved := 0, 0
	for _, r := range results {
		if r.sent.After(from) && r.sent.Before(to) {
			sent++
			if r.status != 200 {
				unserved++
			}
		}
	}
	w.rec.printf("in 10 s: %d requests sent, %d not served; requests at the three sound servers: %v; heartbeats of %s acknowledged: %d",
		sent, unserved, counts, second.id, second.beatsSent())
	used := len(counts)
	share := float64(unserved) / float64(sent)
	return !(used > 0 && float64(used) < 0.7*3 && share > 0.1 && share < 0.5)
}

// sendDelete sends DELETE. If it is late, the bytes are on their way until the result is closed.
func (s *server) sendDelete(late bool) chan struct{} {
	release := make(chan struct{})
	head := "DELETE " + wire["instances"] + s.id + " HTTP/1.1\r\nHost: " + s.n.control + "\r\nConnection: close\r\n\r\n"
	send := func() {
		conn, err := net.Dial("tcp", s.n.control)
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		_, _ = conn.Write([]byte(head))
		buf := make([]byte, 100)
		n, _ := conn.Read(buf)
		s.w.rec.printf("DELETE of %s, sent by the start born %d, arrives at %s; answer %q", s.id, s.born, s.n.name, buf[:min(n, 15)])
	}
	s.w.rec.printf("backend server %s sends DELETE; delayed on its way: %v", s.id, late)
	if late {
		go func() { <-release; send() }()
	} else {
		send()
	}
	return release
}
