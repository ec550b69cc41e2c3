package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases returns whether the rule held.
var cases = map[string]func(w *world) bool{}

func main() { os.Exit(run()) }

func run() (status int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER, in the root of the repository")
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	rec := &record{f: f, start: time.Now()}
	w := newWorld(rec, root, os.Getenv("TROUBLE") != "0")
	defer w.close()
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(couldNotRun); !ok {
				fmt.Fprintln(os.Stderr, p)
			}
			rec.printf("the case could not run")
			status = 2
		}
	}()
	giveUp := func(why string) {
		rec.printf("the case could not run: %s", why)
		w.close()
		os.Exit(2)
	}
	timer := time.AfterFunc(110*time.Second, func() { giveUp("it took too long") })
	defer timer.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { <-signals; giveUp("it was stopped") }()
	if cases[os.Args[1]](w) {
		rec.printf("result: the rule held")
		return 0
	}
	rec.printf("result: the rule was broken")
	return 1
}

// route returns a route of a configuration.
func route(name, host, prefix, kind, service string, timeout string) any {
	return map[string]any{"type": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"host": host, "pathPrefix": prefix, "kind": kind, "timeout": timeout, "slo": "1500ms", "priority": 1, "service": service, "attempts": 2,
	}}
}

func serviceEntry(name string) any {
	return map[string]any{"type": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"healthPath": "/healthz", "maxConns": 330, "protocol": "h1", "tls": false,
	}}
}

func limits() any {
	return map[string]any{"type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
	}}
}
