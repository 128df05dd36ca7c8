package probebudget

import "time"

// MaxProbeTime is the longest slot time charged for one probe. Senders give a
// probe up sooner.
const MaxProbeTime = 10 * time.Second

// Grant is the right to send one probe, now.
type Grant struct {
	// Upstream is the id of the upstream to probe.
	Upstream string
	// Cost is the slot time that was charged.
	Cost time.Duration

	number uint64
}

// Counters count the probes of one upstream by this process.
type Counters struct {
	// Granted, Answered, Abandoned and NotSent count probes.
	Granted, Answered, Abandoned, NotSent uint64
	// Spent is the slot time charged, with overruns.
	Spent time.Duration
	// Overrun is the part of Spent that came from probes that took longer than Plan.Cost.
	Overrun time.Duration
}

// share is this process's part of one upstream's budget.
type share struct {
	plan        Plan
	earnedFrom  time.Time     // the next probe is earned from here on
	wait        time.Duration // added to the plan's spacing, once
	number      uint64        // of the last grant
	outstanding bool
	removed     bool
	counters    Counters
}

func (s *share) due() time.Time {
	return s.earnedFrom.Add(s.plan.spacing()).Add(s.wait)
}

// Budget is the measuring budget of one entry host process.
type Budget struct {
	shares map[string]*share
}

// New returns a budget without upstreams.
func New() *Budget { return &Budget{shares: make(map[string]*share)} }

// Configure sets the plan of an upstream. The share of an upstream that is new
// to this process starts empty. An upstream that stands in several groups must
// be configured once, with Strictest of their plans.
func (b *Budget) Configure(now time.Time, upstream string, plan Plan) error {
	if err := plan.Validate(); err != nil {
		return err
	}
	s := b.shares[upstream]
	if s == nil {
		s = &share{earnedFrom: now, wait: plan.Linger}
		b.shares[upstream] = s
	}
	s.removed = false
	s.plan = plan
	return nil
}

// Remove forgets an upstream. While a probe is outstanding the share stays, so
// that an upstream which is configured again does not earn twice; Remove then
// reports false.
func (b *Budget) Remove(upstream string) bool {
	s := b.shares[upstream]
	if s != nil && s.outstanding {
		s.removed = true
		return false
	}
	delete(b.shares, upstream)
	return true
}

// Stagger makes the next probe of an upstream later by d, so that hosts which
// started together do not probe together. A negative d changes nothing.
func (b *Budget) Stagger(upstream string, d time.Duration) {
	if s := b.shares[upstream]; s != nil {
		s.wait += max(d, 0)
	}
}

// Due returns when the next probe of an upstream will be earned. It reports
// false while a probe is outstanding and for an upstream without a budget.
func (b *Budget) Due(upstream string) (time.Time, bool) {
	s := b.shares[upstream]
	if s == nil || s.removed || s.outstanding || !s.plan.Enabled() {
		return time.Time{}, false
	}
	return s.due(), true
}

// Take grants a probe if one is earned. The caller must have read now before
// it sends, must send at most once, and must end the grant with Settle. A grant that
// is never settled stops this process's probes of that upstream.
func (b *Budget) Take(now time.Time, upstream string) (Grant, bool) {
	due, ok := b.Due(upstream)
	if !ok || now.Before(due) {
		return Grant{}, false
	}
	s := b.shares[upstream]
	s.outstanding = true
	s.number++
	s.counters.Granted++
	return Grant{Upstream: upstream, Cost: s.plan.Cost, number: s.number}, true
}

// Settle ends a grant. The caller must have read now after the answer came or
// the probe was given up; a process that slept between Take and sending
// thereby earns from when it woke. Took is the time from sending to the end; what
// exceeds the cost is paid back before the next probe. Settle reports false for a grant that
// is not outstanding.
func (b *Budget) Settle(now time.Time, g Grant, took time.Duration, o Outcome) bool {
	s := b.shares[g.Upstream]
	if s == nil || !s.outstanding || s.number != g.number {
		return false
	}
	s.outstanding = false
	s.earnedFrom = now
	s.wait = 0
	s.account(g, took, o)
	if s.removed {
		delete(b.shares, g.Upstream)
	}
	return true
}

// account counts an ended probe and sets what it adds to the next wait.
func (s *share) account(g Grant, took time.Duration, o Outcome) {
	switch o {
	case NotSent:
		s.counters.NotSent++
		return
	case Answered:
		s.counters.Answered++
	default:
		s.counters.Abandoned++
		s.wait = s.plan.Linger
	}
	s.counters.Spent += g.Cost
	over := min(took, MaxProbeTime) - g.Cost
	if over <= 0 {
		return
	}
	s.counters.Spent += over
	s.counters.Overrun += over
	s.wait += time.Duration(float64(s.plan.spacing()) * float64(over) / float64(g.Cost))
}

// Counters returns the counts of one upstream since it was configured.
func (b *Budget) Counters(upstream string) Counters {
	s := b.shares[upstream]
	if s == nil {
		return Counters{}
	}
	return s.counters
}

// Strictest returns the plan of the two that allows less probing, with the
// larger cost and linger time of both.
func Strictest(a, b Plan) Plan {
	strict := a
	if b.Rate() < a.Rate() {
		strict = b
	}
	strict.Cost = max(a.Cost, b.Cost)
	strict.Linger = max(a.Linger, b.Linger)
	return strict
}
