// Command wigeon-verify compares the responses that callers received with the requests
// that backend servers ran. It can also sample the capacity of services during a test,
// send a single HTTP request and bring JSON into a canonical form.
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
	Services []string      `long:"service" required:"true" description:"name of a service; may be repeated"`
	Interval time.Duration `long:"interval" default:"200ms" description:"time between two samples"`
}

// Execute writes samples until SIGTERM or SIGINT.
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
	Runs        []string         `long:"runs" required:"true" description:"file pattern of logs of backend servers; may be repeated"`
	Results     []string         `long:"results" required:"true" description:"file pattern of logs of callers; may be repeated"`
	Direct      []string         `long:"direct" description:"file pattern of logs of callers that sent directly to backend servers; may be repeated"`
	Capacity    []string         `long:"capacity" description:"file pattern of logs of the watch command; may be repeated"`
	Floors      map[string]int   `long:"floor" description:"floor as service:count; may be repeated"`
	FaultStarts map[string]int64 `long:"sick" description:"id of a backend server and the start of its fault in Unix milliseconds, as id:time; may be repeated"`
	JSON        bool             `long:"json" description:"print JSON instead of a table"`
}

// Execute prints the report. It returns an error if an invariant was violated.
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
	report := verify.Compare(runs, results)
	report.AddDirectLatency(direct)
	report.AddCapacity(capacity, c.Floors)
	report.AddDetection(runs, c.FaultStarts)
	if c.JSON {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = report.Print(os.Stdout)
	}
	if err != nil {
		return err
	}
	if report.Violated() {
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
	Post string `long:"post" description:"send a POST with this body instead of a GET"`
	Args struct {
		URL string
	} `positional-args:"true" required:"true"`
}

// Execute sends one request and prints the response body. It returns an error unless the
// status is 2xx.
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
		return fmt.Errorf("%s %s: unexpected status %s", method, c.Args.URL, resp.Status)
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	return err
}

type canonicalCommand struct{}

// Execute copies the JSON values of standard input to standard output in canonical form.
func (*canonicalCommand) Execute([]string) error {
	return verify.WriteCanonical(os.Stdout, os.Stdin)
}

func main() {
	command.RunSubcommands("wigeon-verify",
		command.Subcommand{Name: "watch", Description: "sample the serving backend servers of services", Command: &watchCommand{}},
		command.Subcommand{Name: "http", Description: "send one HTTP request", Command: &httpCommand{}},
		command.Subcommand{Name: "canonical", Description: "copy JSON values in a form that depends on the values only", Command: &canonicalCommand{}},
		command.Subcommand{Name: "report", Description: "compare the responses of callers with the requests of backend servers", Command: &reportCommand{}},
	)
}
