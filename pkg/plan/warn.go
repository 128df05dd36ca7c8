package plan

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// warn returns warnings about effects of the change that are probably not intended.
func warn(state *State, before, after *config.Service) []string {
	if after == nil {
		return warnDelete(state, before)
	}
	out := warnSameMatch(state, after)
	for i := range after.Groups {
		out = append(out, warnGroup(before, &after.Groups[i])...)
	}
	out = append(out, warnRepeat(before, after)...)
	return append(out, warnShadowed(after)...)
}

func warnDelete(state *State, before *config.Service) []string {
	for i := range state.Documents {
		s := state.Documents[i].Service
		if before == nil || s.Name == before.Name {
			continue
		}
		if (s.Match.Host == "" || s.Match.Host == before.Match.Host) && strings.HasPrefix(before.Match.PathPrefix, s.Match.PathPrefix) {
			return []string{fmt.Sprintf("service %s matches these requests too and takes them over", s.Name)}
		}
	}
	return nil
}

// warnSameMatch warns about services with the same match. As in routing.Compile, the
// name that sorts first wins.
func warnSameMatch(state *State, after *config.Service) []string {
	var out []string
	for i := range state.Documents {
		other := state.Documents[i].Service
		if other.Name == after.Name || !strings.EqualFold(other.Match.Host, after.Match.Host) || other.Match.PathPrefix != after.Match.PathPrefix {
			continue
		}
		winner := min(other.Name, after.Name)
		out = append(out, fmt.Sprintf("service %s claims the same match, %s; %s wins, as its name sorts first", other.Name, matchText(after.Match), winner))
	}
	return out
}

func warnGroup(before *config.Service, g *config.Group) []string {
	if len(g.Upstreams) == 0 {
		return []string{fmt.Sprintf("group %s is empty: its requests are refused as no-upstream", g.Name)}
	}
	active := activeCount(g)
	if active == 0 {
		return []string{fmt.Sprintf("group %s has no active upstream left: its requests are refused as no-upstream", g.Name)}
	}
	if before == nil {
		return nil
	}
	i := groupIndex(before, g.Name)
	if i < 0 {
		return nil
	}
	if was := activeCount(&before.Groups[i]); active*2 < was {
		return []string{fmt.Sprintf("group %s falls from %d active upstreams to %d in one step", g.Name, was, active)}
	}
	return nil
}

func activeCount(g *config.Group) int {
	n := 0
	for i := range g.Upstreams {
		if g.Upstreams[i].State == config.Active {
			n++
		}
	}
	return n
}

// warnRepeat warns about rules whose requests may now be executed more than once.
func warnRepeat(before, after *config.Service) []string {
	if before == nil {
		return nil
	}
	var out []string
	for i := range after.Rules {
		r := &after.Rules[i]
		j := ruleIndex(before, r.Name)
		if j >= 0 && before.Rules[j].Repeat == config.NonRepeatable && r.Repeat == config.Repeatable {
			out = append(out, fmt.Sprintf("rule %s was non-repeatable: make sure that running it twice does no harm", r.Name))
		}
	}
	return out
}

// warnShadowed warns about rules that an earlier rule shadows.
func warnShadowed(s *config.Service) []string {
	var out []string
	for i := range s.Rules {
		for j := range i {
			if covers(&s.Rules[j], &s.Rules[i]) {
				out = append(out, fmt.Sprintf("rule %s never applies: rule %s comes first and matches all of its requests", s.Rules[i].Name, s.Rules[j].Name))
				break
			}
		}
	}
	return out
}

// covers reports whether a matches every request that b matches.
func covers(a, b *config.Rule) bool {
	if !strings.HasPrefix(b.PathPrefix, a.PathPrefix) {
		return false
	}
	if len(a.Methods) == 0 {
		return true
	}
	missing := func(m string) bool { return !slices.Contains(a.Methods, m) }
	return len(b.Methods) > 0 && !slices.ContainsFunc(b.Methods, missing)
}
