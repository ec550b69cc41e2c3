// Command wigeonctl validates and applies routing policies and shows the state and the
// decisions of the fleet.
package main

import (
	"os"

	"wigeonspring.example/wigeonspring/internal/transport/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], ctl.Options{Stdout: os.Stdout, Stderr: os.Stderr}))
}
