package gateway

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/storewatch"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/customers"
	"github.com/dapplespindle/dapplespindle/pkg/discovery"
	"github.com/dapplespindle/dapplespindle/pkg/evacuation"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

const (
	// tickEvery is how often unreachable and vanished upstreams are looked at.
	tickEvery = 500 * time.Millisecond
	// returnGrace is how long a vanished entry is kept after this host noticed
	// that the store is back: living upstreams register again within about two
	// seconds of its return, which is noticed up to a second late. Three seconds
	// after its return an upstream that is gone must get nothing any more.
	returnGrace = 1500 * time.Millisecond
	// forgetMargin is how much longer the id of an upstream that is gone is remembered than
	// that one of its starts has left. That is told by the number of the start: an id whose
	// starts were counted anew earlier would count as having left already.
	forgetMargin = 10 * time.Minute
	// earlierAfter is how long an entry of an earlier start has to stand before it is
	// believed: three writes of a living upstream, which are 1.5 seconds apart.
	earlierAfter = 4500 * time.Millisecond
)

// controller owns the configuration in force and the registered upstreams. Its
// methods run on the control goroutine, but for those in upstreams.go.
type controller struct {
	gateway *Gateway
	config  *config.Configuration // in force; nil before the first
	set     *discovery.Set
	listed  bool // the upstreams were read once
	// evacuated holds the failure domains that get nothing new.
	evacuated evacuation.Set
	registry  *lifecycle.Registry
	revision  uint64 // counts the listings given to registry
	pools     *pools
	snapshot  atomic.Pointer[lifecycle.Snapshot]
	served    chan struct{} // closed when the host may serve
	// sharedAmong is the number of hosts among which connections were shared last.
	sharedAmong int
	ready       bool
}

func newController(g *Gateway) *controller {
	upstreams := lifecycle.DefaultConfig()
	c := &controller{
		gateway:  g,
		set:      discovery.NewSet(registeredConfig(upstreams)),
		registry: lifecycle.NewRegistry(upstreams, g.sink),
		pools:    newPools(g.conf.Host, g.conf.FailureDomain),
		served:   make(chan struct{}),
	}
	c.snapshot.Store(new(lifecycle.Snapshot))
	return c
}

// registeredConfig returns the bounds of what is kept of upstreams that register
// themselves, beside what is kept of their lifecycle.
func registeredConfig(upstreams lifecycle.Config) discovery.Config {
	return discovery.Config{
		RecoveryGrace:      returnGrace,
		TombstoneRetention: upstreams.NoticeRetention + forgetMargin,
		EarlierStartDelay:  earlierAfter,
	}
}

// read takes in everything that is published.
func (c *controller) read(s *storewatch.State) {
	c.gateway.emit(event.Event{Code: event.UpstreamsRead, Value: int64(len(s.Upstreams))})
	c.set.Replace(clock.Now(), s.Upstreams, s.Revision)
	c.evacuate(c.evacuated.Replace(s.Evacuated, s.Revision)...)
	c.listed = true
	fresh := c.configure(s.Configuration)
	c.publish(fresh)
}

// enoughUpstreams is how many upstreams of each service a host must know to serve
// before it knows all: it asks up to six before a choice, and home sets have eight.
const enoughUpstreams = 4

// readPart takes in a part of everything that is published. The parts of a fleet's
// hosts differ, so that a part is as good a choice as all, and a host that has just
// started serves by as much earlier as the rest takes: where 473 hosts started at once
// with 719 upstreams and 1,200 routes, the middle one was ready after 0.41 s, and after
// 0.74 s when each read a page of 500 first.
//
// It reports whether the host serves with it.
func (c *controller) readPart(s *storewatch.State) bool {
	if c.listed || !servesWith(s) {
		return false
	}
	c.gateway.emit(event.Event{Code: event.UpstreamsRead, Reason: "part", Value: int64(len(s.Upstreams))})
	now := clock.Now()
	for _, u := range s.Upstreams {
		c.set.Put(now, u)
	}
	c.evacuate(c.evacuated.Replace(s.Evacuated, s.Revision)...)
	c.listed = true
	c.publish(c.configure(s.Configuration))
	return true
}

