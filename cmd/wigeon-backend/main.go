// Command wigeon-backend is a stand-in for a backend server, for demos and
// tests. It writes a JSON line to standard output for each phase of each request
// that it runs.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/standin/backend"
	"wigeonspring.example/wigeonspring/standin/command"
	"wigeonspring.example/wigeonspring/standin/record"
)

type options struct {
	ID          string            `long:"id" required:"true" description:"identifier of the backend server"`
	Service     string            `long:"service" required:"true" description:"service name"`
	Listen      string            `long:"listen" default:"127.0.0.1:0" description:"address for requests and administration"`
	Nodes       []string          `long:"node" description:"peer address of a node; may be repeated, in order of preference; none: not announced"`
	Headers     string            `long:"headers" description:"names of the headers as a JSON object of header.Dialect; empty for those of the project"`
	Slots       int               `long:"slots" default:"5" description:"number of requests processed concurrently"`
	Labels      map[string]string `long:"label" description:"label as key:value; may be repeated"`
	ServiceTime time.Duration     `long:"service-time" default:"5ms" description:"processing time of a request"`
	ColdStart   time.Duration     `long:"cold-start" default:"2s" description:"time after the start during which requests take three times as long"`
	CallNode    string            `long:"call-node" description:"address for callers of the node to which runs make calls; empty for none"`
	CallService string            `long:"call-service" description:"name of the service that runs call, for the records"`
	CallHost    string            `long:"call-host" description:"HTTP host name of the service that runs call"`
	CallPath    string            `long:"call-path" description:"beginning of the paths of requests that make calls"`
	AnswerBytes int               `long:"answer-bytes" default:"512" description:"size of the filler in a response, in bytes"`
	Seed        uint64            `long:"seed" default:"1" description:"seed of the random faults"`
}

func main() {
	var opts options
	command.Main("wigeon-backend", &opts, func(ctx context.Context) error { return run(ctx, opts) })
}

func run(ctx context.Context, opts options) error {
	var headers *header.Dialect
	if opts.Headers != "" {
		if err := json.Unmarshal([]byte(opts.Headers), &headers); err != nil {
			return fmt.Errorf("--headers: %w", err)
		}
	}
	server, err := backend.New(backend.Options{
		ID:          opts.ID,
		Service:     opts.Service,
		Listen:      opts.Listen,
		Nodes:       opts.Nodes,
		Slots:       opts.Slots,
		Labels:      opts.Labels,
		Headers:     headers,
		Calls:       backend.Calls{Node: opts.CallNode, Service: opts.CallService, Host: opts.CallHost, PathPrefix: opts.CallPath},
		ServiceTime: opts.ServiceTime,
		ColdStart:   opts.ColdStart,
		AnswerBytes: opts.AnswerBytes,
		Seed:        opts.Seed,
		Records:     record.NewWriter(os.Stdout),
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "listening", server.Addr())
	return server.Run(ctx)
}
