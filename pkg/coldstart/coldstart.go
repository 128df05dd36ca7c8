// Package coldstart bounds what the hosts of a fleet send, together, to an upstream that
// has started a moment ago, or has become cold again. Such an upstream bears a few
// requests a second, and collapses under more.
//
// Hosts share nothing for this but the order of pkg/timeslot: there are as many slots a second
// as the upstream bears requests, and a host sends one request in its turn at the most.
//
// In a second, an upstream that bears r requests a second gets at most r(1+2d)+1 where
// the hosts agree on their numbers and their clocks agree within d seconds: so many slots
// meet a second, and each has one owner. Where the hosts are in k groups that count
// differently, as halves that are cut from each other, each group sends that much. Where
// nothing agrees, each host still sends one request in hosts/r seconds.
//
// The package does no I/O, reads no clock and draws no randomness. Its types are safe
// for concurrent use.
package coldstart

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

// Upstream is what one host knows of how cold one upstream is. The zero value is warm,
// and bears anything.
type Upstream struct {
	until atomic.Int64  // Unix time in ns at which it is warm
	rate  atomic.Uint64 // requests a second, as the bits of a float64; 0 is no bound
	shift atomic.Uint64 // of its order of turns
	used  atomic.Int64  // slot of the last turn that was used, plus one
}

// SetRate sets how many requests a second an upstream bears over all hosts while it is
// cold; 0 sets no bound. The id shifts its order of turns.
func (u *Upstream) SetRate(id string, perSecond float64) {
	u.shift.Store(xxhash.Sum64String(id))
	u.rate.Store(math.Float64bits(max(perSecond, 0)))
}

// SetCold takes in the upstream's own answer that it is cold for a time from now on; 0 or
// less says that it is warm.
func (u *Upstream) SetCold(now time.Time, left time.Duration) {
	u.until.Store(now.Add(left).UnixNano())
}

// ExtendCold takes in news that the upstream was cold for a time when the news was written,
// which may be a while ago: it never makes the upstream warm.
func (u *Upstream) ExtendCold(now time.Time, left time.Duration) {
	until := now.Add(left).UnixNano()
	for {
		known := u.until.Load()
		if until <= known || u.until.CompareAndSwap(known, until) {
			return
		}
	}
}

// IsCold reports whether the upstream is cold and bears few requests.
func (u *Upstream) IsCold(now time.Time) bool {
	return u.rate.Load() != 0 && now.UnixNano() < u.until.Load()
}

// slot returns the slot that a time is in, counted from 1.
func (u *Upstream) slot(now time.Time) int64 {
	length := float64(time.Second) / math.Float64frombits(u.rate.Load())
	return int64(float64(now.UnixNano())/length) + 1
}

// Open reports whether the host whose turns are given may send a request to u now.
func (u *Upstream) Open(now time.Time, t *timeslot.Schedule) bool {
	if !u.IsCold(now) {
		return true
	}
	slot := u.slot(now)
	return u.used.Load() != slot && t.Owns(slot, u.shift.Load())
}

// Take uses the host's turn at u for one request. It is false if there is none, or no
// longer.
func (u *Upstream) Take(now time.Time, t *timeslot.Schedule) bool {
	if !u.IsCold(now) {
		return true
	}
	slot := u.slot(now)
	used := u.used.Load()
	return used != slot && t.Owns(slot, u.shift.Load()) && u.used.CompareAndSwap(used, slot)
}
