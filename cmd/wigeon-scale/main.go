// Command wigeon-scale measures what a node spends on control: it announces
// backend servers to running nodes, loads policies into the platform, and reads
// processor time, memory and traffic of the node processes.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	parser := flags.NewNamedParser("wigeon-scale", flags.Default)
	for _, c := range []struct {
		name, about string
		data        any
	}{
		{"announce", "announce backend servers to nodes until told to stop", &announceCommand{}},
		{"policies", "store the policies of many services", &policiesCommand{}},
		{"memory", "measure the state that every node holds", &memoryCommand{}},
		{"sample", "measure running nodes over a time and print one CSV line", &sampleCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.about, "", c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}
