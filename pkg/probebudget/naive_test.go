package probebudget

import "time"

// spender is the implementation under test: Budget, or a variant that looks reasonable but
// exceeds the budget.
type spender interface {
	take(now time.Time, live int) bool
	settle(now time.Time, o Outcome)
}

// bucket is a token bucket for probes, refilled by the time between calls.
type bucket struct {
	plan      Plan
	level     float64
	depth     float64
	last      time.Time
	shareLive bool // the share is the budget divided by the number of live hosts
}

func (b *bucket) take(now time.Time, live int) bool {
	hosts := b.plan.MaxHosts
	if b.shareLive {
		hosts = live
	}
	perProbe := b.plan.spacing() * time.Duration(hosts) / time.Duration(b.plan.MaxHosts)
	b.level = min(b.depth, b.level+float64(now.Sub(b.last))/float64(perProbe))
	b.last = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func (b *bucket) settle(time.Time, Outcome) {}

// variants are the implementations compared in one run; the first is Budget.
var variants = []struct {
	name string
	make func(time.Time, Plan) spender
}{
	{"fixed share, accrues from the end of the last probe", newFixedShare},
	{"the same without maximum lateness", func(now time.Time, p Plan) spender {
		p.MaxLateness = 0
		return newFixedShare(now, p)
	}},
	{"share by live count", func(now time.Time, p Plan) spender {
		return &bucket{plan: p, depth: 1, last: now, shareLive: true}
	}},
	{"fixed share, bucket starts full", func(now time.Time, p Plan) spender {
		return &bucket{plan: p, depth: 1, level: 1, last: now}
	}},
	{"fixed share, deep bucket fills during a pause", func(now time.Time, p Plan) spender {
		return &bucket{plan: p, depth: 4, last: now}
	}},
	{"fixed share, accrues from the grant", func(now time.Time, p Plan) spender {
		return &bucket{plan: p, depth: 1, last: now}
	}},
}
