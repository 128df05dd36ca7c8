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

// TestIdThatReturnsAfterItsStartLeft: an upstream says in its answers that it leaves, and
// goes; another start under its id comes later, when its number may have been forgotten. It
// takes requests, however long after.
func TestIdThatReturnsAfterItsStartLeft(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 5 * time.Minute, 30 * time.Minute, 59 * time.Minute, 65 * time.Minute, 75 * time.Minute, 3 * time.Hour} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			conf := lifecycle.DefaultConfig()
			set := discovery.NewSet(registeredConfig(conf))
			registry := lifecycle.NewRegistry(conf, event.Discard{})
			now, revision := time.Now(), uint64(0)
			list := func() {
				revision++
				var listings []lifecycle.UpstreamSpec
				for _, u := range set.Upstreams("s") {
					listings = append(listings, lifecycle.UpstreamSpec{Upstream: u.ID, Activation: u.Start})
				}
				registry.Configure(now, "s", revision, listings)
			}
			takes := func() bool {
				s, _ := registry.Flush()
				return s.AcceptsRequests(lifecycle.UpstreamKey{Service: "s", Upstream: "u"})
			}
			set.Put(now, discovery.Upstream{ID: "u", Service: "s", Born: 1, Revision: 1})
			list()
			is.True(takes())
			registry.RecordLeaving(now, lifecycle.UpstreamKey{Service: "s", Upstream: "u"}, 1)
			is.True(!takes())
			list() // its entry still says ready
			is.True(!takes())
			set.Remove(now, "u", 2)
			list()
			for end := now.Add(pause); now.Before(end); now = now.Add(time.Second) {
				set.Tick(now)
				registry.Tick(now)
			}
			set.Put(now, discovery.Upstream{ID: "u", Service: "s", Born: 2, Revision: 3})
			list()
			is.True(takes())
		})
	}
}

// TestRestOutlivesRecords: what an upstream asked for holds when its entry was missing for a
// while, and not for its next start.
func TestRestOutlivesRecords(t *testing.T) {
	is := is.New(t)
	p := newPools("host", "here")
	entry := discovery.Upstream{ID: "u", Service: "s", Start: 1, Address: "10.0.0.1:80"}
	pl := p.pool("s")
	forget := func(string) {}
	p.refreshPool(pl, []discovery.Upstream{entry}, forget)
	now := time.Now()
	until := pl.records["u"].Backoff.Begin(now, time.Minute, 0)
	p.rests.Extend(restKey("u", 1), until)
	p.refreshPool(pl, nil, forget)
	p.refreshPool(pl, []discovery.Upstream{entry}, forget)
	is.Equal(pl.records["u"].Backoff.Delay(now), until.Sub(now))
	entry.Start = 2
	p.refreshPool(pl, []discovery.Upstream{entry}, forget)
	is.Equal(pl.records["u"].Backoff.Delay(now), time.Duration(0))
}

// TestLimitOutlivesRecords: what an upstream names, and the turns that are used, hold when
// its entry was missing for a while, and not for its next start.
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

	// What hosts tell of the earlier start does not touch the next one.
	told, ok := known.Update(now)
	is.True(ok)
	is.Equal(len(p.limits.ApplyPeerUpdates(now.Add(time.Second), []ratelimit.Update{told})), 0)
	is.True(!pl.records["u"].Limit.Limited())
}
