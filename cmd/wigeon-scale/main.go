// Command wigeon-scale measures the cost of the control plane for a node. It announces
// backend servers to running nodes, stores policies in the platform, and measures the
// CPU time, memory and traffic of the node processes.
package main

import (
	"wigeonspring.example/wigeonspring/standin/command"
)

func main() {
	command.Subcommands("wigeon-scale",
		command.Subcommand{Name: "announce", About: "announce backend servers to nodes until interrupted", Data: &announceCommand{}},
		command.Subcommand{Name: "policies", About: "store the policies of many services", Data: &policiesCommand{}},
		command.Subcommand{Name: "memory", About: "measure the memory for the directory and the policies of a node", Data: &memoryCommand{}},
		command.Subcommand{Name: "sample", About: "measure running nodes for a period and print one CSV line", Data: &sampleCommand{}},
	)
}
