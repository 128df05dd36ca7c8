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

// exchange stands for the embedder's own client. The first upstream refuses
// the connection.
func exchange(u *balancer.Upstream) errkind.Kind {
	if u.ID == "a" {
		return errkind.ConnectFailed
	}
	return errkind.None
}

// One request through all parts of the call path: limit, policy, retry budget.
// A request for which the limit has no place waits in the queue.
func Example_callPath() {
	now := time.Unix(1000, 0)
	deadline := now.Add(100 * time.Millisecond)
	a := &balancer.Upstream{ID: "a", Address: "10.0.0.1:8080", FailureDomain: "hanoi", Slots: 3}
	b := &balancer.Upstream{ID: "b", Address: "10.0.0.2:8080", FailureDomain: "bac-ninh", Slots: 3}
	options := balancer.Options{EntryHosts: 1, FailureDomain: "hanoi"}
	picker := spindle.Builder{}.Build(options).Update([]*balancer.Upstream{a, b})
	limiter := limit.New(1, limit.Bounds{Floor: 1, Ceiling: 6})
	budget := retry.NewBudget(10)
	waiting := queue.New[string](8)

	info := balancer.PickInfo{Now: now, Random: 1}
	attempt := retry.Attempt{Repeatable: true, MaxAttempts: 2, Left: deadline.Sub(now)}
	budget.First()
	for limiter.Acquire(0) {
		choice, err := picker.Pick(info)
		if errors.Is(err, balancer.ErrNoSlot) {
			limiter.Release(limit.Sample{Outcome: limit.Ignored})
			waiting.Push(now, &queue.Entry[string]{Value: "lookup", Deadline: deadline}, queue.Pace{})
			return
		}
		if err != nil {
			limiter.Release(limit.Sample{Outcome: limit.Ignored})
			fmt.Println(err)
			return
		}
		call := choice.Upstream.Begin(now)
		kind := exchange(choice.Upstream)
		now = now.Add(time.Millisecond)
		if kind == errkind.None {
			balancer.Finish(picker, call, balancer.Feedback{Now: now, Latency: time.Millisecond})
			limiter.Release(limit.Sample{Latency: time.Millisecond})
			fmt.Println("answered by", choice.Upstream.ID)
			return
		}
		balancer.Finish(picker, call, balancer.Feedback{Now: now, Outcome: balancer.Failed})
		limiter.Release(limit.Sample{Outcome: limit.Refused})
		attempt.Sent++
		attempt.Kind = kind
		attempt.Left = deadline.Sub(now)
		decision := retry.Decide(attempt, budget)
		fmt.Println(choice.Upstream.ID, "failed; another send:", decision)
		if decision != retry.Allowed {
			return
		}
		info = balancer.PickInfo{Now: now, Random: 2, Exclude: []*balancer.Upstream{choice.Upstream}}
	}
	// Output:
	// a failed; another send: allowed
	// answered by b
}
