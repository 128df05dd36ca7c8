package prober

import (
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/probebudget"
)

// Target is an upstream that may be probed.
type Target struct {
	// Upstream is its id.
	Upstream string
	// Address is what the sender takes: "IP:port", with its TLS settings if there are.
	Address string
	// Plan is its measuring budget.
	Plan probebudget.Plan
}

// target is a Target with the time of its newest report, which traffic
// goroutines set.
type target struct {
	Target
	reported atomic.Int64 // ns since the Unix epoch; 0: never
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

// merge returns one target per upstream. An upstream that several groups list
// is measured once, by the strictest of their budgets.
func merge(targets []Target) map[string]Target {
	out := make(map[string]Target, len(targets))
	for _, t := range targets {
		if other, twice := out[t.Upstream]; twice {
			t.Plan = probebudget.Strictest(other.Plan, t.Plan)
		}
		out[t.Upstream] = t
	}
	return out
}
