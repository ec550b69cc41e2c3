// Command wigeon-slopes measures how the cost of membership grows with the
// fleet. It runs the membership cores of a whole fleet in one process on virtual
// time, with the real encoding, and prints CSV.
package main

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/jessevdk/go-flags"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
)

type options struct {
	Nodes    []int         `long:"nodes" default:"100" default:"300" default:"1000" default:"2100" description:"fleet size; may be repeated"`
	Backends int           `long:"backends" default:"12" description:"backend servers per node"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of all random choices"`
	Steady   time.Duration `long:"steady" default:"3m" description:"virtual time of the steady state"`
	Repeat   int           `long:"repeat" default:"5" description:"number of record changes and of kills"`
	Output   string        `long:"output" description:"file to write instead of standard output"`

	Sockets    int           `long:"sockets" default:"100" description:"nodes with real sockets on loopback; 0 skips that part"`
	SocketTime time.Duration `long:"socket-time" default:"30s" description:"real time for these nodes to settle, and again to be measured"`

	FullRecords bool `long:"full-records" description:"gossip full records instead of versions that are pulled"`
	ProbesOnly  bool `long:"probes-only" description:"let updates ride on probes only, without eager gossip"`
}

// Targets of the design page for one node.
const (
	targetBytes     = 3000  // bytes per second
	targetCPU       = 36e6  // 3.6% of a core, in ns per second
	targetHeap      = 64e6  // bytes
	targetBackend   = 200.0 // heap bytes per backend server
	targetNodeEntry = 400.0 // heap bytes per node record
)

// report writes the measurements as CSV rows.
type report struct {
	out   *csv.Writer
	nodes int
}

// add writes a figure without a target.
func (r *report) add(metric string, value float64, unit string) { r.row(metric, value, unit, "", "") }

// atMost writes a figure with its target and whether it is met.
func (r *report) atMost(metric string, value float64, unit string, target float64) {
	verdict := "met"
	if value > target {
		verdict = "missed"
	}
	r.row(metric, value, unit, strconv.FormatFloat(target, 'f', -1, 64), verdict)
}

func (r *report) row(metric string, value float64, unit, target, verdict string) {
	_ = r.out.Write([]string{strconv.Itoa(r.nodes), metric, strconv.FormatFloat(value, 'f', 1, 64), unit, target, verdict})
	r.out.Flush()
}

func run(opts options, out io.Writer) error {
	r := &report{out: csv.NewWriter(out)}
	if err := r.out.Write([]string{"nodes", "metric", "value", "unit", "target", "result"}); err != nil {
		return err
	}
	for _, n := range opts.Nodes {
		r.nodes = n
		measureHeap(r, n, opts.Backends)
		f := newFleet(opts, n)
		f.steady(r, opts.Steady)
		f.changes(r, opts.Repeat)
		f.kills(r, opts.Repeat)
		f.regionCut(r)
		f.domainLoss(r)
	}
	if opts.Sockets > 0 {
		r.nodes = opts.Sockets
		if err := measureSockets(r, opts.Sockets, opts.Backends, opts.SocketTime); err != nil {
			return err
		}
	}
	return r.out.Error()
}

func (o *options) mechanisms() membership.DisabledMechanisms {
	return membership.DisabledMechanisms{ShortVersions: o.FullRecords, EagerGossip: o.ProbesOnly}
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	out := io.Writer(os.Stdout)
	if opts.Output != "" {
		file, err := os.Create(opts.Output)
		if err != nil {
			fmt.Fprintln(os.Stderr, "wigeon-slopes:", err)
			os.Exit(1)
		}
		defer func() { _ = file.Close() }()
		out = io.MultiWriter(file, os.Stdout)
	}
	if err := run(opts, out); err != nil {
		fmt.Fprintln(os.Stderr, "wigeon-slopes:", err)
		os.Exit(1)
	}
}
