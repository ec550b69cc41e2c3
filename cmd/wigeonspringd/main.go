// Command wigeonspringd runs a node of wigeonspring.
package main

import (
	"context"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/settings"
	"wigeonspring.example/wigeonspring/internal/transport/backend"
	"wigeonspring.example/wigeonspring/internal/transport/logging"
	"wigeonspring.example/wigeonspring/internal/transport/node"
	"wigeonspring.example/wigeonspring/platform"
)

// Exit statuses.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

type options struct {
	Config string `long:"config" required:"true" value-name:"FILE" description:"settings in TOML"`
	Check  bool   `long:"check" description:"validate the settings and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	// An unhandled SIGHUP ends the process, also while it reads its settings.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var opts options
	if _, err := flags.ParseArgs(&opts, args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitBadSettings
	}
	s, err := settings.Load(opts.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	if opts.Check {
		for _, w := range s.Warnings() {
			fmt.Fprintln(os.Stderr, "warning: "+w)
		}
		return 0
	}
	out := logging.NewWriter(os.Stdout)
	defer out.CloseWithin(flushTimeout)
	log, level, err := newLogger(s, out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, w := range s.Warnings() {
		log.Warn(w)
	}
	go reloadOnSIGHUP(hangups, opts.Config, s, log, level)
	if err := serve(s, log); err != nil {
		// The logger drops lines that are not read in time, so the error is also
		// written to standard error.
		fmt.Fprintln(os.Stderr, err)
		log.Error("node failed", zap.Error(err))
		return exitFailed
	}
	return 0
}

// flushTimeout bounds the time for writing the last log lines before the process exits.
const flushTimeout = 100 * time.Millisecond

// Settings of the garbage collector. A small heap may grow to five times its live size
// before it is collected, because frequent collections delay requests. Near the memory
// limit the collector runs more often. The limit leaves room below 64 MB for memory that
// the runtime does not count.
const (
	gcPercent        = 400
	memoryLimitBytes = 56 << 20
)

func serve(s *settings.Settings, log *zap.Logger) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	invariant.SetHandler(func(name, detail string) {
		log.Error("invariant violated", zap.String("invariant", name), zap.String("detail", detail))
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		log.Warn("received a second signal; exiting immediately")
		os.Exit(exitFailed)
	}()
	// net/http writes unsolicited bytes from a backend server to the standard logger;
	// they must not reach the log.
	stdlog.SetOutput(backend.RedactLog(os.Stderr))
	n, err := node.New(ctx, node.Options{Settings: s, Log: log, TraceWriter: os.Stdout, Adapter: newAdapter(s, log)})
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// newAdapter returns the platform adapter selected by the settings. It returns nil if
// the node uses the project's own API of the platform.
func newAdapter(s *settings.Settings, log *zap.Logger) *node.Adapter {
	if s.Platform.Form != settings.FormObjects {
		return nil
	}
	return platform.NewAdapter(s.Platform.Address, time.Duration(s.Platform.Timeout), log)
}

// newLogger returns a logger that writes JSON lines to out, and its level. The writer out
// must not block when its output is not read.
func newLogger(s *settings.Settings, out zapcore.WriteSyncer) (*zap.Logger, zap.AtomicLevel, error) {
	var none zap.AtomicLevel
	parsed, err := zapcore.ParseLevel(s.Output.LogLevel)
	if err != nil {
		return nil, none, err
	}
	level := zap.NewAtomicLevelAt(parsed)
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), out, level))
	return log.With(zap.String("node", s.Node.ID), zap.String("failure_domain", s.Node.FailureDomain)), level, nil
}
