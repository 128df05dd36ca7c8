// Package probebudget limits the cost of probing one upstream to a budget for the
// whole fleet, without communication between entry hosts.
//
// The budget is slot time: a percentage of the total time of an upstream's slots.
// It is divided into MaxHosts fixed shares, one for each entry host process. A
// process uses only its own share, whatever it knows about the others, so that a
// network partition, a stale host list or a failed peer has no effect. A share
// holds at most one probe and starts empty. It accrues its next probe only from the
// time at which the last one has certainly ended.
//
// Guarantee: in every half-open window of length Plan.Window, the probes that all
// processes together start at an upstream cost at most Plan.PerWindow, which is
// exactly the budget for that time. In a window of any length the excess is below
// one Plan.PerWindow. The guarantee assumes that no more than MaxHosts processes
// exist at the same time, that the rate of clocks is within ClockDrift of true
// time, and that an abandoned probe reaches its upstream within Plan.MaxLateness or
// never.
//
// The package does no I/O and reads no clock. A Budget must be used by one
// goroutine at a time.
package probebudget

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// ClockDrift is the maximum error of the rate of a clock for which the guarantee
// holds, as a fraction (1e-3 is 1 ms in 1 s).
const ClockDrift = 1e-3

const percent = 100

// Plan is the probe budget of one upstream.
type Plan struct {
	// MaxHosts is the maximum number of entry host processes that exist at the same time,
	// including replacements and processes that are considered dead but still run.
	MaxHosts int
	// Slots is the number of requests that the upstream serves concurrently.
	Slots int
	// SlotTimePercent is the percentage of the slot time that probes may use.
	SlotTimePercent float64
	// Cost is the slot time that one probe uses.
	Cost time.Duration
	// MaxLateness is the maximum time between the moment at which the sender abandons a probe or
	// is killed and the start of that probe at the upstream.
	MaxLateness time.Duration
}

// Validate returns an error for the first field that is out of range.
func (p Plan) Validate() error {
	switch {
	case p.MaxHosts < 1:
		return errors.Newf("max hosts: %d is below 1", p.MaxHosts)
	case p.Slots < 1:
		return errors.Newf("slots: %d is below 1", p.Slots)
	case !(p.SlotTimePercent >= 0 && p.SlotTimePercent <= percent):
		return errors.Newf("slot time percent: %v is not in 0..100", p.SlotTimePercent)
	case p.Cost <= 0:
		return errors.Newf("cost: %s is not positive", p.Cost)
	case p.MaxLateness < 0:
		return errors.Newf("linger: %s is negative", p.MaxLateness)
	}
	return nil
}

// Enabled reports whether the plan allows any probe.
func (p Plan) Enabled() bool { return p.Validate() == nil && p.SlotTimePercent > 0 }

// Rate returns the budget of the fleet in seconds of slot time per second.
func (p Plan) Rate() float64 { return float64(p.Slots) * p.SlotTimePercent / percent }

// Window returns the shortest window in which the budget is never exceeded. The same
// holds for every integer multiple of it.
func (p Plan) Window() time.Duration {
	w := float64(p.PerWindow()) / p.Rate()
	if !(w < math.MaxInt64/2) {
		return math.MaxInt64 / 2
	}
	return time.Duration(math.Ceil(w))
}

// PerWindow returns the maximum slot time that the fleet spends in one Window.
func (p Plan) PerWindow() time.Duration { return time.Duration(p.MaxHosts) * p.Cost }

// spacing returns the time between two probes of one process by its own clock: Window,
// with a margin for a clock that runs fast.
func (p Plan) spacing() time.Duration {
	return p.Window() + time.Duration(float64(p.Window())*ClockDrift) + 1
}
