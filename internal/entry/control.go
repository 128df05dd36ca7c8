package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/platform"
	"github.com/dapplespindle/dapplespindle/internal/proxy"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

const platformRetryPause = 500 * time.Millisecond

// control owns the documents in force and publishes the routing table. Its
// methods run on one goroutine.
type control struct {
	host     string
	platform *platform.Client
	wait     time.Duration
	proxy    *proxy.Proxy
	events   event.Sink
	groups   *groupStore
	services map[string]*config.Service
	revision uint64
}

func newControl(host string, p *platform.Client, wait time.Duration, px *proxy.Proxy, events event.Sink) *control {
	return &control{
		host:     host,
		platform: p,
		wait:     wait,
		proxy:    px,
		events:   events,
		groups:   newGroupStore(),
		services: make(map[string]*config.Service),
	}
}

// run watches the platform until ctx ends.
func (c *control) run(ctx context.Context) {
	for ctx.Err() == nil {
		changes, err := c.platform.Watch(ctx, c.revision, c.wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.emit(event.Event{Code: event.PlatformUnreadable, Detail: err.Error()})
			c.pause(ctx)
			continue
		}
		c.apply(changes)
	}
}

func (c *control) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(platformRetryPause):
	}
}

// apply takes the valid documents into force and publishes the table.
func (c *control) apply(changes *platform.Changes) {
	if changes.Revision <= c.revision {
		return
	}
	for _, ch := range changes.Changes {
		c.applyOne(ch)
	}
	c.revision = changes.Revision
	names := slices.Sorted(maps.Keys(c.services))
	services := make([]*config.Service, 0, len(names))
	for _, n := range names {
		services = append(services, c.services[n])
	}
	first := !c.proxy.Ready()
	c.proxy.SetTable(routing.Compile(c.revision, services, c.groups))
	if first {
		c.emit(event.Event{Code: event.ProcessReady})
	}
}

func (c *control) applyOne(ch platform.Change) {
	if ch.Deleted {
		delete(c.services, ch.Key)
		c.emit(event.Event{Code: event.ConfigApplied, Reason: "deleted", Detail: ch.Key, Value: int64(ch.Revision)})
		return
	}
	svc, err := config.Parse(ch.Value)
	if err != nil {
		c.emit(event.Event{Code: event.ConfigRejected, Reason: "invalid", Detail: ch.Key + ": " + err.Error(), Value: int64(ch.Revision)})
		return
	}
	c.services[ch.Key] = svc
	c.emit(event.Event{Code: event.ConfigApplied, Reason: "published", Detail: ch.Key, Value: int64(ch.Revision)})
}

func (c *control) emit(e event.Event) {
	e.At = time.Now()
	e.EntryHost = c.host
	c.events.Emit(e)
}
