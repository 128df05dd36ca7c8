// Package timeslot divides the capacity of an upstream among the hosts of a fleet by time
// slots, where the upstream tolerates a fixed number of requests from all of them together.
//
// The hosts exchange no messages for this. Each knows the approximate number of hosts and its
// own index among them. Time is divided into slots, and each slot belongs to one host; the
// order of the hosts is shifted by a different amount for each upstream.
//
// While the hosts agree on the number of hosts and on their indexes, each slot has exactly
// one owner. If they form k groups that count differently, for example the two sides of a
// network partition, each slot has one owner in each group.
//
// The package does no I/O, reads no clock and draws no random numbers. Its types are safe for
// concurrent use.
package timeslot

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AssumedHosts is the number of hosts that is assumed until the actual number is known.
// Known fleets have 13 to 473 hosts; an estimate that is too high leaves slots unused for a
// few seconds.
const AssumedHosts = 100

// Position is the index of a host among the hosts of its fleet.
type Position struct {
	// Self is the index, from 0.
	Self int
	// Hosts is the number of hosts, including those that may be dead.
	Hosts int
}

// Schedule determines which slots belong to this host.
type Schedule struct {
	current atomic.Pointer[assignment]
}

// assignment is a position and the time since which it is valid.
type assignment struct {
	Position
	since time.Time
}

// New returns the schedule of a host that knows no other hosts yet. The index is derived from
// a hash of the host's name, so that two hosts rarely start with the same one.
func New(host string) *Schedule {
	s := new(Schedule)
	s.Set(time.Time{}, Position{Self: int(xxhash.Sum64String(host) % AssumedHosts), Hosts: AssumedHosts})
	return s
}

// Single returns the schedule of a host without a fleet, which owns all slots.
func Single() *Schedule {
	s := new(Schedule)
	s.Set(time.Time{}, Position{Hosts: 1})
	return s
}

// Set updates the position of this host. A position that is out of range is ignored.
func (s *Schedule) Set(now time.Time, p Position) {
	known := s.current.Load()
	if p.Self < 0 || p.Self >= p.Hosts || known != nil && known.Position == p {
		return
	}
	s.current.Store(&assignment{p, now})
}

// Position returns the position of this host and the time since which it is valid.
func (s *Schedule) Position() (Position, time.Time) {
	a := s.current.Load()
	return a.Position, a.since
}

// Owns reports whether a slot belongs to this host. Shift offsets the order of the hosts for
// the upstream.
func (s *Schedule) Owns(slot int64, shift uint64) bool {
	a := s.current.Load()
	return owner(slot, shift, a.Hosts) == uint64(a.Self)
}

// Owner returns the index of the host that owns a slot.
func (s *Schedule) Owner(slot int64, shift uint64) int {
	return int(owner(slot, shift, s.current.Load().Hosts))
}

// owner returns the index of the host that owns a slot. The shift is halved so that the sum
// does not overflow.
func owner(slot int64, shift uint64, hosts int) uint64 {
	return (uint64(slot) + shift>>1) % uint64(hosts)
}

// Next returns the first slot at or after the given one that belongs to this host.
func (s *Schedule) Next(slot int64, shift uint64) int64 {
	a := s.current.Load()
	hosts := uint64(a.Hosts)
	return slot + int64((uint64(a.Self)+hosts-owner(slot, shift, a.Hosts))%hosts)
}
