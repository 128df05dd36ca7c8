package prober

import (
	"time"

	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/probebudget"
)

// Targets returns the upstreams of the current documents with their probe budgets,
// without those that are draining. maxHosts and maxLateness are settings of the fleet; see
// docs/MEASURING.md.
func Targets(services []*config.Service, maxHosts int, maxLateness time.Duration) []Target {
	var out []Target
	for _, svc := range services {
		for g := range svc.Groups {
			out = append(out, groupTargets(&svc.Groups[g], maxHosts, maxLateness)...)
		}
	}
	return out
}

func groupTargets(g *config.Group, maxHosts int, maxLateness time.Duration) []Target {
	var out []Target
	for i := range g.Upstreams {
		u := &g.Upstreams[i]
		if u.State == config.Draining {
			continue
		}
		out = append(out, Target{
			Upstream: u.ID,
			Address:  u.Address,
			Via:      upstream.Target(u.Address, g.TLS),
			Plan: probebudget.Plan{
				MaxHosts:        maxHosts,
				Slots:           u.Slots,
				SlotTimePercent: g.Probe.SlotTimePercent,
				Cost:            g.Probe.Cost.Std(),
				MaxLateness:     maxLateness,
			},
		})
	}
	return out
}
