package probebudget

import "time"

// fixedShare adapts Budget to spender.
type fixedShare struct {
	budget *Budget
	grant  Grant
}

const testUpstream = "u"

func newFixedShare(now time.Time, p Plan) spender {
	b := New()
	if err := b.Configure(now, testUpstream, p); err != nil {
		panic(err)
	}
	return &fixedShare{budget: b}
}

func (f *fixedShare) take(now time.Time, _ int) bool {
	g, ok := f.budget.Take(now, testUpstream)
	f.grant = g
	return ok
}

func (f *fixedShare) settle(now time.Time, o Outcome) {
	if !f.budget.Settle(now, f.grant, f.grant.Cost, o) {
		panic("grant is not outstanding")
	}
}
