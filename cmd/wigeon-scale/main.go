// Command wigeon-scale measures what a node spends on control: it announces
// backend servers to running nodes, loads policies into the platform, and reads
// processor time, memory and traffic of the node processes.
package main

import (
	"wigeonspring.example/wigeonspring/standin/command"
)

func main() {
	command.Subcommands("wigeon-scale",
		command.Subcommand{Name: "announce", About: "announce backend servers to nodes until told to stop", Data: &announceCommand{}},
		command.Subcommand{Name: "policies", About: "store the policies of many services", Data: &policiesCommand{}},
		command.Subcommand{Name: "memory", About: "measure the state that every node holds", Data: &memoryCommand{}},
		command.Subcommand{Name: "sample", About: "measure running nodes over a time and print one CSV line", Data: &sampleCommand{}},
	)
}
