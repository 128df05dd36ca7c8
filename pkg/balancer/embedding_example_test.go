package balancer_test

import (
	"errors"
	"fmt"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/spindle"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
	"github.com/dapplespindle/dapplespindle/pkg/queue"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
)

// group is what an embedder keeps for one group of upstreams.
type group struct {
	picker  balancer.Picker
	limiter *limit.Limiter
	budget  *retry.Budget
	waiting *queue.Queue[string]
}

// exchangeTime is the duration of an exchange in the example.
const exchangeTime = time.Millisecond

// exchange stands in for the embedder's own HTTP client. The connection to the
// first upstream fails.
func exchange(u *balancer.Upstream) errkind.Kind {
	if u.ID == "a" {
		return errkind.ConnectFailed
	}
	return errkind.None
}

// send makes one attempt and reports the result to the policy and the limiter.
func (g *group) send(u *balancer.Upstream, now time.Time) errkind.Kind {
	call := u.Begin(now)
	kind := exchange(u)
	feedback := balancer.Feedback{Now: now.Add(exchangeTime), Latency: exchangeTime}
	sample := limit.Sample{Latency: exchangeTime}
	if kind != errkind.None {
		feedback.Outcome = balancer.Failed
		sample.Outcome = limit.Refused
	}
	balancer.Finish(g.picker, call, feedback)
	g.limiter.Release(sample)
	return kind
}

// wait queues a request until a slot is free and returns its limiter permit.
func (g *group) wait(now, deadline time.Time) {
	g.limiter.Release(limit.Sample{Outcome: limit.Ignored})
	e := &queue.Entry[string]{Value: "lookup", Priority: queue.Normal, Deadline: deadline}
	reason, _ := g.waiting.Push(now, e, queue.Pace{Service: exchangeTime, Parallel: 6})
	fmt.Println("waits:", reason == queue.Queued)
}

// run serves one repeatable request.
func (g *group) run(now, deadline time.Time) {
	info := balancer.PickInfo{Now: now, Random: 1}
	attempt := retry.Attempt{Repeatable: true, MaxAttempts: 2}
	g.budget.RecordFirst()
	for g.limiter.Acquire(0) {
		choice, err := g.picker.Pick(info)
		if errors.Is(err, balancer.ErrNoSlot) {
			g.wait(info.Now, deadline)
			return
		}
		if err != nil {
			g.limiter.Release(limit.Sample{Outcome: limit.Ignored})
			fmt.Println(err)
			return
		}
		attempt.Kind = g.send(choice.Upstream, info.Now)
		if attempt.Kind == errkind.None {
			fmt.Println("answered by", choice.Upstream.ID)
			return
		}
		info.Now = info.Now.Add(exchangeTime)
		info.Exclude = append(info.Exclude, choice.Upstream)
		attempt.Sent++
		attempt.DeadlineLeft = deadline.Sub(info.Now)
		decision := retry.Decide(attempt, g.budget)
		fmt.Println(choice.Upstream.ID, "failed; retry:", decision)
		if decision != retry.Allowed {
			return
		}
	}
}

// One request through all parts of the request path: limiter, policy, retry budget,
// and the queue if every upstream is estimated to be full.
func Example_callPath() {
	members := []*balancer.Upstream{
		{ID: "a", Address: "10.0.0.1:8080", FailureDomain: "hanoi", Slots: 3},
		{ID: "b", Address: "10.0.0.2:8080", FailureDomain: "bac-ninh", Slots: 3},
	}
	options := balancer.Options{EntryHosts: 1, FailureDomain: "hanoi"}
	g := &group{
		picker:  spindle.Builder{}.Build(options).Update(members),
		limiter: limit.New(1, limit.Bounds{Floor: 1, Ceiling: 6}),
		budget:  retry.NewBudget(10),
		waiting: queue.New[string](8),
	}
	now := time.Unix(1000, 0)
	g.run(now, now.Add(100*time.Millisecond))
	// Output:
	// a failed; retry: allowed
	// answered by b
}
