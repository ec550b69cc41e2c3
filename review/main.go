// Command review-case plays one case of the review. It starts the nodes as separate processes,
// with the command and the settings template of the deploy folder, and provides the platform's
// store, the backends and the clients itself, on loopback addresses.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseFunc plays a case. trouble is false if the disruption is to be left out. broken states
// that the rule was broken.
type caseFunc func(w *world, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{}

// limit bounds a case, so that it ends within the 120 s of a script.
const limit = 105 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-case NAME RECORD-FILE (in the root of the repository)")
		return 2
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot start:", err)
		return 2
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, disruption: %v", os.Args[1], trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](w, trouble)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-signals:
		r.err = errors.New("ended by a signal")
	case <-time.After(limit):
		r.err = fmt.Errorf("not finished after %s", limit)
	}
	switch {
	case r.err != nil:
		w.note("result: could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return 2
	case r.broken:
		w.note("result: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	w.note("result: the rule held")
	fmt.Println("the rule held")
	return 0
}
