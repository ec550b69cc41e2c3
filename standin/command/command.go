// Package command implements the main function of the stand-ins and tools. It parses
// flags, cancels the context on SIGTERM or SIGINT, and sets the exit status.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit statuses.
const (
	exitFailure    = 1
	exitUsageError = 2
)

// Main parses the flags into opts and calls run with a context that SIGTERM or SIGINT
// cancels. On an error it exits the process.
func Main(name string, opts any, run func(context.Context) error) {
	if _, err := flags.Parse(opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsageError)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(exitFailure)
	}
}

// Subcommand is a command of a tool.
type Subcommand struct {
	Name, Description string
	// Command has the flags as fields and is executed by its method Execute.
	Command flags.Commander
}

// RunSubcommands parses the arguments and runs the command that they name. On an error
// it exits the process.
func RunSubcommands(name string, commands ...Subcommand) {
	parser := flags.NewNamedParser(name, flags.Default)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.Name, c.Description, "", c.Command); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailure)
		}
	}
	if _, err := parser.Parse(); err != nil && !flags.WroteHelp(err) {
		os.Exit(exitFailure)
	}
}
