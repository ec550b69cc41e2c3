// Command wigeon-relay is a stand-in for a network link, for demos and tests. It forwards
// TCP and UDP with a delay and can drop the traffic in each direction separately.
package main

import (
	"context"
	"net/http"
	"time"

	"wigeonspring.example/wigeonspring/standin/command"
	"wigeonspring.example/wigeonspring/standin/relay"
)

type options struct {
	Listen string        `long:"listen" required:"true" description:"IP:port for TCP and UDP"`
	Target string        `long:"target" required:"true" description:"IP:port to forward to"`
	Admin  string        `long:"admin" required:"true" description:"IP:port for changing the link by HTTP POST"`
	Delay  time.Duration `long:"delay" default:"0" description:"one-way delay"`
}

func main() {
	var opts options
	command.Main("wigeon-relay", &opts, func(ctx context.Context) error { return run(ctx, opts) })
}

func run(ctx context.Context, opts options) error {
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
