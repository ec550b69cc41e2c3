// Command wigeon-slopes measures how the cost of membership grows with the size of the
// fleet. It runs the membership cores of a whole fleet in one process, in virtual time
// and with the real message encoding, and prints CSV.
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
	Steady   time.Duration `long:"steady" default:"3m" description:"virtual duration of the steady state"`
	Repeat   int           `long:"repeat" default:"5" description:"number of record changes, and of node failures, to measure"`
	Output   string        `long:"output" description:"file to write in addition to standard output"`

	Sockets    int           `long:"sockets" default:"100" description:"nodes with real sockets on loopback; 0 skips that part"`
	SocketTime time.Duration `long:"socket-time" default:"30s" description:"real time that these nodes get to settle; the measurement takes as long again"`

	FullRecords bool `long:"full-records" description:"gossip full records instead of versions that receivers pull"`
	ProbesOnly  bool `long:"probes-only" description:"piggyback updates on probes only, without eager gossip"`
}

// Targets for one node, from the design document.
const (
	targetBytesPerSecond         = 3000
	targetCPUNanosPerSecond      = 36e6 // 3.6% of a core
	targetHeapBytes              = 64e6
	targetHeapBytesPerBackend    = 200.0
	targetHeapBytesPerNodeRecord = 400.0
)

// report writes the measurements as CSV rows.
type report struct {
	out   *csv.Writer
	nodes int
}

// add writes a measurement without a target.
func (r *report) add(metric string, value float64, unit string) { r.write(metric, value, unit, "", "") }

// addWithTarget writes a measurement, its target and whether the target is met. The value
// must be at most the target.
func (r *report) addWithTarget(metric string, value float64, unit string, target float64) {
	result := "met"
	if value > target {
		result = "missed"
	}
	r.write(metric, value, unit, strconv.FormatFloat(target, 'f', -1, 64), result)
}

func (r *report) write(metric string, value float64, unit, target, result string) {
	_ = r.out.Write([]string{strconv.Itoa(r.nodes), metric, strconv.FormatFloat(value, 'f', 1, 64), unit, target, result})
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
		f.measureSteadyState(r, opts.Steady)
		f.measureRecordChanges(r, opts.Repeat)
		f.measureNodeFailures(r, opts.Repeat)
		f.measureRegionPartition(r)
		f.measureDomainLoss(r)
	}
	if opts.Sockets > 0 {
		r.nodes = opts.Sockets
		if err := measureSockets(r, opts.Sockets, opts.Backends, opts.SocketTime); err != nil {
			return err
		}
	}
	return r.out.Error()
}

func (o *options) disabledMechanisms() membership.DisabledMechanisms {
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
