// Command wigeon-scale measures the cost of the control plane for a node. It announces
// backend servers to running nodes, stores policies in the platform, and measures the
// CPU time, memory and traffic of the node processes.
package main

import (
	"wigeonspring.example/wigeonspring/standin/command"
)

func main() {
	command.RunSubcommands("wigeon-scale",
		command.Subcommand{Name: "announce", Description: "announce backend servers to nodes until interrupted", Command: &announceCommand{}},
		command.Subcommand{Name: "policies", Description: "store the policies of many services", Command: &policiesCommand{}},
		command.Subcommand{Name: "memory", Description: "measure the memory for the directory and the policies of a node", Command: &memoryCommand{}},
		command.Subcommand{Name: "sample", Description: "measure running nodes for a period and print one CSV line", Command: &sampleCommand{}},
	)
}
