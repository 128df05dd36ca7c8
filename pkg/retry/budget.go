// Package retry decides when a request may be sent again.
//
// A Budget bounds the extra sends (retries and hedges) to a share of the first
// sends, Decide applies every rule to one failed send, and Latency estimates
// the quantiles from which a hedging delay is taken. Nothing here reads a
// clock, starts a goroutine or draws randomness. All types are safe for
// concurrent use.
package retry

import (
	"sync/atomic"
	"time"
)

const (
	// milli is the number of stored units in one token.
	milli = 1000
	// ReserveTokens is what a new budget holds, and the most that it can save
	// up, in extra sends. It lets a rule with little traffic retry at all.
	ReserveTokens = 10
	// TickInterval is how often Tick is to be called, and savedTicks the number of these times
	// whose first sends' share can be saved up besides the reserve: 1.5 s. What fails at once
	// at many upstreams is met by several requests of a host within a second. Of 400 requests
	// to ten upstreams, three of which began to turn everything away at the same moment, 3 were
	// refused for a spent budget in one run without it, and 1 in five runs with it (four hosts,
	// ten requests a second each). Over a stretch of 10 s, the extra sends are 15 in 100 more
	// than the share at the most.
	TickInterval = 500 * time.Millisecond
	savedTicks   = 3
)

// Budget is a token bucket that is filled by first sends instead of by time:
// each first send adds its share of a token and each extra send takes a whole
// one. Over any stretch, extra sends are at most ReserveTokens plus the share
// of the first sends. Where Tick is called, the share of the first sends of the last 1.5 s
// comes on top of the reserve. A nil *Budget grants everything.
type Budget struct {
	tokens atomic.Int64
	share  atomic.Int64
	cap    atomic.Int64 // the most that it can save up, in stored units
	firsts atomic.Int64 // first sends since the last Tick

	// What follows belongs to the goroutine that calls Tick and SetReserve.
	reserve int64 // in stored units
	recent  [savedTicks]int64
}

// NewBudget returns a full budget that allows percent extra sends per hundred
// first sends.
func NewBudget(percent float64) *Budget { return NewBudgetWithReserve(percent, ReserveTokens) }

// NewBudgetWithReserve is NewBudget with another reserve, in extra sends. Where
// a bound holds for many entry hosts together, each has its part of the reserve.
func NewBudgetWithReserve(percent, reserve float64) *Budget {
	b := new(Budget)
	b.SetReserve(reserve)
	b.SetPercent(percent)
	b.tokens.Store(b.cap.Load())
	return b
}

// SetReserve changes the reserve, in extra sends. A larger one has to be saved up
// first.
func (b *Budget) SetReserve(reserve float64) {
	if b == nil {
		return
	}
	b.reserve = int64(reserve * milli)
	b.resize()
}

// Tick is called every TickInterval, by the goroutine that calls SetReserve.
func (b *Budget) Tick() {
	if b == nil {
		return
	}
	copy(b.recent[1:], b.recent[:savedTicks-1])
	b.recent[0] = b.firsts.Swap(0)
	b.resize()
}

// resize sets what can be saved up.
func (b *Budget) resize() {
	saved := int64(0)
	for _, n := range b.recent {
		saved += n * b.share.Load()
	}
	b.cap.Store(b.reserve + saved)
}

// SetPercent changes the share of extra sends, in percent of first sends. What
// is saved up stays.
func (b *Budget) SetPercent(percent float64) {
	if b == nil {
		return
	}
	b.share.Store(int64(percent * milli / 100))
}

// RecordFirst records a first send.
func (b *Budget) RecordFirst() {
	if b == nil {
		return
	}
	b.firsts.Add(1)
	b.add(b.share.Load())
}

// Withdraw takes the token for one extra send. It reports false when the
// budget is spent.
func (b *Budget) Withdraw() bool {
	if b == nil {
		return true
	}
	for {
		held := b.tokens.Load()
		if held < milli {
			return false
		}
		if b.tokens.CompareAndSwap(held, held-milli) {
			return true
		}
	}
}

// Refund gives back the token of an extra send that was not made.
func (b *Budget) Refund() {
	if b == nil {
		return
	}
	b.add(milli)
}

// Exhausted reports whether no extra send is allowed now.
func (b *Budget) Exhausted() bool { return b.Remaining() < milli }

// Remaining returns the extra sends that are allowed now, in thousandths.
func (b *Budget) Remaining() int64 {
	if b == nil {
		return ReserveTokens * milli
	}
	return b.tokens.Load()
}

// add puts units into the bucket, up to its size. A full bucket, the usual
// case, is only read.
func (b *Budget) add(units int64) {
	for {
		held := b.tokens.Load()
		sum := min(held+units, b.cap.Load())
		if sum == held || b.tokens.CompareAndSwap(held, sum) {
			return
		}
	}
}
