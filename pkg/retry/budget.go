// Package retry decides when a request may be sent again.
//
// A Budget limits the extra attempts (retries and hedges) to a percentage of the first
// attempts, Decide applies all rules to one failed attempt, and Latency estimates the
// quantiles from which hedging delays are taken. The package does not read a clock,
// start goroutines or use random numbers. Unless stated otherwise, all types are safe for
// concurrent use.
package retry

import (
	"sync/atomic"
	"time"
)

const (
	// unitsPerToken is the number of stored units in one token.
	unitsPerToken = 1000
	// ReserveTokens is the initial content and the capacity of a new budget, in extra
	// attempts. Without a reserve, a rule with little traffic could not retry at all.
	ReserveTokens = 10
	// TickInterval is the interval at which Tick is to be called. The share of the first
	// attempts of the last historyTicks intervals, 1.5 s, can accumulate in addition to the
	// reserve, because several requests of a host hit upstreams that start to fail at the same
	// time within a second. Of 400 requests to ten upstreams, three of which started to reject
	// everything at the same moment, 3 were refused for an exhausted budget in one run without
	// this, and 1 in five runs with it (four hosts, ten requests per second each). Without a
	// window, the extra attempts over any 10 s exceed the share by at most 15 %.
	TickInterval = 500 * time.Millisecond
	historyTicks = 3
	// sharedHistoryTicks replaces historyTicks in a budget with a window. What has accumulated
	// exceeds the bound if the load then stops: in a fleet of 102 hosts with a fixed part of
	// 168, the worst window of loads that fell to a tenth was 31 below the bound with 2
	// intervals, and 65 above it with 3.
	sharedHistoryTicks = 2
)

// Budget is a token bucket that is filled by first attempts instead of by time: each first
// attempt adds a fraction of a token, and each extra attempt takes a whole one. Over any
// period, the extra attempts are at most the reserve plus the share of the first attempts.
// If Tick is called, the capacity is the reserve plus the share of the first attempts of the
// last 1.5 s. A budget with a window (NewSharedBudget) accumulates the share of 1 s, and also
// bounds the extra attempts in any WindowLength. A nil *Budget allows everything.
type Budget struct {
	tokens        atomic.Int64
	share         atomic.Int64
	capacity      atomic.Int64 // maximum of tokens, in stored units
	firstAttempts atomic.Int64 // since the last Tick
	window        *window      // nil if only the tokens limit the extra attempts

	// The fields below are accessed only by the goroutine that calls Tick and SetReserve.
	reserve int64 // in stored units
	recent  [historyTicks]int64
	ticked  time.Time // the time up to which Tick has advanced
}

// NewBudget returns a full budget that allows percent extra attempts per hundred first
// attempts.
func NewBudget(percent float64) *Budget { return NewBudgetWithReserve(percent, ReserveTokens) }

// NewBudgetWithReserve is NewBudget with another reserve, in extra attempts. If a bound
// applies to several entry hosts together, each gets its part of the reserve.
func NewBudgetWithReserve(percent, reserve float64) *Budget {
	b := new(Budget)
	b.SetReserve(reserve)
	b.SetPercent(percent)
	b.tokens.Store(b.capacity.Load())
	return b
}

// NewSharedBudget returns a budget with a window: in any WindowLength, the extra attempts are
// at most percent of the first attempts plus the reserve. What was used of the reserve comes
// back over WindowLength. It is for a bound that applies to several entry hosts together, each
// with its part of the reserve. Tick must be called.
func NewSharedBudget(percent, reserve float64) *Budget {
	b := &Budget{window: new(window)}
	b.SetPercent(percent)
	b.SetReserve(reserve)
	b.tokens.Store(b.reserve)
	return b
}

// SetReserve changes the reserve, in extra attempts. It changes the capacity only: tokens for
// a larger reserve have to accumulate first.
func (b *Budget) SetReserve(reserve float64) {
	if b == nil {
		return
	}
	b.reserve = int64(reserve * unitsPerToken)
	b.updateCapacity()
}

// Tick must be called every TickInterval, by the goroutine that calls SetReserve. If it is
// called late, it advances by all intervals that have elapsed.
func (b *Budget) Tick(now time.Time) {
	if b == nil {
		return
	}
	n := b.elapsedIntervals(now)
	if n == 0 {
		return
	}
	first := b.firstAttempts.Swap(0)
	shiftRecent(&b.recent, n, first)
	if b.window != nil {
		b.window.advance(n, first)
	}
	b.updateCapacity()
	if b.window != nil {
		b.add(int64(n) * b.reserve / int64(windowTicks))
	}
}

