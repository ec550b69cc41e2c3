package ctl

import (
	"fmt"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
)

type explainPlacementCommand struct {
	*tool
	Host   string `long:"host" required:"yes" description:"host of the request"`
	Path   string `long:"path" default:"/" description:"path of the request"`
	Method string `long:"method" default:"GET" description:"method of the request"`
	Size   int64  `long:"size" default:"0" description:"size of the body in bytes; -1 if it is sent in chunks"`
	Team   string `long:"team" description:"team that sends the request"`
}

// Execute prints where the node would send a request, without sending it.
func (c *explainPlacementCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	if c.Size < -1 {
		return &usageError{"--size must be at least -1"}
	}
	node, ctx, cancel, err := c.nodeClient()
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := node.ExplainPlacement(ctx, &controlpb.ExplainPlacementRequest{
		Host: c.Host, Path: c.Path, Method: c.Method, BodyBytes: c.Size, Team: c.Team,
	})
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return c.printMessage(resp)
	}
	for _, s := range resp.Services {
		if err := c.printService(resp, s); err != nil {
			return err
		}
	}
	return nil
}

func (c *explainPlacementCommand) printService(resp *controlpb.ExplainPlacementResponse, s *controlpb.ServicePlacement) error {
	head := fmt.Sprintf("node %s, route %s, service %s, expected work %s", resp.Node, resp.Route, s.Service, formatMicros(s.ExpectedWorkMicros))
	if s.Refusal != "" {
		head += ", refused: " + s.Refusal
	}
	if _, err := fmt.Fprintln(c.opts.Stdout, sanitize(head)); err != nil {
		return err
	}
	rows := make([][]any, len(s.Candidates))
	for i, k := range s.Candidates {
		verdict, age := k.RuledOut, "none"
		if verdict == "" {
			verdict = "may be chosen"
		}
		if k.ReportAgeMillis >= 0 {
			age = (time.Duration(k.ReportAgeMillis) * time.Millisecond).String()
		}
		rows[i] = []any{k.Backend, verdict, k.Locality, k.Owner, formatMicros(k.ExpectedWaitMicros), formatMicros(k.ExpectedCompletionMicros), k.FreeSlots, k.InUse, k.Queued, age}
	}
	return c.printTable("BACKEND VERDICT LOCALITY OWNER WAIT COMPLETION FREE IN-USE QUEUED REPORT-AGE", rows)
}

// formatMicros formats an estimate; 0 means that there is none or that it is 0.
func formatMicros(us int64) string {
	return (time.Duration(us) * time.Microsecond).Round(time.Millisecond).String()
}
