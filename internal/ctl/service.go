package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
)

func (a *app) serviceCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "service", Aliases: []string{"services"}, Short: "List, describe and plan services"}
	needSubcommand(cmd)
	cmd.AddCommand(a.serviceList(), a.serviceDescribe(), a.servicePlan(), a.serviceDelete())
	return cmd
}

func (a *app) serviceList() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the services in force",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.call(cmd, func(ctx context.Context, c operatorv1.OperatorClient) error {
				resp, err := c.ListServices(ctx, &operatorv1.ListServicesRequest{})
				if err != nil {
					return err
				}
				return a.print(resp, func(w io.Writer) { serviceTable(w, resp) })
			})
		},
	}
}

func serviceTable(w io.Writer, resp *operatorv1.ListServicesResponse) {
	row(w, "SERVICE", "MATCH", "RULES", "GROUPS", "ACTIVE", "DRAINING", "VERSION")
	for _, s := range resp.GetServices() {
		row(w, s.GetName(), s.GetHost()+s.GetPathPrefix(), s.GetRules(), s.GetGroups(),
			s.GetUpstreamsActive(), s.GetUpstreamsDraining(), versionText(s.GetVersion()))
	}
}

// serviceDescription is a service in JSON and YAML output.
type serviceDescription struct {
	Key      string          `json:"key"`
	Version  string          `json:"version"`
	Document json.RawMessage `json:"document"`
}

func (a *app) serviceDescribe() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:   "describe NAME",
		Short: "Show a service's document in force and its version",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.call(cmd, func(ctx context.Context, c operatorv1.OperatorClient) error {
				resp, err := c.DescribeService(ctx, &operatorv1.DescribeServiceRequest{Name: args[0]})
				if err != nil {
					return err
				}
				return a.describe(resp, out)
			})
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "file to write the document to, for editing and planning (default not written)")
	return cmd
}

func (a *app) describe(resp *operatorv1.DescribeServiceResponse, out string) error {
	if out != "" {
		if err := os.WriteFile(out, resp.GetDocument(), outFileMode); err != nil {
			return errors.Wrap(err, "write document")
		}
	}
	view := serviceDescription{resp.GetKey(), versionText(resp.GetVersion()), rawJSON(resp.GetDocument())}
	return a.printValue(view, func(w io.Writer) {
		row(w, "key", view.Key)
		row(w, "version", view.Version)
		if out == "" {
			fmt.Fprintf(w, "\n%s", resp.GetDocument())
			return
		}
		row(w, "written", out)
	})
}

func (a *app) servicePlan() *cobra.Command {
	var (
		flags  planFlags
		create bool
	)
	cmd := &cobra.Command{
		Use:   "plan FILE",
		Short: "Plan creating or changing a service from a document, - for the standard input",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			document, err := a.readFile(args[0])
			if err != nil {
				return withCode(Usage, err)
			}
			return a.plan(cmd, &flags, func(ctx context.Context, c operatorv1.OperatorClient, opts *operatorv1.PlanOptions) (*operatorv1.Plan, error) {
				return c.PlanService(ctx, &operatorv1.PlanServiceRequest{Document: document, MustCreate: create, Options: opts})
			})
		},
	}
	flags.register(cmd)
	cmd.Flags().BoolVar(&create, "create", false, "fail if the service is already in force")
	return cmd
}

func (a *app) serviceDelete() *cobra.Command {
	var flags planFlags
	cmd := &cobra.Command{
		Use:   "delete NAME",
		Short: "Plan the deletion of a service",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.plan(cmd, &flags, func(ctx context.Context, c operatorv1.OperatorClient, opts *operatorv1.PlanOptions) (*operatorv1.Plan, error) {
				return c.PlanDelete(ctx, &operatorv1.PlanDeleteRequest{Service: args[0], Options: opts})
			})
		},
	}
	flags.register(cmd)
	return cmd
}
