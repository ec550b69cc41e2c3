// Command wigeon-detect compares the detectors of failing backend servers. It runs them
// on the same synthetic cases with a fixed seed and prints a table in Markdown.
package main

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"wigeonspring.example/wigeonspring/internal/coordination/ejection"
)

type options struct {
	Seed           int64         `long:"seed" default:"1" description:"Seed of the random numbers"`
	Trials         int           `long:"trials" default:"500" description:"Trials per case in which a backend server fails"`
	Hours          int           `long:"hours" default:"100" description:"Simulated hours per case in which none fails"`
	Rates          []float64     `long:"rate" default:"12.8" default:"2" description:"Requests per second of a backend server; may be repeated"`
	Weights        []float64     `long:"weight" default:"0.8" default:"0.2" description:"Detection weight; may be repeated"`
	BaselineWindow time.Duration `long:"baseline-window" default:"30s" description:"Window of the ingress nodes' view of the service"`
	Recent         time.Duration `long:"recent" description:"Also report the worse behaviour of this shorter window"`
	ConfirmShort   time.Duration `long:"confirm-short" description:"Confirmation time at detection weight 1"`
	ConfirmLong    time.Duration `long:"confirm-long" description:"Confirmation time at detection weight 0"`
	ConfirmSamples int           `long:"confirm-samples" description:"Samples within the confirmation time"`
	Workers        int           `long:"workers" default:"3" description:"Cases that run at once"`
	SlowFactor     float64       `long:"slow-factor" description:"Multiple of the median that counts as slow"`
	MaxRoutes      int           `long:"max-routes" description:"Routes with statistics of their own"`
	Low            float64       `long:"low-threshold" description:"CUSUM threshold at detection weight 1"`
	High           float64       `long:"high-threshold" description:"CUSUM threshold at detection weight 0"`
	Case           string        `long:"case" description:"Run only this case"`
}

// detectorConfig is a detector with a detection weight.
type detectorConfig struct {
	name        string
	weight      float64
	newDetector func() ejection.Detector
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := compare(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (o options) detectorConfigs() []detectorConfig {
	var out []detectorConfig
	for _, w := range o.Weights {
		out = append(out,
			detectorConfig{"A outlier", w, func() ejection.Detector { return ejection.NewOutlier(ejection.OutlierOptions{}) }},
			detectorConfig{"B CUSUM", w, func() ejection.Detector {
				return ejection.NewCUSUM(ejection.CUSUMOptions{
					SlowFactor: o.SlowFactor, MaxRoutes: o.MaxRoutes, LowThreshold: o.Low, HighThreshold: o.High,
				})
			}})
	}
	return out
}

func compare(o options) error {
	detectors := o.detectorConfigs()
	fmt.Printf("seed %d, %d trials or %d h per case, baseline window %s\n\n", o.Seed, o.Trials, o.Hours, o.BaselineWindow)
	fmt.Print("| case | requests/s |")
	for _, c := range detectors {
		fmt.Printf(" %s, weight %g |", c.name, c.weight)
	}
	fmt.Print("\n| --- | --- |")
	for range detectors {
		fmt.Print(" --- |")
	}
	fmt.Println()

	var group errgroup.Group
	group.SetLimit(o.Workers)
	rows := make([][]string, 0, len(cases)*len(o.Rates))
	for _, rate := range o.Rates {
		for _, c := range cases {
			if o.Case != "" && o.Case != c.name {
				continue
			}
			i := len(rows)
			rows = append(rows, nil)
			group.Go(func() error {
				rows[i] = runCase(o, c, rate, detectors)
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, row := range rows {
		fmt.Print("|")
		for _, cell := range row {
			fmt.Printf(" %s |", cell)
		}
		fmt.Println()
	}
	return nil
}

// runCase runs one case at one request rate and returns the cells of its table row.
func runCase(o options, c testCase, rate float64, detectors []detectorConfig) []string {
	row := []string{c.name, fmt.Sprintf("%g", rate)}
	if !c.fails {
		s := newSimulation(o, c, rate, o.Seed, detectors)
		s.run(time.Duration(o.Hours) * time.Hour)
		for i := range detectors {
			row = append(row, fmt.Sprintf("%.2f false/h", float64(s.ejections[i])/float64(o.Hours)))
		}
		return row
	}
	times := make([][]float64, len(detectors))
	for trial := range o.Trials {
		s := newSimulation(o, c, rate, o.Seed+int64(trial), detectors)
		s.onset = s.now.Add(warmUpTime)
		s.run(warmUpTime + detectionTimeout)
		for i, at := range s.detected {
			if at.IsZero() {
				times[i] = append(times[i], math.Inf(1))
			} else {
				times[i] = append(times[i], at.Sub(s.onset).Seconds())
			}
		}
	}
	for _, t := range times {
		row = append(row, formatDetectionTimes(t))
	}
	return row
}

// formatDetectionTimes returns the median and the 99th percentile of the times, which are
// in seconds, and the share of trials without a detection.
func formatDetectionTimes(times []float64) string {
	slices.Sort(times)
	quantile := func(q float64) string {
		v := times[min(len(times)-1, int(q*float64(len(times))))]
		if math.IsInf(v, 1) {
			return "none"
		}
		return fmt.Sprintf("%.1f s", v)
	}
	missed := 0
	for _, t := range times {
		if math.IsInf(t, 1) {
			missed++
		}
	}
	out := quantile(0.5) + " / " + quantile(0.99)
	if missed > 0 {
		out += fmt.Sprintf(" (%.1f%% missed)", 100*float64(missed)/float64(len(times)))
	}
	return out
}
