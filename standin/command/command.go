// Package command runs the main function of a stand-in: it parses the flags,
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
