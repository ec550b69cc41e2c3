// Command wigeon-scale measures what a node spends on control: it announces
// backend servers to running nodes, loads policies into the platform, and reads
// processor time, memory and traffic of the node processes.
package main

import (
	"wigeonspring.example/wigeonspring/standin/command"
)

func main() {
	command.RunSubcommands("wigeon-scale",
		command.Subcommand{Name: "announce", Description: "announce backend servers to nodes until told to stop", Command: &announceCommand{}},
		command.Subcommand{Name: "policies", Description: "store the policies of many services", Command: &policiesCommand{}},
		command.Subcommand{Name: "memory", Description: "measure the state that every node holds", Command: &memoryCommand{}},
		command.Subcommand{Name: "sample", Description: "measure running nodes over a time and print one CSV line", Command: &sampleCommand{}},
	)
}
