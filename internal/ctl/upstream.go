package ctl

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
)

func (a *app) upstreamCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "upstream", Aliases: []string{"upstreams"}, Short: "List upstreams; plan draining or replacing them"}
	needSubcommand(cmd)
	cmd.AddCommand(a.upstreamList(), a.upstreamSet())
	cmd.AddCommand(a.upstreamDrain("drain", "Plan draining an upstream, so that it gets no new requests", false))
	cmd.AddCommand(a.upstreamDrain("undrain", "Plan returning a draining upstream to service", true))
	return cmd
}

func (a *app) upstreamList() *cobra.Command {
	return &cobra.Command{
		Use:   "list [SERVICE]",
		Short: "List the upstreams as the entry host sees them",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			req := &operatorv1.UpstreamsRequest{}
			if len(args) > 0 {
				req.Service = args[0]
			}
			return a.call(cmd, func(ctx context.Context, c operatorv1.OperatorClient) error {
				resp, err := c.Upstreams(ctx, req)
				if err != nil {
					return err
				}
				return a.print(resp, func(w io.Writer) { upstreamTable(w, resp) })
			})
		},
	}
}

func upstreamTable(w io.Writer, resp *operatorv1.UpstreamsResponse) {
	row(w, "SERVICE", "GROUP", "UPSTREAM", "ADDRESS", "DOMAIN", "STATE", "CONDITION", "SLOTS", "IN FLIGHT", "CONNECTIONS")
	for _, u := range resp.GetUpstreams() {
		row(w, u.GetService(), u.GetGroup(), u.GetId(), u.GetAddress(), u.GetFailureDomain(), u.GetState(),
			orDash(u.GetCondition()), u.GetSlots(), u.GetOutstanding(), u.GetConnections())
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (a *app) upstreamDrain(use, short string, undrain bool) *cobra.Command {
	var flags planFlags
	cmd := &cobra.Command{
		Use:   use + " SERVICE UPSTREAM",
		Short: short,
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.plan(cmd, &flags, func(ctx context.Context, c operatorv1.OperatorClient, opts *operatorv1.PlanOptions) (*operatorv1.Plan, error) {
				return c.PlanDrain(ctx, &operatorv1.PlanDrainRequest{Service: args[0], Upstream: args[1], Undrain: undrain, Options: opts})
			})
		},
	}
	flags.register(cmd)
	return cmd
}

func (a *app) upstreamSet() *cobra.Command {
	var flags planFlags
	cmd := &cobra.Command{
		Use:   "set SERVICE GROUP FILE",
		Short: "Plan replacing the upstreams of a group from a file with a JSON list",
		Args:  cobra.ExactArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			upstreams, err := a.readFile(args[2])
			if err != nil {
				return withCode(Usage, err)
			}
			return a.plan(cmd, &flags, func(ctx context.Context, c operatorv1.OperatorClient, opts *operatorv1.PlanOptions) (*operatorv1.Plan, error) {
				return c.PlanUpstreams(ctx, &operatorv1.PlanUpstreamsRequest{Service: args[0], Group: args[1], Upstreams: upstreams, Options: opts})
			})
		},
	}
	flags.register(cmd)
	return cmd
}
