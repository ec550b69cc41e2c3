// Command wigeon-platform is a stand-in for the platform, for demos and tests. It serves
// the object API over HTTP.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"wigeonspring.example/wigeonspring/standin/command"
	"wigeonspring.example/wigeonspring/standin/platform"
)

type options struct {
	Listen  string `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	History int    `long:"history" default:"4096" description:"number of past revisions kept for watches"`
}

func main() {
	var o options
	command.Main("wigeon-platform", &o, func(ctx context.Context) error { return run(ctx, o) })
}

func run(ctx context.Context, o options) error {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           platform.New(platform.Options{History: o.History}),
		ReadHeaderTimeout: 10 * time.Second,
		// Pending watches end when the program stops, so that they do not delay the
		// shutdown.
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	fmt.Println("listening", listener.Addr())
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err = server.Shutdown(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	return err
}
