// Package probebudget keeps the work of measuring one upstream inside its
// budget, over the whole fleet and without any message between entry hosts.
//
// The budget is slot time: a share of the time that an upstream's slots have.
// It is cut into MaxHosts fixed shares. Each entry host process spends one
// share, whatever it believes about the others, so a split fleet, a lagging
// host list or a failed peer change nothing. A share holds at most one probe,
// starts empty, and its next probe is earned only from the moment at which the
// last one is certainly over.
//
// Guarantee: in every half-open window of length Plan.Window, the probes that
// all processes together start at an upstream cost at most Plan.PerWindow,
// which is exactly the budget for that time. In a window of any length w the
// excess is below one Plan.PerWindow. It assumes that no more than MaxHosts
// processes exist at once, that clocks run within ClockDrift of true time, and
// that a probe which was given up reaches its upstream within Plan.Linger or
// never.
//
// The package does no I/O and reads no clock. A Budget belongs to one
// goroutine.
package probebudget

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// ClockDrift is the largest error of a clock's rate that the guarantee
// allows for, as a fraction (1e-3 is 1 ms in 1 s).
const ClockDrift = 1e-3

const percent = 100

// Plan is the measuring budget of one upstream.
type Plan struct {
	// MaxHosts bounds the entry host processes that can exist at once, with
	// replacements and processes that were given up but still run.
	MaxHosts int
	// Slots is the number of requests the upstream serves at the same time.
	Slots int
	// SlotTimePercent is the share of the slot time that probes may take, in percent.
	SlotTimePercent float64
	// Cost is the slot time of one probe.
	Cost time.Duration
	// Linger bounds how late a probe may start at the upstream after its
	// sender gave it up or was killed.
	Linger time.Duration
}

// Validate reports the first field that is out of range.
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
	case p.Linger < 0:
		return errors.Newf("linger: %s is negative", p.Linger)
	}
	return nil
}

// Enabled reports whether the plan allows any probe.
func (p Plan) Enabled() bool { return p.Validate() == nil && p.SlotTimePercent > 0 }

// Rate is the fleet's budget in seconds of slot time per second.
func (p Plan) Rate() float64 { return float64(p.Slots) * p.SlotTimePercent / percent }

// Window is the shortest window over which the budget is kept without excess.
// Every whole multiple of it is kept too.
func (p Plan) Window() time.Duration {
	w := float64(p.PerWindow()) / p.Rate()
	if !(w < math.MaxInt64/2) {
		return math.MaxInt64 / 2
	}
	return time.Duration(math.Ceil(w))
}

// PerWindow is the largest slot time that the fleet spends in one Window.
func (p Plan) PerWindow() time.Duration { return time.Duration(p.MaxHosts) * p.Cost }

// spacing is the time that one process waits between two probes by its own
// clock: Window, with room for a clock that runs fast.
func (p Plan) spacing() time.Duration {
	return p.Window() + time.Duration(float64(p.Window())*ClockDrift) + 1
}
