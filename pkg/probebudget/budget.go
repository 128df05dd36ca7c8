package probebudget

import "time"

// MaxProbeTime is the maximum slot time charged for one probe. Senders abandon a probe
// earlier.
const MaxProbeTime = 10 * time.Second

// Grant is the permission to send one probe now.
type Grant struct {
	// Upstream is the ID of the upstream to probe.
	Upstream string
	// Cost is the slot time that was charged.
	Cost time.Duration

	number uint64
}

// Counters count the probes of one upstream by this process.
type Counters struct {
	// Granted, Answered, Abandoned and NotSent count probes.
	Granted, Answered, Abandoned, NotSent uint64
	// Spent is the slot time charged, including overruns.
	Spent time.Duration
	// Overrun is the part of Spent for the time by which probes exceeded Plan.Cost.
	Overrun time.Duration
}

// share is the share of one upstream's budget that this process has.
type share struct {
	plan         Plan
	accrualStart time.Time     // when accrual for the next probe started
	extraWait    time.Duration // extra wait before the next probe
	number       uint64        // of the last grant
	outstanding  bool
	removed      bool
	counters     Counters
}

func (s *share) due() time.Time {
	return s.accrualStart.Add(s.plan.spacing()).Add(s.extraWait)
}

// Budget is the probe budget of one entry host process.
type Budget struct {
	shares map[string]*share
}

// New returns a Budget without upstreams.
func New() *Budget { return &Budget{shares: make(map[string]*share)} }

// Configure sets the plan of an upstream. For an upstream that is new to this process, the
// share starts empty. An upstream that is in several groups must be configured once, with
// Strictest of their plans.
func (b *Budget) Configure(now time.Time, upstream string, plan Plan) error {
	if err := plan.Validate(); err != nil {
		return err
	}
	s := b.shares[upstream]
	if s == nil {
		s = &share{accrualStart: now, extraWait: plan.MaxLateness}
		b.shares[upstream] = s
	}
	s.removed = false
	s.plan = plan
	return nil
}

// Remove removes an upstream. While a probe is outstanding, the share is kept and Remove
// returns false, so that an upstream which is configured again does not accrue budget
// twice.
func (b *Budget) Remove(upstream string) bool {
	s := b.shares[upstream]
	if s != nil && s.outstanding {
		s.removed = true
		return false
	}
	delete(b.shares, upstream)
	return true
}

// Stagger delays the next probe of an upstream by d, so that hosts which started at the
// same time do not probe at the same time. A negative d has no effect.
func (b *Budget) Stagger(upstream string, d time.Duration) {
	if s := b.shares[upstream]; s != nil {
		s.extraWait += max(d, 0)
	}
}

// Due returns the time from which the next probe of an upstream is allowed. It returns
// false while a probe is outstanding and for an upstream without a budget.
func (b *Budget) Due(upstream string) (time.Time, bool) {
	s := b.shares[upstream]
	if s == nil || s.removed || s.outstanding || !s.plan.Enabled() {
		return time.Time{}, false
	}
	return s.due(), true
}

// Take grants a probe if one is due. The caller must read now before it sends the probe,
// must send at most one, and must end the grant with Settle. A grant that is never settled
// blocks further probes of that upstream by this process.
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

// Settle ends a grant. The caller must read now after the response arrived or the probe was
// abandoned, so that accrual for the next probe starts after the end of this one, even if the
// process was paused between Take and sending. took is the time from sending to the end; the
// time in excess of the cost delays the next probe accordingly. Settle returns false for a
// grant that is not outstanding.
func (b *Budget) Settle(now time.Time, g Grant, took time.Duration, o Outcome) bool {
	s := b.shares[g.Upstream]
	if s == nil || !s.outstanding || s.number != g.number {
		return false
	}
	s.outstanding = false
	s.accrualStart = now
	s.extraWait = 0
	s.account(g, took, o)
	if s.removed {
		delete(b.shares, g.Upstream)
	}
	return true
}

// account counts a finished probe and sets the extra wait before the next one.
func (s *share) account(g Grant, took time.Duration, o Outcome) {
	switch o {
	case NotSent:
		s.counters.NotSent++
		return
	case Answered:
		s.counters.Answered++
	default:
		s.counters.Abandoned++
		s.extraWait = s.plan.MaxLateness
	}
	s.counters.Spent += g.Cost
	over := min(took, MaxProbeTime) - g.Cost
	if over <= 0 {
		return
	}
	s.counters.Spent += over
	s.counters.Overrun += over
	s.extraWait += time.Duration(float64(s.plan.spacing()) * float64(over) / float64(g.Cost))
}

// Counters returns the counters of one upstream since it was configured.
func (b *Budget) Counters(upstream string) Counters {
	s := b.shares[upstream]
	if s == nil {
		return Counters{}
	}
	return s.counters
}

// Strictest returns the plan with the lower rate, with the larger cost and lateness of
// both.
func Strictest(a, b Plan) Plan {
	strict := a
	if b.Rate() < a.Rate() {
		strict = b
	}
	strict.Cost = max(a.Cost, b.Cost)
	strict.MaxLateness = max(a.MaxLateness, b.MaxLateness)
	return strict
}
