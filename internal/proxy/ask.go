package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// Asker asks upstreams for their load.
type Asker interface {
	// Ask asks all of them at once, at the path, and returns when each has
	// answered or was given up. What they said is in their records then.
	Ask(ctx context.Context, group *routing.Group, upstreams []*balancer.Upstream)
}

// WithAsker asks upstreams through a for policies that choose on fresh reports.
func WithAsker(a Asker) Option { return func(p *Proxy) { p.asker = a } }

// ask lets a policy learn what it needs for the choice that comes next. It
// returns how many upstreams were asked.
func (x *exchange) ask(ctx context.Context, group *routing.Group, info *balancer.PickInfo) int {
	policy, ok := group.Picker.(balancer.Asker)
	if !ok || x.proxy.asker == nil || group.Config.HealthPath == "" {
		return 0
	}
	asked := 0
	for round := 0; ctx.Err() == nil; round++ {
		list := policy.Ask(*info, round)
		wanted := len(list)
		list = list[:x.state.group.questions.take(wanted)]
		if len(list) == 0 {
			info.Unasked = wanted > 0
			break
		}
		x.proxy.asker.Ask(ctx, group, list)
		asked += len(list)
		info.Now = time.Now()
	}
	return asked
}

// The bound on questions: upstreams pay for them with slot time, 6 ms each on the
// platforms known. Without it, the waiting requests of 17 hosts asked 5,800 times
// a second in a burst, which took a slot of each of 32 upstreams.
const (
	// maxPerRequest is what a request adds where each question finds a good
	// upstream.
	maxPerRequest = 6
	// minPerRequest is what it adds where none does, because most are full or slow.
	minPerRequest = 2
	// perLook is what a waiting request's look for room adds when no send of this
	// host has ended for a while. With less, hosts that had learned that asking
	// does not help never learned when it did again.
	perLook = 1
	// maxQuestions is the most that can be saved up.
	maxQuestions = 60
	// missWeight is the weight of one question in the moving share of those that
	// found nothing, as a divisor.
	missWeight = 64
)

// questions bounds how often a group's upstreams are asked, by the requests
// that the group gets and by how often asking helps. It is safe for concurrent
// use.
type questions struct {
	mu   sync.Mutex
	left float64
	// misses is the moving share of questions that found no good upstream.
	misses float64
}

// arrived adds what one request allows.
func (q *questions) arrived() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.add(minPerRequest + (maxPerRequest-minPerRequest)*(1-q.misses))
}

// looked adds what one look of a waiting request allows.
func (q *questions) looked() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.add(perLook)
}

func (q *questions) add(n float64) { q.left = min(q.left+n, maxQuestions) }

// take returns how many of n questions may be asked now.
func (q *questions) take(n int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	granted := min(n, int(q.left))
	q.left -= float64(granted)
	return granted
}

// learn records the questions before one choice, of which the last found what was
// chosen, if anything was.
func (q *questions) learn(asked int, found bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range asked {
		miss := 1.0
		if found && i == asked-1 {
			miss = 0
		}
		q.misses += (miss - q.misses) / missWeight
	}
}
