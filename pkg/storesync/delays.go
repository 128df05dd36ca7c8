package storesync

import (
	"net/netip"
	"time"
)

// DelayEstimator tells how much longer than usual a message was on its way, from the
// sender's and the receiver's own clocks. A message that waited on a full link, or
// for a receiver that was paused, must not make old knowledge look young.
//
// The clocks need not agree: the shortest difference between them that was seen of
// a process counts as no delay. It belongs to one goroutine. The zero value knows
// no sender.
type DelayEstimator struct {
	senders map[netip.AddrPort]sender
}

// sender is what is known of one process.
type sender struct {
	process  uint64
	shortest time.Duration // difference of the clocks
	first    time.Time     // the origin of the receiver's clock
}

// Delay returns the delay of a message. Process names the sender's process, and sent
// is its steady clock when it sent. The first message of a process has none.
func (d *DelayEstimator) Delay(from netip.AddrPort, process uint64, sent time.Duration, arrived time.Time) time.Duration {
	s, known := d.senders[from]
	if !known || s.process != process {
		s = sender{process: process, first: arrived.Add(-sent)}
	}
	difference := arrived.Sub(s.first) - sent
	s.shortest = min(s.shortest, difference)
	if d.senders == nil {
		d.senders = make(map[netip.AddrPort]sender)
	}
	d.senders[from] = s
	return difference - s.shortest
}
