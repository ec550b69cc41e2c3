// Command wigeon-verify compares what callers saw with what backend servers
// ran, and samples the capacity of a service while a check is running.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/standin/command"
	"wigeonspring.example/wigeonspring/standin/record"
	"wigeonspring.example/wigeonspring/standin/verify"
)

type watchCommand struct {
	Node     string        `long:"node" required:"true" description:"operator URL of a node"`
	Services []string      `long:"service" required:"true" description:"service; repeat"`
	Interval time.Duration `long:"interval" default:"200ms" description:"time between two samples"`
}

// Execute samples until the process is told to stop.
func (c *watchCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	client := controlpb.NewControlProtobufClient(c.Node, &http.Client{Timeout: time.Second})
	out := record.NewWriter(os.Stdout)
	ticker := time.NewTicker(c.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, service := range c.Services {
			resp, err := client.Backends(ctx, &controlpb.BackendsRequest{Service: service})
			if err != nil {
				continue
			}
			out.Write(verify.CapacitySample{Time: time.Now(), Service: service, Serving: verify.CountServing(resp.Backends)})
		}
	}
}

type reportCommand struct {
	Runs     []string         `long:"runs" required:"true" description:"logs of backend servers, a pattern; repeat"`
	Results  []string         `long:"results" required:"true" description:"logs of callers, a pattern; repeat"`
	Direct   []string         `long:"direct" description:"logs of callers that sent straight to backend servers, a pattern"`
	Capacity []string         `long:"capacity" description:"logs of the watch command, a pattern"`
	Floors   map[string]int   `long:"floor" description:"floor as service:count; repeat"`
	Sick     map[string]int64 `long:"sick" description:"backend server and the start of its fault in unix milliseconds as id:time; repeat"`
	JSON     bool             `long:"json" description:"print JSON instead of a table"`
}

// Execute prints the report and fails if an invariant was broken.
func (c *reportCommand) Execute([]string) error {
	runs, err := readAll[record.Run](c.Runs)
	if err != nil {
		return err
	}
	results, err := readAll[record.Result](c.Results)
	if err != nil {
		return err
	}
	direct, err := readAll[record.Result](c.Direct)
	if err != nil {
		return err
	}
	capacity, err := readAll[verify.CapacitySample](c.Capacity)
	if err != nil {
		return err
	}
	rep := verify.Compare(runs, results)
	rep.AddDirectLatency(direct)
	rep.AddCapacity(capacity, c.Floors)
	rep.AddDetection(runs, c.Sick)
	if c.JSON {
		err = json.NewEncoder(os.Stdout).Encode(rep)
	} else {
		err = rep.Print(os.Stdout)
	}
	if err != nil {
		return err
	}
	if rep.Violated() {
		return fmt.Errorf("an invariant was broken")
	}
	return nil
}

func readAll[T any](patterns []string) ([]T, error) {
	var all []T
	for _, pattern := range patterns {
		files, err := filepath.Glob(pattern)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			f, err := os.Open(file)
			if err != nil {
				return nil, err
			}
			values, err := verify.ReadLines[T](f)
			f.Close()
			if err != nil {
				return nil, fmt.Errorf("%s: %w", file, err)
			}
			all = append(all, values...)
		}
	}
	return all, nil
}

type httpCommand struct {
	Post string `long:"post" description:"send this body by POST instead of a GET"`
	Args struct {
		URL string
	} `positional-args:"true" required:"true"`
}

// Execute sends one request and fails unless the status is 2xx.
func (c *httpCommand) Execute([]string) error {
	method, body := http.MethodGet, io.Reader(nil)
	if c.Post != "" {
		method, body = http.MethodPost, strings.NewReader(c.Post)
	}
	req, err := http.NewRequest(method, c.Args.URL, body)
	if err != nil {
		return err
	}
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %s", resp.Status)
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	return err
}

func main() {
	command.RunSubcommands("wigeon-verify",
		command.Subcommand{Name: "watch", Description: "sample the serving backend servers of services", Command: &watchCommand{}},
		command.Subcommand{Name: "http", Description: "send one HTTP request", Command: &httpCommand{}},
		command.Subcommand{Name: "report", Description: "compare callers' answers with backend servers' work", Command: &reportCommand{}},
	)
}
