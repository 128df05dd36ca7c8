package retry

import (
	"sync/atomic"
	"time"
)

// Rank is the precedence of a request. It corresponds to the priorities of pkg/queue.
type Rank uint8

// The ranks, highest first.
const (
	High Rank = iota
	Normal
	Low
	numRanks
)

// Class distinguishes extra attempts of the same rank.
type Class uint8

// The classes, highest precedence first.
const (
	// Waited is a retry for a caller that came back after the time that it was told.
	Waited Class = iota
	// New is a retry for any other caller.
	New
	// Hedge is an attempt while another one of the request is still running.
	Hedge
	numClasses
)

// Claim describes an extra attempt to Levels.
type Claim struct {
	Rank  Rank
	Class Class
}

// levels holds the share of the budget above one token that must be available for an extra
// attempt. While the budget is full, all are allowed; as it empties, those with lower
// precedence are denied first.
var levels = [numRanks][numClasses]float64{
	High:   {Waited: 0, New: 0.25, Hedge: 0.5},
	Normal: {Waited: 0.25, New: 0.5, Hedge: 0.75},
	Low:    {Waited: 0.5, New: 0.75, Hedge: 0.9},
}

// deniedByLevel names the claims that were denied by their level.
var deniedByLevel = [numRanks][numClasses]Reason{
	High:   {Waited: "level-high-waited", New: "level-high-new", Hedge: "level-high-hedge"},
	Normal: {Waited: "level-normal-waited", New: "level-normal-new", Hedge: "level-normal-hedge"},
	Low:    {Waited: "level-low-waited", New: "level-low-new", Hedge: "level-low-hedge"},
}

// Level returns the share of the budget, from 0 to 1, that the claim requires.
func (c Claim) Level() float64 { return levels[c.Rank][c.Class] }

// DeniedByLevel returns the reason of a denial because of the claim's level.
func (c Claim) DeniedByLevel() Reason { return deniedByLevel[c.Rank][c.Class] }

// LevelReasons returns all values of DeniedByLevel.
func LevelReasons() []Reason {
	var out []Reason
	for _, rank := range deniedByLevel {
		out = append(out, rank[:]...)
	}
	return out
}

const (
	// fairEvery is the number of denials by level of which one is allowed at level 0.
	fairEvery = 16
	// PrecedenceWindow is how long the budget is kept for claims of a kind after one of them
	// was made. Without it, a fleet in which no caller is known to have waited made 8% fewer
	// extra attempts than without levels while 55% were refused for 8.5 s.
	PrecedenceWindow = 5 * time.Second
)

// Levels completes the decisions of DecideAbove. A level applies only while claims with a
// lower one are made, so that nothing is kept for callers that don't exist. Of each 16 extra
// attempts of a rank that are denied by level, one is allowed; retries and hedges are counted
// separately, so that denied hedges do not use up what retries are allowed. The zero value is
// ready to use.
type Levels struct {
	denied [numRanks][2]atomic.Uint64
	seen   [numRanks][numClasses]atomic.Int64 // time of the last claim, in Unix nanoseconds
}

// Settle returns the decision on an extra attempt for which DecideAbove returned reason. If it
// returns Allowed, a token has been withdrawn from b.
func (l *Levels) Settle(now time.Time, b *Budget, c Claim, reason Reason) Reason {
	switch reason {
	case Allowed, DeniedBudget:
		l.observe(now, c)
		return reason
	case DeniedLevel:
		l.observe(now, c)
		return l.relieve(now, b, c)
	default:
		return reason
	}
}

func (l *Levels) observe(now time.Time, c Claim) { l.seen[c.Rank][c.Class].Store(now.UnixNano()) }

// relieve decides on a claim that was denied by its level.
func (l *Levels) relieve(now time.Time, b *Budget, c Claim) Reason {
	if l.precededBy(now, c) && l.countDenied(c)%fairEvery != 0 {
		return c.DeniedByLevel()
	}
	if !b.Withdraw() {
		return DeniedBudget
	}
	return Allowed
}

// precededBy reports whether claims with a lower level than c were made recently.
func (l *Levels) precededBy(now time.Time, c Claim) bool {
	since := now.Add(-PrecedenceWindow).UnixNano()
	for rank := range numRanks {
		for class := range numClasses {
			if levels[rank][class] < c.Level() && l.seen[rank][class].Load() > since {
				return true
			}
		}
	}
	return false
}

// countDenied counts a denial by level, and returns the number of denials so far.
func (l *Levels) countDenied(c Claim) uint64 {
	if c.Class == Hedge {
		return l.denied[c.Rank][1].Add(1)
	}
	return l.denied[c.Rank][0].Add(1)
}
