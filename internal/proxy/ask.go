package proxy

import (
	"context"
	"sync/atomic"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// LoadQuerier queries upstreams for their load.
type LoadQuerier interface {
	// Query queries all upstreams concurrently, at the group's health path. It returns when
	// each has responded or timed out; their records then hold the reported loads.
	Query(ctx context.Context, group *routing.Group, upstreams []*balancer.Upstream)
}

// WithLoadQuerier sets the querier for policies that pick by fresh load reports.
func WithLoadQuerier(a LoadQuerier) Option { return func(p *Proxy) { p.loadQuerier = a } }

// queryLoad queries the upstreams whose load the policy needs for the next pick.
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
		x.countQueries(group, list)
		x.proxy.loadQuerier.Query(ctx, group, list)
		info.Now = clock.Now()
	}
}

// queriesLoad reports whether upstreams of the group are queried for their load before a pick.
func (x *exchange) queriesLoad(group *routing.Group) bool {
	_, ok := group.Picker.(balancer.LoadQuerier)
	return ok && x.proxy.loadQuerier != nil && group.Config.HealthPath != ""
}

// Bounds on load queries, which take slot time at the upstreams.
const (
	// queriesPerRequest is the number of queries that each request adds to the budget.
	queriesPerRequest = 6
	// queriesPerRecheck is the number of queries that each recheck of a queued request adds
	// when no attempt of this host has ended for a while. With 2, a burst at 17 hosts sent
	// 5,800 queries a second; at 6 ms each that occupies one slot of each of 32 upstreams.
	queriesPerRecheck = 1
	// maxSavedQueries is the most queries that can accumulate in the budget.
	maxSavedQueries = 60
)

// queryBudget limits the load queries to a group's upstreams in proportion to the
// requests that the group gets. It is safe for concurrent use.
type queryBudget struct {
	available atomic.Int64
}

// addRequest adds the queries of one request.
func (q *queryBudget) addRequest() { q.add(queriesPerRequest) }

// addRecheck adds the queries of one recheck of a queued request.
func (q *queryBudget) addRecheck() { q.add(queriesPerRecheck) }

func (q *queryBudget) add(n int64) {
	if available := q.available.Load(); available < maxSavedQueries {
		q.available.CompareAndSwap(available, min(available+n, maxSavedQueries))
	}
}

// take withdraws up to n queries and returns how many may be sent now.
func (q *queryBudget) take(n int) int {
	for {
		available := q.available.Load()
		granted := min(int64(n), max(available, 0))
		if granted == 0 || q.available.CompareAndSwap(available, available-granted) {
			return int(granted)
		}
	}
}
