package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["10"] = frozenQuota }

// frozenQuota: one machine freezes while a tenant sends many times its usual.
func frozenQuota(w *world, trouble bool) (bool, error) {
	const (
		window, rate, burst = 5 * time.Second, 10.0, 10.0
		overage, slack      = 0.1, 20.0
		usual, hot          = 10.0, 7.5
		rounds              = 3
	)
	w.bounds["strictRevoke"], w.bounds["revoke"] = "true", "5000ms"
	w.bounds["quotaWindow"], w.bounds["quotaOverage"], w.bounds["quotaSlack"] = "5s", "0.1", "20"
	for _, zone := range []string{"zapad-a", "stred-a", "vychod-a"} {
		m := w.addMachine(zone, zone[:len(zone)-2], "rezervacie")
		m.addServer(10, 60*time.Millisecond)
		if err := m.addRelay(8 * time.Millisecond); err != nil {
			return false, err
		}
	}
	w.store.configure(7, []string{"rezervacie"}, []route{{name: "r-reserve", prefix: "/reserve/", kind: "unsafe", service: "rezervacie"}},
		[]tenant{{name: "te1", keys: []string{"key-1"}, rate: rate, burst: burst}})
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(20 * time.Second)
	c := newClients(w)
	var out atomic.Pointer[machine]
	send := func(m *machine) {
		if out.Load() != m {
			c.send(m, http.MethodPost, "/reserve/2f", "tin 7", "key-1")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := w.nodes[1:]
	c.load(ctx, callers, usual/2, send)
	time.Sleep(5 * time.Second)
	frozen := callers[0]
	for range rounds {
		w.record("te1 sends %.1f times its usual for 6.5 s", hot)
		hotCtx, cool := context.WithTimeout(ctx, 6500*time.Millisecond)
		c.load(hotCtx, callers, (hot-1)*usual/2, send)
		time.Sleep(1500 * time.Millisecond)
		if trouble {
			frozen.signalNode(syscall.SIGSTOP)
			// The platform asks each node once a second; after two misses the clients stay away.
			time.Sleep(2 * time.Second)
			out.Store(frozen)
			time.Sleep(time.Second)
			frozen.signalNode(syscall.SIGCONT)
			time.Sleep(time.Second)
			out.Store(nil)
		} else {
			time.Sleep(4 * time.Second)
		}
		time.Sleep(9 * time.Second)
		cool()
	}
	cancel()
	c.wg.Wait()

	ran := map[string]bool{}
	for _, m := range w.nodes {
		for _, r := range m.server.allRuns() {
			ran[r.id] = true
		}
	}
	var times []time.Time
	for _, s := range c.answers() {
		if ran[s.id] {
			times = append(times, s.at)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most, from, first := 0, 0, 0
	for i := range times {
		for times[i].Sub(times[first]) > window {
			first++
		}
		if n := i - first + 1; n > most {
			most, from = n, first
		}
	}
	bound := (rate*window.Seconds()+burst)*(1+overage) + slack
	w.record("QUOTA: %d requests of te1 that were sent within 5 s from %.3f on have run; the bound is %.0f", most, times[from].Sub(w.start).Seconds(), bound)
	fmt.Printf("%d requests within 5 s have run; the bound is %.0f\n", most, bound)
	return float64(most) > bound, nil
}
