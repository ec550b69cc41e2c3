// Package ctl implements the command-line tool wigeonctl. The commands that apply
// or show a policy use the platform. All others, except the check of a document,
// call the operator address of one node.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/jessevdk/go-flags"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// Exit statuses.
const (
	// ExitSuccess means that the command succeeded.
	ExitSuccess = 0
	// ExitFailure means that the command failed or was refused.
	ExitFailure = 1
	// ExitUsage means that the arguments or the policy document are invalid.
	ExitUsage = 2
)

// jsonIndent is the indentation of a level of JSON output.
const jsonIndent = "  "

// Options configures the output of the tool and its clients.
type Options struct {
	Stdout, Stderr io.Writer
	// NewPlatformClient returns the client for a platform URL. The default uses
	// HTTP.
	NewPlatformClient func(url string, timeout time.Duration) platform.Client
	// NewNodeClient returns the client for the operator URL of a node. The default
	// uses twirp over HTTP.
	NewNodeClient func(url string, timeout time.Duration) controlpb.Control
}

type globalOptions struct {
	Platform string        `long:"platform" env:"WIGEON_PLATFORM" value-name:"URL" description:"address of the platform"`
	Node     string        `long:"node" env:"WIGEON_NODE" value-name:"URL" description:"operator address of a node"`
	Token    string        `long:"token" env:"WIGEON_TOKEN" value-name:"SECRET" description:"operator token of the node; the variable keeps it out of the process list"`
	Output   string        `long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"time limit of one call"`
}

type tool struct {
	// Each command embeds the tool. The tag keeps the parser from adding the
	// global options to the command.
	globalOptions `no-flag:"yes"`
	opts          Options
}

// usageError reports invalid arguments.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

// Run runs one command and returns the exit status.
func Run(args []string, o Options) int {
	if o.NewPlatformClient == nil {
		o.NewPlatformClient = func(url string, timeout time.Duration) platform.Client {
			return platform.NewHTTP(platform.Options{URL: url, Timeout: timeout})
		}
	}
	t := &tool{opts: o}
	if o.NewNodeClient == nil {
		t.opts.NewNodeClient = func(url string, timeout time.Duration) controlpb.Control {
			client := &http.Client{Timeout: timeout}
			if t.Token != "" {
				client.Transport = bearerTransport{token: t.Token, next: http.DefaultTransport}
			}
			return controlpb.NewControlProtobufClient(url, client)
		}
	}
	parser := flags.NewNamedParser("wigeonctl", flags.HelpFlag|flags.PassDoubleDash)
	must(parser.AddGroup("Global options", "", &t.globalOptions))
	policies := must(parser.AddCommand("policy", "check, apply and show routing policies", "", &struct{}{}))
	must(policies.AddCommand("check", "check a policy document", "", &checkCommand{tool: t}))
	must(policies.AddCommand("apply", "apply a policy document", "", &applyCommand{tool: t}))
	must(policies.AddCommand("show", "show the accepted policy of a service", "", &showCommand{tool: t}))
	must(policies.AddCommand("status", "show the epochs in force on the nodes", "", &statusCommand{tool: t}))
	must(parser.AddCommand("nodes", "list the nodes", "", &nodesCommand{tool: t}))
	must(parser.AddCommand("backends", "list the backend servers", "", &backendsCommand{tool: t}))
	must(parser.AddCommand("explain-placement", "show where a request would go now", "", &explainPlacementCommand{tool: t}))
	must(parser.AddCommand("explain", "show recent decisions", "", &explainCommand{tool: t}))
	must(parser.AddCommand("drain", "drain a backend server or a node", "", &drainCommand{tool: t}))

	_, err := parser.ParseArgs(args)
	if err == nil {
		return ExitSuccess
	}
	if flags.WroteHelp(err) {
		fmt.Fprintln(o.Stdout, err)
		return ExitSuccess
	}
	return t.reportError(err)
}

// bearerTransport adds the operator token to each request. The twirp client does
// not follow redirects, so the token is sent only to the given node.
type bearerTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return b.next.RoundTrip(r)
}

