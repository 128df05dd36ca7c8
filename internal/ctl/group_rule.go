package ctl

import (
	"context"

	"github.com/spf13/cobra"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
)

func (a *app) groupCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "group", Short: "Plan groups of upstreams"}
	needSubcommand(cmd)
	cmd.AddCommand(a.groupPlan(), a.groupDelete())
	return cmd
}

func (a *app) groupPlan() *cobra.Command {
	var flags planFlags
	cmd := &cobra.Command{
		Use:   "plan SERVICE FILE",
		Short: "Plan adding or replacing a group from a JSON file",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			group, err := a.readFile(args[1])
			if err != nil {
				return withCode(Usage, err)
			}
			return a.planGroup(cmd, &flags, &operatorv1.PlanGroupRequest{
				Service: args[0], Change: &operatorv1.PlanGroupRequest_Put{Put: group},
			})
		},
	}
	flags.register(cmd)
	return cmd
}

func (a *app) groupDelete() *cobra.Command {
	var flags planFlags
	cmd := &cobra.Command{
		Use:   "delete SERVICE GROUP",
		Short: "Plan the deletion of a group that no rule refers to",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.planGroup(cmd, &flags, &operatorv1.PlanGroupRequest{
				Service: args[0], Change: &operatorv1.PlanGroupRequest_Delete{Delete: args[1]},
			})
		},
	}
	flags.register(cmd)
	return cmd
}

func (a *app) planGroup(cmd *cobra.Command, flags *planFlags, req *operatorv1.PlanGroupRequest) error {
	return a.plan(cmd, flags, func(ctx context.Context, c operatorv1.OperatorClient, opts *operatorv1.PlanOptions) (*operatorv1.Plan, error) {
		req.Options = opts
		return c.PlanGroup(ctx, req)
	})
}

func (a *app) ruleCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "rule", Short: "Plan rules"}
	needSubcommand(cmd)
	cmd.AddCommand(a.rulePlan(), a.ruleDelete())
	return cmd
}

func (a *app) rulePlan() *cobra.Command {
	var (
		flags  planFlags
		before string
	)
	cmd := &cobra.Command{
		Use:   "plan SERVICE FILE",
		Short: "Plan adding, replacing or moving a rule from a JSON file",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			rule, err := a.readFile(args[1])
			if err != nil {
				return withCode(Usage, err)
			}
			return a.planRule(cmd, &flags, &operatorv1.PlanRuleRequest{
				Service: args[0], Before: before, Change: &operatorv1.PlanRuleRequest_Put{Put: rule},
			})
		},
	}
	flags.register(cmd)
	cmd.Flags().StringVar(&before, "before", "", "rule to place this rule in front of (default keep its position, or append it)")
	return cmd
}

func (a *app) ruleDelete() *cobra.Command {
	var flags planFlags
	cmd := &cobra.Command{
		Use:   "delete SERVICE RULE",
		Short: "Plan the deletion of a rule",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.planRule(cmd, &flags, &operatorv1.PlanRuleRequest{
				Service: args[0], Change: &operatorv1.PlanRuleRequest_Delete{Delete: args[1]},
			})
		},
	}
	flags.register(cmd)
	return cmd
}

func (a *app) planRule(cmd *cobra.Command, flags *planFlags, req *operatorv1.PlanRuleRequest) error {
	return a.plan(cmd, flags, func(ctx context.Context, c operatorv1.OperatorClient, opts *operatorv1.PlanOptions) (*operatorv1.Plan, error) {
		req.Options = opts
		return c.PlanRule(ctx, req)
	})
}
