// Command wigeonctl checks and applies routing policies and shows what the
// fleet knows and decides.
package main

import (
	"os"

	"wigeonspring.example/wigeonspring/internal/transport/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], ctl.Options{Stdout: os.Stdout, Stderr: os.Stderr}))
}
