package prober

import (
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/probebudget"
)

// scanPerTarget times the number of targets is the shortest time between two
// looks at all of them, so that the cost of looking does not grow with the
// fleet. Up to 400 targets that is less than pollInterval.
const scanPerTarget = 50 * time.Microsecond

// candidate is a target that a scan found due, with the time of its report.
type candidate struct {
	target   *target
	reported int64 // ns since the Unix epoch; 0: never
}

// next takes a grant for the upstream with the stalest report, as the newest
// scan ordered them.
func (p *Prober) next(now time.Time) (*target, probebudget.Grant, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := *p.targets.Load()
	if now.Sub(p.scanned) >= time.Duration(len(targets))*scanPerTarget {
		p.scan(now, targets)
	}
	for len(p.queue) > 0 {
		t := p.queue[0].target
		p.queue = p.queue[1:]
		if !p.wants(now, t) {
			continue
		}
		if g, ok := p.budget.Take(now, t.Address); ok {
			return t, g, true
		}
	}
	return nil, probebudget.Grant{}, false
}

// scan orders the targets that want a probe, the stalest first.
func (p *Prober) scan(now time.Time, targets map[string]*target) {
	p.scanned = now
	p.found = p.found[:0]
	for _, t := range targets {
		if p.wants(now, t) {
			p.found = append(p.found, candidate{t, t.reported.Load()})
		}
	}
	slices.SortFunc(p.found, func(a, b candidate) int { return int(min(max(a.reported-b.reported, -1), 1)) })
	p.queue = p.found
}

// wants reports whether a probe of t is earned, its report is stale, it does not rest and
// names no limit.
func (p *Prober) wants(now time.Time, t *target) bool {
	due, ok := p.budget.Due(t.Address)
	if !ok || now.Before(due) || t.age(now) <= p.conf.FreshFor || t.rest.Delay(now) > 0 {
		return false
	}
	return p.conf.Limited == nil || !p.conf.Limited(t.Address)
}
