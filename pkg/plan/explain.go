package plan

import (
	"fmt"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// explain describes how the change from before to after affects requests.
func explain(before, after *config.Service) []string {
	switch {
	case before == nil && after == nil:
		return nil
	case before == nil:
		return []string{fmt.Sprintf("service %s is created: requests for %s are routed to it", after.Name, matchText(after.Match))}
	case after == nil:
		return []string{fmt.Sprintf("service %s is deleted: requests for %s that match no other service are refused as no-route", before.Name, matchText(before.Match))}
	}
	var out []string
	if before.Match != after.Match {
		out = append(out, fmt.Sprintf("the service takes requests for %s, no longer for %s", matchText(after.Match), matchText(before.Match)))
	}
	out = append(out, explainGroups(before, after)...)
	return append(out, explainRules(before, after)...)
}

func matchText(m config.Match) string {
	if m.Host == "" {
		return m.PathPrefix + " on any host"
	}
	return m.PathPrefix + " on host " + m.Host
}

func explainGroups(before, after *config.Service) []string {
	var out []string
	for i := range after.Groups {
		g := &after.Groups[i]
		if j := groupIndex(before, g.Name); j >= 0 {
			out = append(out, explainGroup(&before.Groups[j], g)...)
			continue
		}
		out = append(out, fmt.Sprintf("group %s is new, with %d upstreams", g.Name, len(g.Upstreams)))
	}
	for i := range before.Groups {
		if groupIndex(after, before.Groups[i].Name) < 0 {
			out = append(out, fmt.Sprintf("group %s is removed: its upstreams take no new requests; those in flight finish", before.Groups[i].Name))
		}
	}
	return out
}

func explainGroup(old, g *config.Group) []string {
	var out []string
	if old.Policy != g.Policy {
		out = append(out, fmt.Sprintf("group %s chooses by policy %s instead of %s; what was learnt of its upstreams starts afresh", g.Name, g.Policy, old.Policy))
	}
	if old.Probe != g.Probe {
		out = append(out, fmt.Sprintf("group %s: probes may take %g%% of an upstream's slot time over the fleet, instead of %g%%", g.Name, g.Probe.SlotTimePercent, old.Probe.SlotTimePercent))
	}
	if old.TLS != g.TLS {
		out = append(out, tlsText(g))
	}
	if old.Queue != g.Queue {
		out = append(out, fmt.Sprintf("group %s: %d requests may wait on each entry host, instead of %d; more are refused as overloaded", g.Name, g.Queue.MaxWaiting, old.Queue.MaxWaiting))
	}
	if old.SlowStart != g.SlowStart {
		out = append(out, fmt.Sprintf("group %s: a new upstream reaches its full share after %s", g.Name, g.SlowStart.Std()))
	}
	return append(out, explainUpstreams(old, g)...)
}

// tlsText describes the group's TLS configuration after the change.
func tlsText(g *config.Group) string {
	switch {
	case !g.TLS.Enabled:
		return fmt.Sprintf("group %s: its upstreams are reached in the clear, without TLS", g.Name)
	case g.TLS.ServerName != "":
		return fmt.Sprintf("group %s: its upstreams are reached by TLS and must show a certificate for %s; entry hosts without --upstream-tls-ca refuse its requests", g.Name, g.TLS.ServerName)
	default:
		return fmt.Sprintf("group %s: its upstreams are reached by TLS; entry hosts without --upstream-tls-ca refuse its requests", g.Name)
	}
}

func explainUpstreams(old, g *config.Group) []string {
	var out []string
	byID := upstreamsByID(old)
	for i := range g.Upstreams {
		u := &g.Upstreams[i]
		if o := byID[u.ID]; o != nil {
			out = append(out, explainUpstream(o, u)...)
			continue
		}
		out = append(out, fmt.Sprintf("upstream %s joins group %s at %s", u.ID, g.Name, u.Address))
	}
	kept := upstreamsByID(g)
	for i := range old.Upstreams {
		if u := &old.Upstreams[i]; kept[u.ID] == nil {
			out = append(out, fmt.Sprintf("upstream %s leaves group %s: it takes no new requests; those in flight finish", u.ID, g.Name))
		}
	}
	return out
}

func explainUpstream(old, u *config.Upstream) []string {
	var out []string
	if old.State != u.State {
		out = append(out, stateText(u))
	}
	if old.Address != u.Address {
		out = append(out, fmt.Sprintf("upstream %s is reached at %s instead of %s", u.ID, u.Address, old.Address))
	}
	if old.Slots != u.Slots {
		out = append(out, fmt.Sprintf("upstream %s is taken to serve %d requests at once instead of %d", u.ID, u.Slots, old.Slots))
	}
	if old.MaxConnections != u.MaxConnections {
		out = append(out, fmt.Sprintf("upstream %s gets at most %d connections over all entry hosts instead of %d", u.ID, u.MaxConnections, old.MaxConnections))
	}
	if old.FailureDomain != u.FailureDomain {
		out = append(out, fmt.Sprintf("upstream %s counts to failure domain %s instead of %s", u.ID, u.FailureDomain, old.FailureDomain))
	}
	return out
}

func stateText(u *config.Upstream) string {
	if u.State == config.Draining {
		return fmt.Sprintf("upstream %s takes no new requests; those in flight finish", u.ID)
	}
	return fmt.Sprintf("upstream %s takes new requests again", u.ID)
}

func upstreamsByID(g *config.Group) map[string]*config.Upstream {
	byID := make(map[string]*config.Upstream, len(g.Upstreams))
	for i := range g.Upstreams {
		byID[g.Upstreams[i].ID] = &g.Upstreams[i]
	}
	return byID
}