// servesWith reports whether a part of what is published has enough upstreams of each
// service.
func servesWith(s *storewatch.State) bool {
	if s.Configuration == nil {
		return false
	}
	known := make(map[string]int)
	for i := range s.Upstreams {
		if !s.Upstreams[i].Draining {
			known[s.Upstreams[i].Service]++
		}
	}
	for _, service := range s.Configuration.Services {
		for i := range service.Groups {
			if known[service.Groups[i].Registered] < enoughUpstreams {
				return false
			}
		}
	}
	return true
}

// changed takes in what has changed, and puts it in force at once.
func (c *controller) changed(changes *storewatch.Changes) {
	now := clock.Now()
	for i := range changes.Events {
		c.change(now, &changes.Events[i])
	}
	fresh := false
	for _, newer := range changes.Configurations {
		fresh = c.configure(newer) || fresh
	}
	c.publish(fresh)
}

// change takes in one change.
func (c *controller) change(now time.Time, e *storewatch.Event) {
	switch {
	case e.Evacuation != nil:
		if c.evacuated.Apply(*e.Evacuation, e.Revision) {
			c.evacuate(*e.Evacuation)
		}
	case e.Upstream == nil:
		c.set.Remove(now, e.Removed, e.Revision)
	default:
		c.gateway.emit(event.Event{Code: event.UpstreamRegistered, Service: e.Upstream.Service,
			Upstream: e.Upstream.ID, Reason: stateName(e.Upstream), Value: int64(e.Revision)})
		c.set.Put(now, *e.Upstream)
	}
}

// evacuate lists the upstreams anew of failure domains whose evacuation has begun or
// ended.
func (c *controller) evacuate(changes ...evacuation.Change) {
	for _, change := range changes {
		code := event.DomainEvacuated
		if change.Ended {
			code = event.DomainReturned
		}
		known := c.set.MarkChanged(change.FailureDomain)
		c.gateway.emit(event.Event{Code: code, Reason: change.FailureDomain, Value: int64(known)})
	}
}

func stateName(u *discovery.Upstream) string {
	if u.Draining {
		return "draining"
	}
	return "ready"
}

// returned is told since when the store answers again.
func (c *controller) returned(at time.Time) {
	c.set.StoreRecovered(at)
	time.AfterFunc(clock.Until(at.Add(returnGrace)), func() {
		c.gateway.loop.Post(func() { c.tick(clock.Now()) })
	})
}

// configure takes a configuration in if it is newer than the one in force.
func (c *controller) configure(next *config.Configuration) bool {
	if next == nil {
		return false
	}
	if c.config != nil && next.Version <= c.config.Version {
		if next.Version < c.config.Version {
			c.gateway.emit(event.Event{Code: event.ConfigurationOld, Value: int64(next.Version)})
		}
		return false
	}
	c.config = next
	return true
}

// tick looks after what only time changes.
func (c *controller) tick(now time.Time) {
	c.set.Tick(now)
	c.registry.Tick(now)
	c.pools.rests.Tick(now)
	c.pools.limits.Tick(now)
	c.publish(false)
}

// publish hands what has changed to the traffic goroutines: the lifecycle
// first, then the pickers that reflect it, then the routes that lead to them.
func (c *controller) publish(configured bool) {
	c.relist()
	if s, _ := c.registry.Flush(); s != nil {
		c.snapshot.Store(s)
	}
	c.pools.lifecycle = c.snapshot.Load()
	changed := c.pools.refresh(c.set, c.gateway.client.Forget)
	for _, service := range changed {
		c.republish(service)
	}
	if configured {
		c.enforce()
	}
	if grown := c.pools.takeGrown(); configured || grown {
		c.shareConnections()
	}
	if !c.ready && c.config != nil && c.listed {
		c.ready = true
		close(c.served)
		c.gateway.emit(event.Event{Code: event.ProcessReady})
	}
}

