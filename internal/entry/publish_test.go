package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

// runQueue runs the work that was posted so far to an idle entry host, and the work
// posted by it, without its timers.
func runQueue(tb testing.TB, e *Entry) {
	ctx, cancel := context.WithCancel(tb.Context())
	defer cancel()
	go e.loop.Run(ctx)
	for range 2 {
		if err := e.loop.Call(ctx, func() {}); err != nil {
			tb.Fatal(err)
		}
	}
}

func TestQueuedUpdatesArePublishedTogether(t *testing.T) {
	is := is.New(t)
	e, snapshot := configuredEntry(t, fleetSize{services: 2, upstreams: 200})
	e.loop = control.NewLoop()
	before := e.control.Snapshot().Version
	for _, d := range snapshot.InForce {
		for _, u := range d.Groups[0].Upstreams {
			e.control.Leaving(lifecycle.UpstreamKey{Service: d.Name, Upstream: u.ID}, 0)
		}
	}
	runQueue(t, e)
	after := e.control.Snapshot()
	is.Equal(after.Version, before+1) // one publication
	for _, d := range snapshot.InForce {
		for _, u := range d.Groups[0].Upstreams {
			is.True(!after.AcceptsRequests(lifecycle.UpstreamKey{Service: d.Name, Upstream: u.ID}))
		}
	}
	e.control.ConnectFailed(lifecycle.UpstreamKey{Service: "service-000", Upstream: "none"})
	runQueue(t, e)
	is.Equal(e.control.Snapshot().Version, before+1) // nothing new
}

// TestDrainedConsidersAllGroups checks that an upstream in two groups of a service counts
// as drained only when neither group has requests in flight there.
func TestDrainedConsidersAllGroups(t *testing.T) {
	is := is.New(t)
	e := newIdleEntry(t)
	snapshot := fleetSize{services: 1, upstreams: 2}.snapshot()
	doc := snapshot.InForce[0].Service
	second := doc.Groups[0]
	second.Name = "second"
	doc.Groups = append(doc.Groups, second)
	doc.Rules = append(doc.Rules, config.Rule{Name: "second", Group: "second", Repeat: config.Repeatable})
	e.control.applyConfiguration(snapshot)
	id := doc.Groups[0].Upstreams[0].ID
	key := lifecycle.UpstreamKey{Service: doc.Name, Upstream: id}
	// leaving reports whether the upstream still counts as leaving after all groups are checked.
	leaving := func() bool {
		e.control.reportDrained(time.Now())
		return len(e.control.registry.Leaving()[doc.Name]) > 0
	}
	u := e.control.groups.groups[groupKey{doc.Name, "second"}].upstreams[id]
	started := u.Begin(time.Now())
	e.control.registry.RecordLeaving(time.Now(), key, 0)
	is.True(leaving()) // in flight in the second group
	balancer.Finish(e.control.groups.groups[groupKey{doc.Name, "second"}].picker, started, balancer.Feedback{Now: time.Now()})
	is.True(!leaving())
}

// BenchmarkLostDomain measures losing one failure domain of 29 at once, seen as failed
// connections: updates about 1/29 of all upstreams.
func BenchmarkLostDomain(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		e, snapshot := configuredEntry(b, s)
		e.loop = control.NewLoop()
		for b.Loop() {
			for _, d := range snapshot.InForce {
				for _, u := range d.Groups[0].Upstreams {
					if u.FailureDomain == "domain-07" {
						failAndReconnect(e, lifecycle.UpstreamKey{Service: d.Name, Upstream: u.ID})
					}
				}
			}
			runQueue(b, e)
		}
	})
}

// failAndReconnect posts that connections to an upstream fail and that one succeeds
// again, so that each iteration of a benchmark begins in the same state.
func failAndReconnect(e *Entry, key lifecycle.UpstreamKey) {
	for range lifecycle.DefaultConfig().ConnectFailures {
		e.control.ConnectFailed(key)
	}
	e.control.ConnectSucceeded(key)
}
