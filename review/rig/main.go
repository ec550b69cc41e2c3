// Command rig plays the scripted cases of the second review. It starts the daemon as separate
// processes on loopback addresses; store, backend servers and callers are stand-ins in this
// program. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases maps the number of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return 2
	}
	w, err := newWorld(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](w, trouble)
	switch {
	case err != nil:
		w.record("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		w.record("result: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	w.record("result: the rule held")
	fmt.Println("the rule held")
	return 0
}
