package prober

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/backoff"
	"github.com/dapplespindle/dapplespindle/pkg/probebudget"
)

// Target is an upstream that may be probed, as one group lists it.
type Target struct {
	// Upstream is its ID in that group.
	Upstream string
	// Address is "IP:port". The budget applies to the server at this address.
	Address string
	// Via is the address argument for the sender: Address with the group's TLS
	// settings, if any.
	Via string
	// Plan is its probe budget.
	Plan probebudget.Plan
}

// target is a Target with the time of its newest report, which the goroutines
// that serve requests set.
type target struct {
	Target
	ids      []string     // IDs under which groups list it
	reported atomic.Int64 // ns since the Unix epoch; 0 if never
	rest     backoff.State
}

// equal reports whether t and o have the same configuration.
func (t *target) equal(o *target) bool {
	return t.Target == o.Target && slices.Equal(t.ids, o.ids)
}

func (t *target) age(now time.Time) time.Duration {
	at := t.reported.Load()
	if at == 0 {
		return never
	}
	return now.Sub(time.Unix(0, at))
}

// never is the age if there has been no report.
const never = time.Duration(1<<63 - 1)

// merge returns one target per address. A server that several groups list, even under
// different IDs, is probed within the strictest of their budgets.
func merge(targets []Target) map[string]*target {
	out := make(map[string]*target, len(targets))
	for _, t := range targets {
		known := out[t.Address]
		if known == nil {
			out[t.Address] = &target{Target: t, ids: []string{t.Upstream}}
			continue
		}
		known.Plan = probebudget.Strictest(known.Plan, t.Plan)
		if !slices.Contains(known.ids, t.Upstream) {
			known.ids = append(known.ids, t.Upstream)
		}
	}
	return out
}
