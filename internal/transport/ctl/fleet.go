package ctl

import (
	"fmt"
	"strings"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
)

type nodesCommand struct{ *tool }

// Execute lists the nodes in the membership view of the given node.
func (c *nodesCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	node, ctx, cancel, err := c.nodeClient()
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := node.Nodes(ctx, &controlpb.NodesRequest{})
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return c.printMessage(resp)
	}
	rows := make([][]any, len(resp.Nodes))
	for i, n := range resp.Nodes {
		rows[i] = []any{n.Id, n.Status, n.FailureDomain, n.Region, n.PeerAddress, n.OperatorAddress, n.Backends, n.Incarnation}
	}
	return c.printTable("NODE STATUS DOMAIN REGION PEER OPERATOR BACKENDS INCARNATION", rows)
}

type backendsCommand struct {
	*tool
	Service string `long:"service" description:"only the backend servers of this service"`
}

// Execute lists the backend servers in the directory of the given node.
func (c *backendsCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	node, ctx, cancel, err := c.nodeClient()
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := node.Backends(ctx, &controlpb.BackendsRequest{Service: c.Service})
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return c.printMessage(resp)
	}
	rows := make([][]any, len(resp.Backends))
	for i, b := range resp.Backends {
		rows[i] = []any{b.Id, b.Service, b.State, b.Weight, b.Slots, b.Owner, b.OwnerStatus, b.FailureDomain, b.Region}
	}
	return c.printTable("BACKEND SERVICE STATE WEIGHT SLOTS OWNER OWNER-STATUS DOMAIN REGION", rows)
}

type explainCommand struct {
	*tool
	Service string `long:"service" description:"decisions about this service"`
	Backend string `long:"backend" description:"decisions about this backend server"`
	Request string `long:"request" description:"decisions about this request id"`
	Limit   int32  `long:"limit" default:"50" description:"number of decisions, the newest first"`
}

// Execute prints recent decisions with their evidence.
func (c *explainCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	if c.Limit < 1 {
		return &usageError{"--limit must be at least 1"}
	}
	node, ctx, cancel, err := c.nodeClient()
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := node.Explain(ctx, &controlpb.ExplainRequest{Service: c.Service, Backend: c.Backend, RequestId: c.Request, Limit: c.Limit})
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return c.printMessage(resp)
	}
	rows := make([][]any, len(resp.Events))
	for i, e := range resp.Events {
		evidence := make([]string, len(e.Evidence))
		for j, f := range e.Evidence {
			evidence[j] = f.Key + "=" + f.Value
		}
		at := time.Unix(0, e.UnixNanos).UTC().Format("2006-01-02T15:04:05.000Z")
		rows[i] = []any{at, e.Kind, e.Node, e.Service, e.Backend, e.RequestId, e.Reason, strings.Join(evidence, " ")}
	}
	return c.printTable("TIME DECISION NODE SERVICE BACKEND REQUEST REASON EVIDENCE", rows)
}

type drainCommand struct {
	*tool
	ThisNode bool `long:"this-node" description:"drain the node given by --node"`
	Args     struct {
		Backend string `positional-arg-name:"BACKEND" description:"backend server to drain"`
	} `positional-args:"yes"`
}

// Execute starts to drain a backend server or the node. Draining the node requires
// an explicit option, because a forgotten argument must not stop a node.
func (c *drainCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	if (c.Args.Backend == "") != c.ThisNode {
		return &usageError{"drain needs either BACKEND or --this-node"}
	}
	node, ctx, cancel, err := c.nodeClient()
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := node.Drain(ctx, &controlpb.DrainRequest{Backend: c.Args.Backend})
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return c.printMessage(resp)
	}
	_, err = fmt.Fprintln(c.opts.Stdout, sanitize(resp.State))
	return err
}
