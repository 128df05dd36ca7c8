package probefirst

import (
	"math"
	"sync/atomic"
)

// idleShare is the share of the upstreams asked of late that were idle and of usual
// speed: how likely one more question finds one. It is safe for concurrent use; an
// answer that races with another may be lost. The zero value expects all to be idle.
//
// While it is high, a request that could take a last slot asks on for an idle upstream,
// which serves it by the learned slowdown sooner. While few are idle, the questions would
// take slot time from upstreams that have none to give.
//
// Where upstreams have two slots each, and the last slot slows work by 1.7, callers were
// given 0.886 of what answers in time are worth without it, 0.901 when every request
// asked on, and 0.898 with it; in the worst seconds of each day 0.708, 0.696 and 0.720
// (two days with bursts and two with all hosts lost, two seeds each).
type idleShare struct {
	busy atomic.Uint64 // bits of a float64: the share of those that were not idle
}

const (
	// idleWeight is the share of a new answer in the average: eight answers are the memory,
	// so that a burst of some seconds is noticed. Other weights were not compared.
	idleWeight = 1.0 / 8
	// idleWorth is the share from which on it is worth to ask for an idle upstream: a
	// question takes up to 6 ms of slot time, and an idle one saves 0.7 of the work's time,
	// by arithmetic.
	// At 0.45 half of the gain over the day is lost, and at 0 all of it in the worst
	// seconds, by the loads above.
	idleWorth = 0.30
)

// add takes in an answer.
func (s *idleShare) add(idle bool) {
	busy := 1.0
	if idle {
		busy = 0
	}
	old := math.Float64frombits(s.busy.Load())
	s.busy.Store(math.Float64bits(old + (busy-old)*idleWeight))
}

// worthAsking reports whether another question is likely enough to find one.
func (s *idleShare) worthAsking() bool {
	return 1-math.Float64frombits(s.busy.Load()) >= idleWorth
}