// elapsedIntervals returns the intervals since the last Tick, rounded, so that a call that is a
// little early or late counts as one, and at most a whole window.
func (b *Budget) elapsedIntervals(now time.Time) int {
	if b.ticked.IsZero() {
		b.ticked = now
		return 1
	}
	n := int((now.Sub(b.ticked) + TickInterval/2) / TickInterval)
	if n <= 0 {
		return 0
	}
	b.ticked = b.ticked.Add(time.Duration(n) * TickInterval)
	return min(n, windowTicks)
}

// shiftRecent ends n intervals in which there were first first attempts. They count for the
// earliest one.
func shiftRecent(recent *[historyTicks]int64, n int, first int64) {
	for i := range n {
		copy(recent[1:], recent[:historyTicks-1])
		recent[0] = 0
		if i == 0 {
			recent[0] = first
		}
	}
}

// updateCapacity computes the capacity from the reserve and the recent first attempts, and the
// bounds of the window. With a window, the capacity is at least one token, so that a host whose
// part of the reserve is less can use the share of its first attempts.
func (b *Budget) updateCapacity() {
	share := b.share.Load()
	if b.window == nil {
		b.capacity.Store(b.reserve + sum(b.recent[:])*share)
		return
	}
	b.capacity.Store(max(b.reserve, unitsPerToken) + sum(b.recent[:sharedHistoryTicks])*share)
	b.window.update(share, b.reserve)
}

func sum(counts []int64) int64 {
	total := int64(0)
	for _, n := range counts {
		total += n
	}
	return total
}

// SetPercent changes the extra attempts allowed, in percent of the first attempts. Tokens in
// the budget are kept.
func (b *Budget) SetPercent(percent float64) {
	if b == nil {
		return
	}
	b.share.Store(int64(percent * unitsPerToken / 100))
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst() {
	if b == nil {
		return
	}
	b.firstAttempts.Add(1)
	b.add(b.share.Load())
}

// Withdraw takes the token for one extra attempt. It returns false if the budget is
// exhausted.
func (b *Budget) Withdraw() bool {
	if b == nil {
		return true
	}
	number, ok := b.window.take(b.credit)
	if !ok {
		return false
	}
	if !b.takeToken() {
		b.window.cancel(number)
		return false
	}
	return true
}

// credit returns the share of the first attempts since the last Tick, in stored units.
func (b *Budget) credit() int64 { return b.firstAttempts.Load() * b.share.Load() }

func (b *Budget) takeToken() bool {
	for {
		held := b.tokens.Load()
		if held < unitsPerToken {
			return false
		}
		if b.tokens.CompareAndSwap(held, held-unitsPerToken) {
			return true
		}
	}
}

// WithdrawAbove is Withdraw for an extra attempt that is made only while the budget holds at
// least a share of its capacity, from 0 to 1: level of what it holds above one token.
func (b *Budget) WithdrawAbove(level float64) bool {
	if b == nil {
		return true
	}
	above := float64(b.capacity.Load() - unitsPerToken)
	if float64(b.tokens.Load()-unitsPerToken) < level*above {
		return false
	}
	return b.Withdraw()
}

// Interval returns the number of the current interval, for Refund. It must be read before
// the token is withdrawn.
func (b *Budget) Interval() uint32 {
	if b == nil {
		return 0
	}
	return b.window.number()
}

// Refund returns the token of an extra attempt that was not made. Interval is the value of
// Interval before the token was withdrawn. A window counts the attempt nevertheless if that
// interval has ended.
func (b *Budget) Refund(interval uint32) {
	if b == nil {
		return
	}
	b.window.cancel(interval)
	b.add(unitsPerToken)
}

// Exhausted reports whether no extra attempt is allowed now.
func (b *Budget) Exhausted() bool {
	return b.Remaining() < unitsPerToken || b != nil && !b.window.open(b.credit())
}

// Remaining returns the extra attempts that the tokens allow now, in thousandths.
func (b *Budget) Remaining() int64 {
	if b == nil {
		return ReserveTokens * unitsPerToken
	}
	return b.tokens.Load()
}

// add adds units to the bucket, up to its capacity. A full bucket, the common case, is only
// read.
func (b *Budget) add(units int64) {
	for {
		held := b.tokens.Load()
		sum := min(held+units, b.capacity.Load())
		if sum == held || b.tokens.CompareAndSwap(held, sum) {
			return
		}
	}
}
