package proxy

import (
	"context"
	"sync/atomic"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// LoadQuerier asks upstreams for their load.
type LoadQuerier interface {
	// Query asks all of them at once, at the path, and returns when each has
	// answered or was given up. What they said is in their records then.
	Query(ctx context.Context, group *routing.Group, upstreams []*balancer.Upstream)
}

// WithLoadQuerier asks upstreams through a for policies that choose on fresh reports.
func WithLoadQuerier(a LoadQuerier) Option { return func(p *Proxy) { p.asker = a } }

// ask lets a policy learn what it needs for the choice that comes next.
func (x *exchange) ask(ctx context.Context, group *routing.Group, info *balancer.PickInfo) {
	if !x.asks(group) {
		return
	}
	policy := group.Picker.(balancer.LoadQuerier)
	for round := 0; ctx.Err() == nil; round++ {
		list := policy.QueryTargets(*info, round)
		list = list[:x.state.group.questions.take(len(list))]
		if len(list) == 0 {
			return
		}
		x.proxy.asker.Query(ctx, group, list)
		info.Now = clock.Now()
	}
}

// asks reports whether upstreams of the group are asked for their load before a choice.
func (x *exchange) asks(group *routing.Group) bool {
	_, ok := group.Picker.(balancer.LoadQuerier)
	return ok && x.proxy.asker != nil && group.Config.HealthPath != ""
}

// The bound on questions: upstreams pay for them with slot time.
const (
	// questionsPerRequest is what each request adds, on average.
	questionsPerRequest = 6
	// questionsPerLook is what each look of a waiting request adds when no send of
	// this host has ended for a while. With two, 17 hosts asked 5,800 times a second
	// in a burst; at 6 ms each that is a slot of each of 32 upstreams.
	questionsPerLook = 1
	// maxQuestions is the most that can be saved up.
	maxQuestions = 60
)

// questions bounds how often a group's upstreams are asked, by the requests
// that the group gets. It is safe for concurrent use.
type questions struct {
	left atomic.Int64
}

// arrived adds what one request allows.
func (q *questions) arrived() { q.earn(questionsPerRequest) }

// looked adds what one look of a waiting request allows.
func (q *questions) looked() { q.earn(questionsPerLook) }

func (q *questions) earn(n int64) {
	if left := q.left.Load(); left < maxQuestions {
		q.left.CompareAndSwap(left, min(left+n, maxQuestions))
	}
}

// take returns how many of n questions may be asked now.
func (q *questions) take(n int) int {
	for {
		left := q.left.Load()
		granted := min(int64(n), max(left, 0))
		if granted == 0 || q.left.CompareAndSwap(left, left-granted) {
			return int(granted)
		}
	}
}
