// Package coldstart limits what the hosts of a fleet send, together, to an upstream that has
// just started or has become cold again. Such an upstream tolerates a few requests a second
// and collapses under more.
//
// The hosts exchange no messages for this and use only the order of pkg/timeslot: there are as
// many slots a second as the upstream tolerates requests, and a host sends at most one request
// in each of its slots.
//
// In any second, an upstream that tolerates r requests a second receives at most r(1+2d)+1 if
// the hosts agree on their positions and their clocks agree within d seconds: this is the
// number of slots that overlap a second, and each has one owner. If the hosts form k groups
// that count differently, for example the two sides of a network partition, each group sends
// that much. If the hosts agree on nothing, each still sends one request in hosts/r seconds.
//
// The package does no I/O, reads no clock and draws no random numbers. Its types are safe for
// concurrent use.
package coldstart

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

// Upstream is what one host knows of the cold start of one upstream. The zero value is warm
// and has no rate limit.
type Upstream struct {
	until    atomic.Int64  // Unix time in ns at which it becomes warm
	rate     atomic.Uint64 // requests a second, as the bits of a float64; 0 means no limit
	shift    atomic.Uint64 // offset of its order of slots
	lastUsed atomic.Int64  // last slot that was used, counted from 1 as by slot; 0 if none was
}

// SetRate sets how many requests a second from all hosts an upstream tolerates while it is
// cold; 0 sets no limit. The id determines the offset of its order of slots.
func (u *Upstream) SetRate(id string, perSecond float64) {
	u.shift.Store(xxhash.Sum64String(id))
	u.rate.Store(math.Float64bits(max(perSecond, 0)))
}

// SetCold records the upstream's own report that it is cold for the remaining time from now
// on; 0 or less means that it is warm.
func (u *Upstream) SetCold(now time.Time, remaining time.Duration) {
	u.until.Store(now.Add(remaining).UnixNano())
}

// ExtendCold records an update according to which the upstream is cold for the remaining time.
// The update may have been written a while ago, so it never makes the upstream warm.
func (u *Upstream) ExtendCold(now time.Time, remaining time.Duration) {
	until := now.Add(remaining).UnixNano()
	for {
		known := u.until.Load()
		if until <= known || u.until.CompareAndSwap(known, until) {
			return
		}
	}
}

// IsCold reports whether the upstream is cold and has a rate limit.
func (u *Upstream) IsCold(now time.Time) bool {
	return u.rate.Load() != 0 && now.UnixNano() < u.until.Load()
}

// slot returns the slot that contains the given time, counted from 1.
func (u *Upstream) slot(now time.Time) int64 {
	length := float64(time.Second) / math.Float64frombits(u.rate.Load())
	return int64(float64(now.UnixNano())/length) + 1
}

// Open reports whether the host with schedule s may send a request to u now.
func (u *Upstream) Open(now time.Time, s *timeslot.Schedule) bool {
	if !u.IsCold(now) {
		return true
	}
	slot := u.slot(now)
	return u.lastUsed.Load() != slot && s.Owns(slot, u.shift.Load())
}

// Take uses the current slot for one request to u. It returns false if the slot does not
// belong to the host with schedule s, or has been used already.
func (u *Upstream) Take(now time.Time, s *timeslot.Schedule) bool {
	if !u.IsCold(now) {
		return true
	}
	slot := u.slot(now)
	used := u.lastUsed.Load()
	return used != slot && s.Owns(slot, u.shift.Load()) && u.lastUsed.CompareAndSwap(used, slot)
}
