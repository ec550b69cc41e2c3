// Package command runs the main function of stand-ins and tools: it parses the flags,
// ends the context on SIGTERM or SIGINT, and sets the exit status.
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
	exitFailed   = 1
	exitBadUsage = 2
)

// Main parses the flags into opts and calls run. It does not return on an error.
func Main(name string, opts any, run func(context.Context) error) {
	if _, err := flags.Parse(opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitBadUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(exitFailed)
	}
}

// Subcommand is one command of a tool. Data holds its flags and has a method
// Execute([]string) error.
type Subcommand struct {
	Name, Description string
	Command           flags.Commander
}

// RunSubcommands parses the arguments and runs the command that they name. It does
// not return on an error.
func RunSubcommands(name string, commands ...Subcommand) {
	parser := flags.NewNamedParser(name, flags.Default)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.Name, c.Description, "", c.Command); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
	}
	if _, err := parser.Parse(); err != nil && !flags.WroteHelp(err) {
		os.Exit(exitFailed)
	}
}
