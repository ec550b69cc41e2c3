package ctl

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/state/policy"
)

type fileArg struct {
	File string `positional-arg-name:"FILE" description:"policy document in TOML"`
}

type checkCommand struct {
	*tool
	Args fileArg `positional-args:"yes" required:"yes"`
}

// Execute validates a policy document without a call to the platform.
func (c *checkCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	text, doc, err := c.readDocument(c.Args.File)
	if err != nil {
		return err
	}
	hash := policy.FormatHash(policy.Hash(text))
	if c.Output == "json" {
		c.printJSON(map[string]any{"service": doc.Service.Name, "hash": hash, "valid": true})
		return nil
	}
	fmt.Fprintf(c.opts.Stdout, "%s: valid policy of service %s, hash %s\n", c.Args.File, doc.Service.Name, hash)
	return nil
}

type applyCommand struct {
	*tool
	Base     *uint64 `long:"base" value-name:"EPOCH" description:"epoch that the document is based on, 0 for a new service; the default is the epoch in the platform"`
	Restore  bool    `long:"restore" description:"after the platform was restored from a backup: use an epoch above those in force on the nodes, which refuse lower ones"`
	Operator string  `long:"operator" env:"USER" default:"unknown" description:"name recorded with the policy"`
	Args     fileArg `positional-args:"yes" required:"yes"`
}

// Execute applies a policy document and prints the changed keys.
func (c *applyCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	text, doc, err := c.readDocument(c.Args.File)
	if err != nil {
		return err
	}
	client, err := c.platformClient()
	if err != nil {
		return err
	}
	// Applying a policy makes up to six platform calls and retries those without
	// a response.
	ctx, cancel := context.WithTimeout(context.Background(), 6*c.Timeout)
	defer cancel()
	old, _, err := policy.Read(ctx, client, doc.Service.Name)
	if err != nil {
		return err
	}
	base := old.Epoch
	if c.Base != nil {
		base = *c.Base
	}
	options := policy.ApplyOptions{Operator: c.Operator}
	if c.Restore {
		if options.AfterEpoch, err = c.highestInForce(doc.Service.Name); err != nil {
			return err
		}
	}
	env, err := policy.Apply(ctx, client, text, base, options)
	if err != nil {
		return err
	}
	// If the current rules reject the stored document, all keys are shown as new.
	before, _ := policy.Parse([]byte(old.Text))
	changes := policy.Diff(before, doc)
	if c.Output == "json" {
		c.printJSON(map[string]any{
			"service": doc.Service.Name, "epoch": env.Epoch, "hash": policy.FormatHash(policy.Hash(text)), "changes": changes,
		})
		return nil
	}
	fmt.Fprintf(c.opts.Stdout, "service %s: epoch %d accepted\n", doc.Service.Name, env.Epoch)
	for _, ch := range changes {
		fmt.Fprintf(c.opts.Stdout, "  %s: %s -> %s\n", ch.Key, cmp.Or(ch.Old, "(none)"), cmp.Or(ch.New, "(none)"))
	}
	return nil
}

// highestInForce returns the highest epoch of a service that is in force on any
// node. It prints a warning for each node that could not be asked, because that
// node refuses the new epoch if its own is higher.
func (c *applyCommand) highestInForce(service string) (uint64, error) {
	node, ctx, cancel, err := c.nodeClient()
	if err != nil {
		return 0, err
	}
	defer cancel()
	resp, err := node.PolicyStatus(ctx, &controlpb.PolicyStatusRequest{Service: service})
	if err != nil {
		return 0, err
	}
	var highest uint64
	for _, n := range resp.Nodes {
		if n.Error != "" {
			fmt.Fprintf(c.opts.Stderr, "warning: node %s could not be asked for its epoch: %s\n", sanitize(n.NodeId), sanitize(n.Error))
		}
		for _, p := range n.Policies {
			if p.Service == service {
				highest = max(highest, p.Epoch)
			}
		}
	}
	return highest, nil
}

type showCommand struct {
	*tool
	Args struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the accepted policy of a service. The text output is the
// document itself, preceded by comment lines, so that it can be edited and
// applied again.
func (c *showCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	client, err := c.platformClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	env, _, err := policy.Read(ctx, client, c.Args.Service)
	if err != nil {
		return err
	}
	if env.Epoch == 0 {
		return fmt.Errorf("service %s has no policy", c.Args.Service)
	}
	if c.Output == "json" {
		c.printJSON(env)
		return nil
	}
	fmt.Fprintf(c.opts.Stdout, "# epoch %d, applied by %s at %s\n%s",
		env.Epoch, sanitize(fmt.Sprintf("%q", env.Operator)), env.Time.UTC().Format(time.RFC3339), env.Text)
	return nil
}

type statusCommand struct {
	*tool
	Service string `long:"service" description:"show every node for this service"`
	Local   bool   `long:"local" description:"ask only the given node"`
}

// Execute prints the epochs in force. Without a service, it prints the number of
// nodes for each epoch, because the full table has a row for each node and service.
func (c *statusCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	node, ctx, cancel, err := c.nodeClient()
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := node.PolicyStatus(ctx, &controlpb.PolicyStatusRequest{Service: c.Service, Local: c.Local})
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return c.printMessage(resp)
	}
	var rows, problems [][]any
	type policyVersion struct {
		service, hash string
		epoch         uint64
	}
	counts := map[policyVersion]int{}
	for _, n := range resp.Nodes {
		if n.Error != "" {
			problems = append(problems, []any{n.NodeId, n.Error})
		} else if !n.Ready {
			problems = append(problems, []any{n.NodeId, "not ready"})
		}
		for _, p := range n.Policies {
			counts[policyVersion{p.Service, p.Hash, p.Epoch}]++
			if c.Service != "" {
				rows = append(rows, []any{n.NodeId, p.Service, p.Epoch, p.Hash, formatTime(p.InForceUnixMillis)})
			}
		}
	}
	heading := "NODE SERVICE EPOCH HASH SINCE"
	if c.Service == "" {
		heading = "SERVICE EPOCH HASH NODES"
		entries := slices.SortedFunc(maps.Keys(counts), func(a, b policyVersion) int {
			return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(b.epoch, a.epoch), cmp.Compare(a.hash, b.hash))
		})
		for _, e := range entries {
			rows = append(rows, []any{e.service, e.epoch, e.hash, counts[e]})
		}
	}
	if err := c.printTable(heading, rows); err != nil || len(problems) == 0 {
		return err
	}
	fmt.Fprintln(c.opts.Stdout)
	return c.printTable("NODE PROBLEM", problems)
}

func formatTime(millis int64) string {
	if millis == 0 {
		return ""
	}
	return time.UnixMilli(millis).UTC().Format("2006-01-02T15:04:05.000Z")
}
