package lab

import (
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/leastoutstanding"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/registry"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/spindle"
)

// ReferenceName is the row of the central queue.
const ReferenceName = "central-queue"

// HedgeSuffix marks the rows of a host that hedges.
const HedgeSuffix = "+hedge"

// Contenders returns every policy of the tree and the reference. The policies
// that ask for probes get the budget in percent of slot time; the product's
// own also runs without probes.
func Contenders(probePercent float64) []Contender {
	var all []Contender
	for _, name := range registry.Names() {
		b, err := registry.Lookup(name)
		if err != nil {
			continue
		}
		c := Contender{Name: name, Builder: b}
		if isProber(b) {
			c.ProbePercent = probePercent
			if name == spindle.Name {
				all = append(all, Contender{Name: name + "-no-probes", Builder: b})
			}
		}
		all = append(all, c)
	}
	return append(all,
		Contender{Name: leastoutstanding.Name + HedgeSuffix, Builder: leastoutstanding.Builder{}, NewHost: NewFixedHedgingHost},
		Contender{Name: spindle.Name + HedgeSuffix, Builder: spindle.Builder{}, NewHost: NewHedgingHost},
		Contender{Name: ReferenceName},
	)
}

func isProber(b balancer.Builder) bool {
	_, ok := b.Build(balancer.Options{}).Update(nil).(balancer.Prober)
	return ok
}
