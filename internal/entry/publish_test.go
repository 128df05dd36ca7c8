package entry

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

// runQueue lets an idle entry host do what was posted so far, and what that
// posted, without its timers.
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

func TestNewsThatWaitsIsPublishedTogether(t *testing.T) {
	is := is.New(t)
	e, snapshot := configuredEntry(t, fleetSize{services: 2, upstreams: 200})
	e.loop = control.NewLoop()
	before := e.control.Snapshot().Version
	for _, d := range snapshot.InForce {
		for _, u := range d.Groups[0].Upstreams {
			e.control.Leaving(lifecycle.MemberKey{Service: d.Name, Upstream: u.ID}, 0)
		}
	}
	runQueue(t, e)
	after := e.control.Snapshot()
	is.Equal(after.Version, before+1) // one publication
	for _, d := range snapshot.InForce {
		for _, u := range d.Groups[0].Upstreams {
			is.True(!after.Takes(lifecycle.MemberKey{Service: d.Name, Upstream: u.ID}))
		}
	}
	e.control.ConnectFailed(lifecycle.MemberKey{Service: "service-000", Upstream: "none"})
	runQueue(t, e)
	is.Equal(e.control.Snapshot().Version, before+1) // nothing new
}

// BenchmarkLostDomain is the loss of one failure domain of 29 at once, as
// failed connections: news of 1/29 of all upstreams.
func BenchmarkLostDomain(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		e, snapshot := configuredEntry(b, s)
		e.loop = control.NewLoop()
		for b.Loop() {
			for _, d := range snapshot.InForce {
				for _, u := range d.Groups[0].Upstreams {
					if u.FailureDomain == "domain-07" {
						loseAndRegain(e, lifecycle.MemberKey{Service: d.Name, Upstream: u.ID})
					}
				}
			}
			runQueue(b, e)
		}
	})
}

// loseAndRegain posts the news that an upstream can't be reached, and that it
// is reached again, so that each round of a benchmark begins alike.
func loseAndRegain(e *Entry, key lifecycle.MemberKey) {
	for range lifecycle.DefaultConfig().ConnectFailures {
		e.control.ConnectFailed(key)
	}
	e.control.Reached(key)
}
