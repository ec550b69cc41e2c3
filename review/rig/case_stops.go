package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["7"] = stopsInTurn }

// stopsInTurn: machines are stopped in turn, and an owner ends a long request of a machine that is
// stopped after it.
func stopsInTurn(w *world, trouble bool) (bool, error) {
	const (
		gap       = 1300 * time.Millisecond
		grace     = 6 * time.Second
		lossSlack = 200 * time.Millisecond
	)
	zones := []string{"zapad-a", "stred-a", "vychod-a"}
	for i := range 6 {
		service := "vratky"
		if i >= 3 {
			service = "rezervacie"
		}
		s := w.addMachine(zones[i%3], zones[i%3][:len(zones[i%3])-2], service).addServer(7, 0)
		s.workFor = func(r *http.Request) time.Duration {
			if strings.HasSuffix(r.URL.Path, "/long") {
				return 3600 * time.Millisecond
			}
			return time.Duration(500+rand.IntN(440)) * time.Millisecond
		}
	}
	w.store.configure(7, []string{"rezervacie", "vratky"}, []route{{name: "r-photos", prefix: "/photos/", kind: "upload", service: "vratky", timeout: "5000ms"}}, nil)
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	c := newClients(w)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	photo := strings.Repeat("p", 60_000)
	c.load(ctx, w.nodes[3:], 5, func(m *machine) { c.send(m, http.MethodPost, "/photos/2f", photo, "") })
	time.Sleep(20 * time.Second)
	// Of some 350 uploads, 3 are long, which is about 1 in 100.
	owner, taker := w.nodes[0], w.nodes[3]
	stop := func(m *machine) time.Time {
		if trouble {
			m.signalNode(syscall.SIGTERM)
			go func() {
				select {
				case <-m.exited:
				case <-time.After(grace):
					m.signalNode(syscall.SIGKILL)
				}
			}()
		}
		return time.Now()
	}
	stop(owner)
	time.Sleep(gap)
	time.Sleep(gap - 400*time.Millisecond)
	var long []*sent
	done := make(chan *sent)
	for range 3 {
		go func() { done <- c.send(taker, http.MethodPost, "/photos/long", photo, "") }()
	}
	time.Sleep(400 * time.Millisecond)
	term := stop(taker)
	time.Sleep(gap)
	cancel()
	for range 3 {
		long = append(long, <-done)
	}
	c.wg.Wait()
	runs := map[string]ran{}
	for _, m := range w.nodes {
		for _, r := range m.server.allRuns() {
			runs[r.id] = r
		}
	}
	lost := 0
	for _, s := range long {
		r, ok := runs[s.id]
		if !ok || s.status == http.StatusOK {
			continue
		}
		after := s.done.Sub(term)
		// The excuses of the rule: the deadline, the route's time-out, the last sixth of grace.
		if s.done.Sub(s.at) >= 5*time.Second-lossSlack || after >= grace*5/6 || after < 0 {
			continue
		}
		lost++
		w.record("LOST: %s was answered %d, %.2f s after the SIGTERM of %s, while its backend was at work (%t)", s.id, s.status, after.Seconds(), taker.name, r.cut)
	}
	fmt.Printf("%d of 3 long requests were broken off while their backends were at work\n", lost)
	return lost > 0, nil
}
