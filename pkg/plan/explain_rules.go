package plan

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

func explainRules(before, after *config.Service) []string {
	var out []string
	for i := range after.Rules {
		r := &after.Rules[i]
		if j := ruleIndex(before, r.Name); j >= 0 {
			out = append(out, explainRule(&before.Rules[j], r)...)
			continue
		}
		out = append(out, fmt.Sprintf("rule %s is new: %s requests are %s and go to group %s", r.Name, selectText(r), r.Repeat, r.Group))
	}
	for i := range before.Rules {
		if r := &before.Rules[i]; ruleIndex(after, r.Name) < 0 {
			out = append(out, fmt.Sprintf("rule %s is removed: %s requests fall to a later rule, or are refused as no-route", r.Name, selectText(r)))
		}
	}
	if orderChanged(before, after) {
		out = append(out, "the rules are tried in another order: "+strings.Join(ruleNames(after), ", "))
	}
	return out
}

func explainRule(old, r *config.Rule) []string {
	var out []string
	if old.Repeat != r.Repeat {
		out = append(out, repeatText(r))
	}
	if old.Repeat == r.Repeat && old.Retry != r.Retry {
		out = append(out, retryText(r))
	}
	if selectText(old) != selectText(r) {
		out = append(out, fmt.Sprintf("rule %s applies to %s requests instead of %s", r.Name, selectText(r), selectText(old)))
	}
	if old.Group != r.Group {
		out = append(out, fmt.Sprintf("rule %s sends to group %s instead of %s", r.Name, r.Group, old.Group))
	}
	if old.Deadline != r.Deadline {
		out = append(out, fmt.Sprintf("rule %s answers within %s instead of %s when the caller sets no deadline", r.Name, r.Deadline.Std(), old.Deadline.Std()))
	}
	if old.Priority != r.Priority {
		out = append(out, fmt.Sprintf("rule %s has priority %s instead of %s when upstreams are short of slots", r.Name, r.Priority, old.Priority))
	}
	return out
}

func repeatText(r *config.Rule) string {
	if r.Repeat == config.NonRepeatable {
		return fmt.Sprintf("rule %s becomes non-repeatable: its retries and hedges end, and each request runs at most once", r.Name)
	}
	return fmt.Sprintf("rule %s becomes repeatable: a request may be sent up to %d times and may run more than once", r.Name, r.Retry.MaxAttempts)
}

func retryText(r *config.Rule) string {
	s := fmt.Sprintf("rule %s may send a request %d times, extra sends within %g%%", r.Name, r.Retry.MaxAttempts, r.Retry.BudgetPercent)
	if r.Retry.HedgeAfter > 0 {
		s += fmt.Sprintf(", a second one after %s without an answer", r.Retry.HedgeAfter.Std())
	}
	if r.Retry.Hedge == config.HedgeOff {
		s += ", no second one while the first is in flight"
	}
	return s
}

func selectText(r *config.Rule) string {
	methods := "all"
	if len(r.Methods) > 0 {
		methods = strings.Join(r.Methods, "/")
	}
	if r.PathPrefix == "" {
		return methods
	}
	return methods + " " + r.PathPrefix
}

// orderChanged reports whether the rules that exist in both documents are in a
// different order.
func orderChanged(before, after *config.Service) bool {
	common := func(names []string, other *config.Service) []string {
		return slices.DeleteFunc(names, func(n string) bool { return ruleIndex(other, n) < 0 })
	}
	return !slices.Equal(common(ruleNames(before), after), common(ruleNames(after), before))
}
