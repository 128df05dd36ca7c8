package lab

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

const (
	// hedgeShare is the largest share of extra sends.
	hedgeShare = 0.1
	// hedgeBurst is the number of extra sends that may be saved up.
	hedgeBurst = 10
)

// hedgingHost sends a second attempt of a request whose answer is overdue, as
// the policy sees it, within a budget. It stands for the part that hedges
// repeatable requests and shows what that adds to a choice. The first answer
// wins; the loser is cancelled.
type hedgingHost struct {
	*basicHost
	tokens float64
	fixed  time.Duration // replaces the policy's opinion; 0 keeps it
}

// NewHedgingHost returns a Host that hedges every request.
func NewHedgingHost(env Env) Host {
	h := &hedgingHost{basicHost: &basicHost{env: env}}
	h.sent = h.watch
	return h
}

// fixedHedge is the delay, in mean service times, of a host that hedges
// without a policy's opinion. No real host knows the mean this well.
const fixedHedge = 3

// NewFixedHedgingHost returns a Host that hedges after a fixed delay.
func NewFixedHedgingHost(env Env) Host {
	h := NewHedgingHost(env).(*hedgingHost)
	h.fixed = fixedHedge * env.(*hostEnv).world.run.Workload.Mean
	return h
}

// watch starts the timer of a first send.
func (h *hedgingHost) watch(r *Request, overdue time.Duration) {
	if h.fixed > 0 {
		overdue = h.fixed
	}
	if overdue <= 0 || r.Attempts > 1 {
		return
	}
	h.tokens = min(h.tokens+hedgeShare, hedgeBurst)
	h.env.Clock().After(overdue, func() { h.hedge(r) })
}

func (h *hedgingHost) hedge(r *Request) {
	if r.finished || r.Attempts > 1 || h.tokens < 1 {
		return
	}
	now := h.env.Clock().Now()
	res, err := h.env.Picker().Pick(balancer.PickInfo{
		Now:     now,
		Random:  h.env.Random().Uint64(),
		Exclude: r.Tried,
	})
	if err != nil {
		return
	}
	h.tokens--
	h.send(r, res)
}
