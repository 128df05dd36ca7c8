package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/discovery"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
)

// TestIdThatReturnsAfterItsStartLeft guards against a new start being taken for one that
// left: an upstream announces in its responses that it is leaving and goes away, and another
// start registers under the same ID after the number of the first may have been discarded.
// The new start must accept requests after any pause.
func TestIdThatReturnsAfterItsStartLeft(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 5 * time.Minute, 30 * time.Minute, 59 * time.Minute, 65 * time.Minute, 75 * time.Minute, 3 * time.Hour} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			conf := lifecycle.DefaultConfig()
			set := discovery.NewSet(discoveryConfig(conf))
			registry := lifecycle.NewRegistry(conf, event.Discard{})
			now, revision := time.Now(), uint64(0)
			list := func() {
				revision++
				var specs []lifecycle.UpstreamSpec
				for _, u := range set.Upstreams("s") {
					specs = append(specs, lifecycle.UpstreamSpec{Upstream: u.ID, Activation: u.Start})
				}
				registry.Configure(now, "s", revision, specs)
			}
			accepts := func() bool {
				s, _ := registry.Flush()
				return s.AcceptsRequests(lifecycle.UpstreamKey{Service: "s", Upstream: "u"})
			}
			set.Put(now, discovery.Upstream{ID: "u", Service: "s", Born: 1, Revision: 1})
			list()
			is.True(accepts())
			registry.RecordLeaving(now, lifecycle.UpstreamKey{Service: "s", Upstream: "u"}, 1)
			is.True(!accepts())
			list() // its entry still says that it is ready
			is.True(!accepts())
			set.Remove(now, "u", 2)
			list()
			for end := now.Add(pause); now.Before(end); now = now.Add(time.Second) {
				set.Tick(now)
				registry.Tick(now)
			}
			set.Put(now, discovery.Upstream{ID: "u", Service: "s", Born: 2, Revision: 3})
			list()
			is.True(accepts())
		})
	}
}

// TestBackoffOutlivesRecords checks that a backoff still holds after the upstream's entry was
// missing for a while, and that it does not apply to the next start.
func TestBackoffOutlivesRecords(t *testing.T) {
	is := is.New(t)
	p := newPools("host", "here")
	entry := discovery.Upstream{ID: "u", Service: "s", Start: 1, Address: "10.0.0.1:80"}
	pl := p.pool("s")
	forget := func(string) {}
	p.refreshPool(pl, []discovery.Upstream{entry}, forget)
	now := time.Now()
	until := pl.records["u"].Backoff.Begin(now, time.Minute, 0)
	p.backoffs.Extend(backoffKey("u", 1), until)
	p.refreshPool(pl, nil, forget)
	p.refreshPool(pl, []discovery.Upstream{entry}, forget)
	is.Equal(pl.records["u"].Backoff.Delay(now), until.Sub(now))
	entry.Start = 2
	p.refreshPool(pl, []discovery.Upstream{entry}, forget)
	is.Equal(pl.records["u"].Backoff.Delay(now), time.Duration(0))
}

// TestLimitOutlivesRecords checks that an upstream's limit and the used time slots still hold
// after its entry was missing for a while, and that they do not apply to the next start.
func TestLimitOutlivesRecords(t *testing.T) {
	is := is.New(t)
	p := newPools("host", "here")
	entry := discovery.Upstream{ID: "u", Service: "s", Start: 1, Born: 7, Address: "10.0.0.1:80"}
	pl := p.pool("s")
	list := func(entries ...discovery.Upstream) { p.refreshPool(pl, entries, func(string) {}) }
	list(entry)
	now := time.Now()
	known := pl.records["u"].Limit
	known.Observe(now, now, ratelimit.Limit{Kind: ratelimit.Limited, PerSecond: 2}, ratelimit.Answer)
	list()
	list(entry)
	is.Equal(pl.records["u"].Limit, known)
	entry.Start, entry.Born = 2, 8
	list(entry)
	is.True(pl.records["u"].Limit != known)
	is.True(!pl.records["u"].Limit.Limited())

	// Peers' updates about the earlier start do not affect the next one.
	update, ok := known.Update(now)
	is.True(ok)
	is.Equal(len(p.limits.ApplyPeerUpdates(now.Add(time.Second), []ratelimit.Update{update})), 0)
	is.True(!pl.records["u"].Limit.Limited())
}
