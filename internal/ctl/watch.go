package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
)

// watchFlags are the flags that select events.
type watchFlags struct {
	filter operatorv1.Filter
	codes  string
	recent uint32
	count  int
}

func (a *app) watchCommand() *cobra.Command {
	flags := &watchFlags{}
	cmd := &cobra.Command{
		Use:   "watch",
		Short: "Show the decisions of the entry host as they happen, one line each",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := flags.parseCodes(); err != nil {
				return withCode(Usage, err)
			}
			return a.stream(cmd, func(ctx context.Context, c operatorv1.OperatorClient) error {
				return a.watch(ctx, c, flags)
			})
		},
	}
	fs := cmd.Flags()
	fs.StringVar(&flags.filter.Request, "request", "", "only this request id (default all)")
	fs.StringVar(&flags.filter.Service, "service", "", "only this service (default all)")
	fs.StringVar(&flags.filter.Rule, "rule", "", "only this rule (default all)")
	fs.StringVar(&flags.filter.Upstream, "upstream", "", "only this upstream (default all)")
	fs.StringVar(&flags.codes, "code", "", "only this event code or range, such as 4000-4999 (default all)")
	fs.StringVar(&flags.filter.MinLevel, "level", "debug", "lowest level: debug, info, warn or error")
	fs.Uint32Var(&flags.recent, "recent", 0, "number of past events to start with, 1000 at most")
	fs.IntVar(&flags.count, "count", 0, "exit after this number of events (default 0, never)")
	return cmd
}

func (f *watchFlags) parseCodes() error {
	if f.codes == "" {
		return nil
	}
	low, high, isRange := strings.Cut(f.codes, "-")
	if !isRange {
		high = low
	}
	first, err1 := strconv.ParseUint(low, 10, 16)
	last, err2 := strconv.ParseUint(high, 10, 16)
	if err1 != nil || err2 != nil || last < first {
		return errors.Newf("code: %q is not a code or a range such as 4000-4999", f.codes)
	}
	f.filter.MinCode, f.filter.MaxCode = uint32(first), uint32(last)
	return nil
}

func (a *app) watch(ctx context.Context, c operatorv1.OperatorClient, flags *watchFlags) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.Watch(ctx, &operatorv1.WatchRequest{Filter: &flags.filter, Recent: flags.recent})
	if err != nil {
		return err
	}
	var missed uint64
	for n := 0; flags.count == 0 || n < flags.count; n++ {
		resp, err := stream.Recv()
		if errors.Is(err, io.EOF) || status.Code(err) == codes.Canceled {
			return nil
		}
		if err != nil {
			return err
		}
		if resp.GetMissed() > missed {
			fmt.Fprintf(a.env.Stderr, "spindlectl: %d events missed so far: this watcher reads too slowly; narrow the filter\n", resp.GetMissed())
			missed = resp.GetMissed()
		}
		if err := a.printEvent(resp.GetEvent()); err != nil {
			return err
		}
	}
	return nil
}

// printEvent writes an event as one line of text or JSON, or as a YAML document.
func (a *app) printEvent(e *operatorv1.Event) error {
	if a.output != "table" {
		return a.printLine(e)
	}
	_, err := fmt.Fprintln(a.env.Stdout, eventLine(e, isTerminal(a.env.Stdout)))
	return err
}

func (a *app) printLine(m proto.Message) error {
	b, err := lineJSON.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode response")
	}
	if a.output == "yaml" {
		if _, err := io.WriteString(a.env.Stdout, "---\n"); err != nil {
			return err
		}
		return writeYAML(a.env.Stdout, b)
	}
	var line bytes.Buffer
	if err := json.Compact(&line, b); err != nil {
		return err
	}
	line.WriteByte('\n')
	_, err = line.WriteTo(a.env.Stdout)
	return err
}

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Show all decisions on one request, on every entry host it crossed",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.call(cmd, func(ctx context.Context, c operatorv1.OperatorClient) error {
				resp, err := c.Explain(ctx, &operatorv1.ExplainRequest{Request: args[0]})
				if err != nil {
					return err
				}
				return a.explain(args[0], resp)
			})
		},
	}
}

func (a *app) explain(request string, resp *operatorv1.ExplainResponse) error {
	err := a.print(resp, func(io.Writer) {
		for _, e := range resp.GetEvents() {
			fmt.Fprintln(a.env.Stdout, eventLine(e, isTerminal(a.env.Stdout)))
		}
	})
	if err != nil {
		return err
	}
	for _, h := range resp.GetUnasked() {
		fmt.Fprintf(a.env.Stderr, "spindlectl: %s could not be asked and may hold more: %s\n", h.GetHost(), h.GetReason())
	}
	if len(resp.GetEvents()) == 0 {
		return withCode(NotFound, errors.Newf("no event of request %q is kept on the %d entry hosts asked", request, resp.GetAsked()))
	}
	return nil
}
