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
	// Upstream is its id in that group.
	Upstream string
	// Address is "IP:port". The budget is that of the server behind it.
	Address string
	// Via is what the sender takes: Address, with the group's TLS settings if it
	// has any.
	Via string
	// Plan is its measuring budget.
	Plan probebudget.Plan
}

// target is a Target with the time of its newest report, which traffic
// goroutines set.
type target struct {
	Target
	ids      []string     // under which groups list it
	reported atomic.Int64 // ns since the Unix epoch; 0: never
	rest     backoff.State
}

// same reports whether o says the same of the server as t.
func (t *target) same(o *target) bool {
	return t.Target == o.Target && slices.Equal(t.ids, o.ids)
}

func (t *target) age(now time.Time) time.Duration {
	at := t.reported.Load()
	if at == 0 {
		return never
	}
	return now.Sub(time.Unix(0, at))
}

// never is the age of a report that never came.
const never = time.Duration(1<<63 - 1)

// merge returns one target per address. A server that several groups list, also
// under different ids, is measured once, by the strictest of their budgets.
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
