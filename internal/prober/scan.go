package prober

import (
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/probebudget"
)

// scanPerTarget multiplied by the number of targets is the minimum time between two
// scans of all targets, so that the cost of scanning does not grow with the fleet.
// Up to 400 targets it is at most pollInterval.
const scanPerTarget = 50 * time.Microsecond

// candidate is a target that was due in a scan, with the time of its report.
type candidate struct {
	target   *target
	reported int64 // ns since the Unix epoch; 0 if never
}

// next takes a grant for the upstream with the oldest report, in the order of the last
// scan.
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
		if !p.needsProbe(now, t) {
			continue
		}
		if g, ok := p.budget.Take(now, t.Address); ok {
			return t, g, true
		}
	}
	return nil, probebudget.Grant{}, false
}

// scan collects the targets that need a probe, ordered by the age of their report, the
// oldest first.
func (p *Prober) scan(now time.Time, targets map[string]*target) {
	p.scanned = now
	p.found = p.found[:0]
	for _, t := range targets {
		if p.needsProbe(now, t) {
			p.found = append(p.found, candidate{t, t.reported.Load()})
		}
	}
	slices.SortFunc(p.found, func(a, b candidate) int { return int(min(max(a.reported-b.reported, -1), 1)) })
	p.queue = p.found
}

// needsProbe reports whether the budget allows a probe of t, its report is stale, it is not in
// backoff and it has announced no rate limit.
func (p *Prober) needsProbe(now time.Time, t *target) bool {
	due, ok := p.budget.Due(t.Address)
	if !ok || now.Before(due) || t.age(now) <= p.conf.ReportTTL || t.rest.Delay(now) > 0 {
		return false
	}
	return p.conf.Limited == nil || !p.conf.Limited(t.Address)
}
