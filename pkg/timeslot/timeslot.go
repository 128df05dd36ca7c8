// Package timeslot has the hosts of a fleet act in turn where an upstream bears so much from
// all of them together.
//
// Hosts share nothing for this. Each knows about how many hosts there are and its own
// number among them. Time is divided into slots, and each slot is the turn of one host, in
// an order that is shifted from upstream to upstream.
//
// Where the hosts agree on their numbers, each slot has one owner. Where they are in k
// groups that count differently, as halves that are cut from each other, it has one in each
// group.
//
// The package does no I/O, reads no clock and draws no randomness. Its types are safe for
// concurrent use.
package timeslot

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AssumedHosts is the number of hosts that a host reckons with until it knows better.
// The fleets known have 13 to 473; to reckon with too many wastes turns for some seconds.
const AssumedHosts = 100

// Position is a host's number among the hosts of its fleet.
type Position struct {
	// Self is the number, from 0.
	Self int
	// Hosts is how many there are; hosts that may be dead count.
	Hosts int
}

// Schedule says which slots are this host's.
type Schedule struct {
	place atomic.Pointer[placed]
}

// placed is a place and since when it holds.
type placed struct {
	Position
	since time.Time
}

// New returns the turns of a host that knows no other yet. Its name gives it a number that
// other hosts do not have as a rule.
func New(host string) *Schedule {
	t := new(Schedule)
	t.Set(time.Time{}, Position{Self: int(xxhash.Sum64String(host) % AssumedHosts), Hosts: AssumedHosts})
	return t
}

// Single returns the turns of a host without a fleet: all slots are its own.
func Single() *Schedule {
	t := new(Schedule)
	t.Set(time.Time{}, Position{Hosts: 1})
	return t
}

// Set takes in this host's place. One that is out of range is ignored.
func (t *Schedule) Set(now time.Time, p Position) {
	known := t.place.Load()
	if p.Self < 0 || p.Self >= p.Hosts || known != nil && known.Position == p {
		return
	}
	t.place.Store(&placed{p, now})
}

// Position returns this host's place, and since when it holds.
func (t *Schedule) Position() (Position, time.Time) {
	p := t.place.Load()
	return p.Position, p.since
}

// Owns reports whether a slot is this host's. Shift is that of the upstream's order.
func (t *Schedule) Owns(slot int64, shift uint64) bool {
	p := t.place.Load()
	return owner(slot, shift, p.Hosts) == uint64(p.Self)
}

// Owner returns the number of the host whose slot it is.
func (t *Schedule) Owner(slot int64, shift uint64) int {
	return int(owner(slot, shift, t.place.Load().Hosts))
}

// owner is the number of the host whose slot it is. Half of the shift is used, so that the
// sum does not overflow.
func owner(slot int64, shift uint64, hosts int) uint64 {
	return (uint64(slot) + shift>>1) % uint64(hosts)
}

// Next returns the first slot from one on that is this host's.
func (t *Schedule) Next(slot int64, shift uint64) int64 {
	p := t.place.Load()
	hosts := uint64(p.Hosts)
	return slot + int64((uint64(p.Self)+hosts-owner(slot, shift, p.Hosts))%hosts)
}
