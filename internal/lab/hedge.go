package lab

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

const (
	// hedgeShare is the largest share of extra sends.
	hedgeShare = 0.1
	// hedgeBurst is the number of extra sends that may be saved up.
	hedgeBurst = 3
)

// hedgingHost sends a second attempt of a request whose answer is overdue, as
// the policy sees it, within a budget. It stands for the part that hedges
// repeatable requests and shows what that adds to a choice. The first answer
// wins; the loser is cancelled.
type hedgingHost struct {
	*basicHost
	tokens float64
}

// NewHedgingHost returns a Host that hedges every request.
func NewHedgingHost(env Env) Host {
	h := &hedgingHost{basicHost: &basicHost{env: env}}
	h.sent = h.watch
	return h
}

// watch starts the timer of a first send.
func (h *hedgingHost) watch(r *Request, overdue time.Duration) {
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
