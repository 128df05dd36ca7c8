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
	// Ask asks all of them at once, at the path, and returns when each has
	// answered or was given up. What they said is in their records then.
	Ask(ctx context.Context, group *routing.Group, upstreams []*balancer.Upstream)
}

// WithAsker asks upstreams through a for policies that choose on fresh reports.
func WithAsker(a LoadQuerier) Option { return func(p *Proxy) { p.loadQuerier = a } }

// ask lets a policy learn what it needs for the choice that comes next.
func (x *exchange) queryLoad(ctx context.Context, group *routing.Group, info *balancer.PickInfo) {
	if !x.queriesLoad(group) {
		return
	}
	policy := group.Picker.(balancer.LoadQuerier)
	for round := 0; ctx.Err() == nil; round++ {
		list := policy.QueryTargets(*info, round)
		list = list[:x.state.group.queryBudget.take(len(list))]
		if len(list) == 0 {
			return
		}
		x.proxy.loadQuerier.Ask(ctx, group, list)
		info.Now = clock.Now()
	}
}

// asks reports whether upstreams of the group are asked for their load before a choice.
func (x *exchange) queriesLoad(group *routing.Group) bool {
	_, ok := group.Picker.(balancer.LoadQuerier)
	return ok && x.proxy.loadQuerier != nil && group.Config.HealthPath != ""
}

// The bound on questions: upstreams pay for them with slot time.
const (
	// questionsPerRequest is what each request adds, on average.
	queriesPerRequest = 6
	// questionsPerLook is what each look of a waiting request adds when no send of
	// this host has ended for a while. With two, 17 hosts asked 5,800 times a second
	// in a burst; at 6 ms each that is a slot of each of 32 upstreams.
	queriesPerRecheck = 1
	// maxQuestions is the most that can be saved up.
	maxSavedQueries = 60
)

// questions bounds how often a group's upstreams are asked, by the requests
// that the group gets. It is safe for concurrent use.
type queryBudget struct {
	available atomic.Int64
}

// arrived adds what one request allows.
func (q *queryBudget) addRequest() { q.add(queriesPerRequest) }

// looked adds what one look of a waiting request allows.
func (q *queryBudget) addRecheck() { q.add(queriesPerRecheck) }

func (q *queryBudget) add(n int64) {
	if left := q.available.Load(); left < maxSavedQueries {
		q.available.CompareAndSwap(left, min(left+n, maxSavedQueries))
	}
}

// take returns how many of n questions may be asked now.
func (q *queryBudget) take(n int) int {
	for {
		left := q.available.Load()
		granted := min(int64(n), max(left, 0))
		if granted == 0 || q.available.CompareAndSwap(left, left-granted) {
			return int(granted)
		}
	}
}
