// Command wigeon-load is a stand-in for callers, for demos and tests. It writes a
// JSON line for each operation to standard output and a summary to standard error.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"wigeonspring.example/wigeonspring/standin/caller"
	"wigeonspring.example/wigeonspring/standin/command"
	"wigeonspring.example/wigeonspring/standin/record"
)

type options struct {
	Targets        []string      `long:"target" required:"true" description:"address of a node or backend server; may be repeated"`
	Service        string        `long:"service" required:"true" description:"service name for the records"`
	Host           string        `long:"host" required:"true" description:"HTTP host name"`
	Rate           float64       `long:"rate" default:"100" description:"operations per second"`
	Duration       time.Duration `long:"duration" default:"10s" description:"time during which operations are sent"`
	BookingPercent float64       `long:"bookings" default:"20" description:"share of non-idempotent bookings, percent"`
	UploadPercent  float64       `long:"uploads" default:"0" description:"share of uploads, percent"`
	UploadBytes    int64         `long:"upload-bytes" default:"8388608" description:"size of an upload in bytes"`
	Timeout        time.Duration `long:"timeout" default:"10s" description:"time that a caller waits for a response"`
	Teams          int           `long:"teams" default:"20" description:"number of caller identities"`
	Seed           uint64        `long:"seed" default:"1" description:"seed of the random mix of operations"`
	Prefix         string        `long:"prefix" default:"op" description:"prefix of operation identifiers"`
}

func main() {
	var opts options
	command.Main("wigeon-load", &opts, func(ctx context.Context) error { return run(ctx, opts) })
}

func run(ctx context.Context, opts options) error {
	load := caller.New(caller.Options{
		Targets:        opts.Targets,
		Service:        opts.Service,
		Host:           opts.Host,
		Rate:           opts.Rate,
		Duration:       opts.Duration,
		BookingPercent: opts.BookingPercent,
		UploadPercent:  opts.UploadPercent,
		UploadBytes:    opts.UploadBytes,
		Timeout:        opts.Timeout,
		Teams:          opts.Teams,
		Seed:           opts.Seed,
		IDPrefix:       opts.Prefix,
		Records:        record.NewWriter(os.Stdout),
	})
	out, err := json.Marshal(load.Run(ctx))
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, string(out))
	return nil
}
