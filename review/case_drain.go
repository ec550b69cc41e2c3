package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["drain"] = playDrain }

// playDrain: a backend leaves by DELETE, which its node acknowledges. A heartbeat that it sent
// before arrives 2.5 s late. Meanwhile the process of the node is killed and starts again.
func playDrain(w *world, trouble bool) (bool, error) {
	const service, host = "wuno96b", "hulo84.example"
	if err := w.putConfig(7, []string{service}, route{"r-1", host, "/xapu221/", "unsafe", service, 2}); err != nil {
		return false, err
	}
	var backends []*backend
	for i, zone := range []string{"zapad-a", "zapad-b"} {
		n, err := w.addNode(zone, service)
		if err != nil {
			return false, err
		}
		b, err := w.startBackend(n, fmt.Sprintf("i-2c40b7d%d", i), 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}
	home, other := w.nodes[0], w.nodes[1]
	leaver := backends[0]
	r := request{method: http.MethodPost, host: host, path: "/xapu221/2f", deadline: 4 * time.Second, body: "tin 7, pickup on Monday"}
	for _, n := range w.nodes {
		if err := w.waitServed(n, r, 20, 15*time.Second); err != nil {
			return false, err
		}
	}
	// The heartbeat that will arrive late.
	leaver.mu.Lock()
	leaver.state = "gone" // ends the ordinary heartbeats
	leaver.mu.Unlock()
	time.Sleep(1200 * time.Millisecond) // an ordinary heartbeat that is under way ends
	late := leaver.nextBeat("ready")
	sentAt := time.Now()
	w.note("%s: heartbeat %s is sent; it is delayed by 2.5 s", leaver.id, late)
	time.Sleep(200 * time.Millisecond)
	if err := leaver.leave(); err != nil {
		return false, err
	}
	left := time.Now()
	w.note("%s has left: DELETE is acknowledged by %s", leaver.id, home.name)
	time.Sleep(200 * time.Millisecond)
	if trouble {
		home.kill()
		w.note("%s: process killed", home.name)
		time.Sleep(300 * time.Millisecond)
		if err := home.startProcess(); err != nil {
			return false, err
		}
	}
	started := time.Now()
	time.Sleep(time.Until(sentAt.Add(2500 * time.Millisecond)))
	if err := leaver.put(late); err != nil {
		w.note("the late heartbeat: %v", err)
	}
	if err := home.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	// From now on, both machines are in touch again.
	time.Sleep(time.Until(started.Add(boundStable + 200*time.Millisecond)))
	first := time.Now()
	w.note("clients send on both machines; both have been without disruption for %s", time.Since(started).Round(time.Millisecond))
	served, total := 0, 0
	for range 40 {
		for _, n := range []*node{other, home} {
			q := r
			q.id = newID()
			a := send(n.outbound(), q)
			total++
			if a.err == nil && a.status == http.StatusOK {
				served++
			}
			w.note("client: %s at %s is answered %s", q.id, n.name, a)
		}
	}
	wrong := 0
	for _, x := range leaver.recorded() {
		if x.at.After(first) && x.at.Sub(left) > boundDrain {
			wrong++
			w.note("BROKEN: %s runs at %s, %s after the acknowledgement", x.id, leaver.id, x.at.Sub(left).Round(time.Millisecond))
		}
	}
	w.note("%d requests, %d served; %d ran at the backend that had left, later than %s after the acknowledgement", total, served, wrong, boundDrain)
	leaver.stop()
	if served < total*8/10 {
		return false, fmt.Errorf("only %d of %d requests were served", served, total)
	}
	return wrong > 0, nil
}
