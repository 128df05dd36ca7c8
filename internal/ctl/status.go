package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/pkg/config"
)

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show every entry host, including those that can't be reached",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.call(cmd, func(ctx context.Context, c operatorv1.OperatorClient) error {
				resp, err := c.Status(ctx, &operatorv1.StatusRequest{})
				if err != nil {
					return err
				}
				return a.print(resp, func(w io.Writer) { statusTable(w, resp) })
			})
		},
	}
}

func statusTable(w io.Writer, resp *operatorv1.StatusResponse) {
	row(w, "HOST", "DOMAIN", "STATE", "REVISION", "DIGEST", "INCARNATION", "SEES", "IN FLIGHT", "BUILD", "EVENTS DROPPED")
	for _, h := range resp.GetHosts() {
		if h.GetUnreachable() != "" {
			row(w, h.GetHost(), h.GetFailureDomain(), h.GetState(), h.GetRevision(), digestText(h.GetDigest()), h.GetIncarnation(),
				"can't be asked: "+h.GetUnreachable())
			continue
		}
		row(w, h.GetHost(), h.GetFailureDomain(), h.GetState(), h.GetRevision(), digestText(h.GetDigest()), h.GetIncarnation(),
			h.GetMembersSeen(), h.GetInFlight(), h.GetBuild(), droppedText(h.GetEvents()))
	}
}

// droppedText formats the numbers of dropped events by cause.
func droppedText(st *operatorv1.EventStats) string {
	return fmt.Sprintf("%d sampled, %d busy, %d slow watchers", st.GetSampledOut(), st.GetDroppedBusy(), st.GetDroppedWatchers())
}

func (a *app) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-config FILE",
		Short: "Check a service document without calling an entry host, - for the standard input",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			b, err := a.readFile(args[0])
			if err != nil {
				return withCode(Usage, err)
			}
			s, err := config.Parse(b)
			if err != nil {
				return withCode(InvalidDocument, err)
			}
			_, err = fmt.Fprintf(a.env.Stdout, "%s: service %s is valid: %d groups, %d rules\n", args[0], s.Name, len(s.Groups), len(s.Rules))
			return err
		},
	}
}
