package proxy

import (
	"context"
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

// ask lets a policy learn what it needs for the choice that comes next.
func (x *exchange) ask(ctx context.Context, group *routing.Group, info *balancer.PickInfo) {
	policy, ok := group.Picker.(balancer.Asker)
	if !ok || x.proxy.asker == nil || group.Config.HealthPath == "" {
		return
	}
	for round := 0; ctx.Err() == nil; round++ {
		list := policy.Ask(*info, round)
		if len(list) == 0 {
			return
		}
		x.proxy.asker.Ask(ctx, group, list)
		info.Now = time.Now()
	}
}
