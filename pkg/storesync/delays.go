package storesync

import (
	"net/netip"
	"time"
)

// DelayEstimator estimates how much longer than usual a message was in transit, using the
// sender's and the receiver's monotonic clocks. Without it, a message that was queued on a
// congested link, or for a receiver that was paused, would make old state look recent.
//
// The clocks need not agree: the smallest clock offset observed for a process counts as zero
// delay. A DelayEstimator is not safe for concurrent use. The zero value is ready to use.
type DelayEstimator struct {
	senders map[netip.AddrPort]sender
}

// sender is the clock state of one sending process.
type sender struct {
	process     uint64
	minOffset   time.Duration // smallest observed clock offset
	clockOrigin time.Time     // origin of the sender's clock on the receiver's clock
}

// Delay returns the excess delay of a message. The argument process identifies the sending
// process, and sent is its monotonic clock at the time of sending. The first message of a
// process has no delay.
func (d *DelayEstimator) Delay(from netip.AddrPort, process uint64, sent time.Duration, arrived time.Time) time.Duration {
	s, known := d.senders[from]
	if !known || s.process != process {
		s = sender{process: process, clockOrigin: arrived.Add(-sent)}
	}
	difference := arrived.Sub(s.clockOrigin) - sent
	s.minOffset = min(s.minOffset, difference)
	if d.senders == nil {
		d.senders = make(map[netip.AddrPort]sender)
	}
	d.senders[from] = s
	return difference - s.minOffset
}
