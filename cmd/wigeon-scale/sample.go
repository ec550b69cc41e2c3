package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

type sampleCommand struct {
	Operators []string      `long:"operator" required:"true" description:"operator URL of a node; may be repeated, in the order of --pid"`
	PIDs      []int         `long:"pid" required:"true" description:"process id of a node; may be repeated"`
	Platform  string        `long:"platform" required:"true" description:"URL of the platform stand-in"`
	Duration  time.Duration `long:"duration" default:"20s" description:"time between the two measurements"`
	Label     string        `long:"label" description:"value of the first column"`
	Header    bool          `long:"header" description:"print a header line with the column names"`
}

// clockTicksPerSecond converts the CPU time in /proc, which is in clock ticks.
const clockTicksPerSecond = 100

type usage struct {
	cpu       time.Duration
	rssBytes  int64
	sent      int64
	received  int64
	heapBytes int64
}

// Execute measures all nodes twice and prints the averages per node. Calls to the platform
// are printed as a total.
func (c *sampleCommand) Execute([]string) error {
	before, err := c.read()
	if err != nil {
		return err
	}
	callsBefore, err := platformCalls(c.Platform)
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(c.Duration)
	after, err := c.read()
	if err != nil {
		return err
	}
	callsAfter, err := platformCalls(c.Platform)
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	n := float64(len(c.PIDs))
	if c.Header {
		fmt.Println("label,nodes,cpu_percent_of_core,rss_mb,heap_mb,gossip_sent_bytes_s,gossip_received_bytes_s,platform_reads_s,platform_writes_s,platform_watches_s")
	}
	fmt.Printf("%s,%d,%.3f,%.1f,%.1f,%.0f,%.0f,%.2f,%.2f,%.2f\n", c.Label, len(c.PIDs),
		(after.cpu-before.cpu).Seconds()/seconds/n*100,
		float64(after.rssBytes)/n/1e6, float64(after.heapBytes)/n/1e6,
		float64(after.sent-before.sent)/seconds/n, float64(after.received-before.received)/seconds/n,
		float64(callsAfter["get"]+callsAfter["list"]-callsBefore["get"]-callsBefore["list"])/seconds,
		float64(callsAfter["put"]+callsAfter["delete"]-callsBefore["put"]-callsBefore["delete"])/seconds,
		float64(callsAfter["watch"]-callsBefore["watch"])/seconds)
	return nil
}

// read returns the sum of the resource usage of all nodes.
func (c *sampleCommand) read() (usage, error) {
	var sum usage
	for i, pid := range c.PIDs {
		cpu, rss, err := readProcess(pid)
		if err != nil {
			return sum, err
		}
		sum.cpu += cpu
		sum.rssBytes += rss
		var vars struct {
			Gossip   map[string]int64          `json:"gossip"`
			MemStats struct{ HeapAlloc int64 } `json:"memstats"`
		}
		if err := getJSON(c.Operators[i]+"/debug/vars", &vars); err != nil {
			return sum, err
		}
		sum.sent += vars.Gossip["bytes_sent"]
		sum.received += vars.Gossip["bytes_received"]
		sum.heapBytes += vars.MemStats.HeapAlloc
	}
	return sum, nil
}

// readProcess returns the CPU time and the resident memory in bytes of a process.
func readProcess(pid int) (cpu time.Duration, rss int64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// The command name in parentheses may contain spaces. The fields follow it.
	_, rest, ok := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 22 {
		return 0, 0, fmt.Errorf("process %d: unexpected format of /proc/%d/stat", pid, pid)
	}
	var ticks int64
	for _, f := range fields[11:13] {
		v, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, 0, err
		}
		ticks += v
	}
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	if err != nil {
		return 0, 0, err
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, pages * int64(os.Getpagesize()), nil
}

// platformCalls returns the number of calls to the platform stand-in by operation.
func platformCalls(url string) (map[string]int64, error) {
	calls := map[string]int64{}
	return calls, getJSON(url+"/admin/calls", &calls)
}

func getJSON(url string, dst any) error {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(dst)
}