// relist tells the registry of the services whose entries changed.
func (c *controller) relist() {
	now := clock.Now()
	for _, service := range c.set.Changed() {
		c.revision++
		var listings []lifecycle.UpstreamSpec
		for _, u := range c.set.Upstreams(service) {
			listings = append(listings, lifecycle.UpstreamSpec{
				Upstream:   u.ID,
				Draining:   u.Draining,
				Activation: u.Start,
				Evacuated:  c.evacuated.IsEvacuated(u.FailureDomain),
			})
		}
		c.registry.Configure(now, service, c.revision, listings)
	}
}

// republish replaces the picker of a service in the table in force.
func (c *controller) republish(service string) {
	if c.config == nil {
		return
	}
	for _, s := range c.config.Services {
		for i := range s.Groups {
			if s.Groups[i].Registered == service {
				c.gateway.proxy.SetGroup(s, c.pools.Group(s, &s.Groups[i]))
				return
			}
		}
	}
}

// enforce puts the newest configuration in force.
func (c *controller) enforce() {
	table := routing.Compile(c.config.Version, c.config.Services, c.pools)
	if c.config.Keyed {
		table.Customers = customers.Compile(c.config.Customers)
	}
	c.gateway.proxy.SetTable(table)
	if l := c.config.Callers; l != nil {
		c.gateway.server.SetLimits(httpwire.Limits{
			HeadBytes:   l.HeadBytes,
			BodyBytes:   min(l.BodyBytes, maxRequestBytes),
			HeadTimeout: l.HeadTimeout,
			IdleTimeout: l.IdleTimeout,
		})
	}
	c.gateway.emit(event.Event{Code: event.ConfigurationInForce, Value: int64(c.config.Version)})
	c.tellUnserved(table)
}

// tellUnserved writes down what of the configuration in force is refused.
func (c *controller) tellUnserved(t *routing.Table) {
	version := int64(c.config.Version)
	for _, s := range c.config.Services {
		if s.Unserved != "" {
			c.gateway.emit(event.Event{Code: event.ServiceUnserved, Service: s.Name, Detail: s.Unserved, Value: version})
		}
	}
	for i := range c.config.Customers {
		if customer := &c.config.Customers[i]; customer.Unserved != "" {
			c.gateway.emit(event.Event{Code: event.CustomerUnserved, Reason: customer.Name, Detail: customer.Unserved, Value: version})
		}
	}
	if t.Customers == nil {
		return
	}
	if n := t.Customers.Ambiguous(); n > 0 {
		c.gateway.emit(event.Event{Code: event.CustomerUnserved, Detail: strconv.Itoa(n) + " keys stand with several customers", Value: version})
	}
}

// connectionShare returns one host's part of an upstream's bound on connections, of hosts of
// which so many are known; 0 is an unknown number.
func connectionShare(bound, hosts int) int {
	least := minConnections
	if hosts > connectionHosts {
		least = minConnectionsOfMany
	}
	return min(max(bound/max(hosts, connectionHosts), least), connectionsPerUpstream)
}

// hostsChanged shares connections anew where the number of hosts has changed by an eighth: it
// takes a look at each upstream.
func (c *controller) hostsChanged(hosts int) {
	const part = 8
	if change := hosts - c.sharedAmong; change*part > c.sharedAmong || -change*part > c.sharedAmong {
		c.shareConnections()
	}
}

// shareConnections gives this host its part of each upstream's published bound
// on connections.
func (c *controller) shareConnections() {
	if c.config == nil {
		return
	}
	c.sharedAmong = c.gateway.hosts
	limits := make(map[string]int)
	for _, s := range c.config.Services {
		for i := range s.Groups {
			g := &s.Groups[i]
			for _, u := range c.pools.pool(g.Registered).records {
				limits[u.Address] = connectionShare(g.MaxConnections, c.gateway.hosts)
			}
		}
	}
	c.gateway.client.SetLimits(limits)
}
