// Command wigeon-relay is a stand-in for a network link, for demos and tests:
// it adds a delay and can cut one direction.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"wigeonspring.example/wigeonspring/standin/relay"
)

type options struct {
	Listen string        `long:"listen" required:"true" description:"IP:port for TCP and UDP"`
	Target string        `long:"target" required:"true" description:"IP:port to forward to"`
	Admin  string        `long:"admin" required:"true" description:"IP:port for switching the link by HTTP POST"`
	Delay  time.Duration `long:"delay" default:"0" description:"one-way delay"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "wigeon-relay:", err)
		os.Exit(1)
	}
}

func run(opts options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	link, err := relay.New(relay.Options{
		Listen: opts.Listen,
		Target: opts.Target,
		Link:   relay.Link{DelayMicros: opts.Delay.Microseconds()},
	})
	if err != nil {
		return err
	}
	admin := &http.Server{Addr: opts.Admin, Handler: link, ReadHeaderTimeout: time.Second}
	go func() { _ = admin.ListenAndServe() }()
	defer admin.Close()
	return link.Run(ctx)
}