// must panics on an invalid command definition, which is a bug in this package.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// errorOutput is the JSON form of an error.
type errorOutput struct {
	Error    string          `json:"error"`
	Kind     string          `json:"kind"`
	Problems policy.Problems `json:"problems,omitempty"`
	// Epoch and Operator identify the stored policy after a conflict.
	Epoch    uint64 `json:"epoch,omitempty"`
	Operator string `json:"operator,omitempty"`
}

// reportError prints an error and returns the exit status for it.
func (t *tool) reportError(err error) int {
	var (
		out      = errorOutput{Error: err.Error(), Kind: "failed"}
		status   = ExitFailure
		usage    *usageError
		flagsErr *flags.Error
		conflict *policy.ConflictError
		claim    *policy.ClaimError
		unknown  *policy.UnknownOutcomeError
		twerr    twirp.Error
	)
	switch {
	case errors.As(err, &usage), errors.As(err, &flagsErr):
		out.Kind, status = "usage", ExitUsage
	case errors.As(err, &out.Problems):
		out.Kind, out.Error, status = "invalid", "invalid policy document", ExitUsage
	case errors.As(err, &conflict):
		out.Kind, out.Epoch, out.Operator = "conflict", conflict.Epoch, conflict.Operator
	case errors.As(err, &claim):
		out.Kind = "host_claimed"
	case errors.As(err, &unknown):
		out.Kind = "unknown"
	case errors.Is(err, platform.ErrUnavailable):
		out.Kind = "unavailable"
	case errors.As(err, &twerr):
		out.Kind, out.Error = string(twerr.Code()), "node: "+twerr.Msg()
	}
	if t.Output == "json" {
		t.printJSON(out)
		return status
	}
	fmt.Fprintln(t.opts.Stderr, "wigeonctl:", sanitize(out.Error))
	for _, p := range out.Problems {
		fmt.Fprintln(t.opts.Stderr, sanitize(p.String()))
	}
	return status
}

func (t *tool) printJSON(v any) {
	e := json.NewEncoder(t.opts.Stdout)
	e.SetIndent("", jsonIndent)
	// Encoding cannot fail, and an error of standard output cannot be reported.
	_ = e.Encode(v)
}

// printMessage prints the response of a node as JSON.
func (t *tool) printMessage(m proto.Message) error {
	text, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	text, err = indent(text)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(t.opts.Stdout, string(text))
	return err
}

// indent replaces the white space of a JSON value, which protojson chooses anew for each
// build, by that of printJSON.
func indent(text []byte) ([]byte, error) {
	var out bytes.Buffer
	err := json.Indent(&out, text, "", jsonIndent)
	return out.Bytes(), err
}

// printTable prints rows in columns under a heading. Words in the heading are
// separated by spaces, one for each column.
func (t *tool) printTable(heading string, rows [][]any) error {
	w := tabwriter.NewWriter(t.opts.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(heading, " ", "\t"))
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, c := range row {
			cells[i] = sanitize(fmt.Sprint(c))
			if cells[i] == "" {
				cells[i] = "-"
			}
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

// sanitize replaces control characters, because names and reasons come from other
// processes and must not send escape sequences to the operator's terminal.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) && r != '\n' {
			return unicode.ReplacementChar
		}
		return r
	}, s)
}

func (t *tool) platformClient() (platform.Client, error) {
	if t.globalOptions.Platform == "" {
		return nil, &usageError{"this command needs --platform or WIGEON_PLATFORM"}
	}
	return t.opts.NewPlatformClient(t.globalOptions.Platform, t.Timeout), nil
}

func (t *tool) nodeClient() (controlpb.Control, context.Context, context.CancelFunc, error) {
	if t.Node == "" {
		return nil, nil, nil, &usageError{"this command needs --node or WIGEON_NODE"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), t.Timeout)
	return t.opts.NewNodeClient(t.Node, t.Timeout), ctx, cancel, nil
}

func (t *tool) readDocument(file string) ([]byte, *policy.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	doc, problems := policy.Parse(text)
	if len(problems) > 0 {
		return nil, nil, problems
	}
	return text, doc, nil
}

func rejectArgs(args []string) error {
	if len(args) > 0 {
		return &usageError{"unexpected argument " + args[0]}
	}
	return nil
}
