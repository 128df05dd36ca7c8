package lab

import (
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/leastoutstanding"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/registry"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/spindle"
)

// ReferenceName is the name of the central queue's row.
const ReferenceName = "central-queue"

// HedgeSuffix marks the rows of candidates that hedge requests.
const HedgeSuffix = "+hedge"

// Candidates returns all registered policies and the reference. Policies that use
// probes get a probe budget of probePercent of slot time. The spindle policy is
// also included without probes, and the spindle and least-outstanding policies
// also with hedging.
func Candidates(probePercent float64) []Candidate {
	var all []Candidate
	for _, name := range registry.Names() {
		builder, err := registry.Lookup(name)
		if err != nil {
			continue
		}
		candidate := Candidate{Name: name, Builder: builder}
		if usesProbes(builder) {
			candidate.ProbePercent = probePercent
			if name == spindle.Name {
				all = append(all, Candidate{Name: name + "-no-probes", Builder: builder})
			}
		}
		all = append(all, candidate)
	}
	return append(all,
		Candidate{Name: leastoutstanding.Name + HedgeSuffix, Builder: leastoutstanding.Builder{}, NewHost: NewFixedHedgingHost},
		Candidate{Name: spindle.Name + HedgeSuffix, Builder: spindle.Builder{}, NewHost: NewHedgingHost},
		Candidate{Name: ReferenceName},
	)
}

func usesProbes(b balancer.Builder) bool {
	_, ok := b.Build(balancer.Options{}).Update(nil).(balancer.Prober)
	return ok
}
