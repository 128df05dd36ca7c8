package entry

import (
	"slices"
	"sync/atomic"
	"time"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/configfeed"
	"github.com/dapplespindle/dapplespindle/internal/operator"
	"github.com/dapplespindle/dapplespindle/internal/prober"
	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/configsync"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

const (
	heartbeatEvery = 100 * time.Millisecond
	registryEvery  = time.Second
	// pausedAfter is the silence of the control goroutine after which the
	// process is taken to have been paused.
	pausedAfter = 2 * time.Second
	// wakeWait bounds waiting for a peer's notices after a pause.
	wakeWait = 2 * time.Second
)

// controller owns the configuration in force and the lifecycle of upstreams.
// Its methods run on the control goroutine, but for those in upstreams.go.
type controller struct {
	entry     *Entry
	groups    *groupStore
	registry  *lifecycle.Registry
	snapshot  atomic.Pointer[lifecycle.Snapshot]
	published *operator.Published

	config    configfeed.Snapshot
	addresses int               // of upstreams, as a hint
	revisions map[string]uint64 // of the documents that the registry has
	// publishing is true while a publication waits in the loop's queue.
	publishing bool

	ready     bool
	served    chan struct{} // closed when ready
	readyBy   time.Time     // serve without a peer's notices from then on
	nextTick  time.Time
	watermark configsync.Watermark
	fleet     uint64 // version of the membership that the shares reflect
	placed    uint64 // version of the membership that the turns reflect
	// hostsRevision is that of the newest list of hosts that was read.
	hostsRevision uint64

	started   time.Time
	heartbeat atomic.Int64 // nanoseconds after started
	waking    atomic.Bool  // paused, and no peer's notices were taken in since
	wakeBy    time.Time    // serve without them from then on
}

func newController(e *Entry) *controller {
	c := &controller{
		entry:     e,
		groups:    newGroupStore(e.host, e.conf.FailureDomain),
		registry:  lifecycle.NewRegistry(lifecycle.DefaultConfig(), hostSink{e}),
		published: new(operator.Published),
		revisions: make(map[string]uint64),
		started:   clock.Now(),
		served:    make(chan struct{}),
	}
	c.readyBy = c.started.Add(e.conf.JoinTimeout)
	c.snapshot.Store(new(lifecycle.Snapshot))
	return c
}

// configured takes the documents in force into the registry and publishes.
func (c *controller) configured(s configfeed.Snapshot) {
	now := clock.Now()
	c.config = s
	c.list(now)
	c.groups.prune(services(s), now)
	c.publish()
	_, hosts := rank(c.entry.members.Snapshot())
	c.shareConnections(hosts)
	c.tellOperators()
	c.entry.prober.SetTargets(prober.Targets(services(s), c.entry.conf.MaxEntryHosts, c.entry.conf.Probe.MaxLateness))
}

// list takes the documents that are new into the registry, and out of it the
// services that have none any more.
func (c *controller) list(now time.Time) {
	present := make(map[string]uint64, len(c.config.InForce))
	for _, d := range c.config.InForce {
		present[d.Name] = d.Revision
		if known, ok := c.revisions[d.Name]; !ok || known != d.Revision {
			c.registry.Configure(now, d.Name, d.Revision, lifecycle.UpstreamSpecs(d.Service, activation))
		}
	}
	for name := range c.revisions {
		if _, ok := present[name]; !ok {
			c.registry.Configure(now, name, c.config.Frontier, nil)
		}
	}
	c.revisions = present
}

func activation(u *config.Upstream) uint64 { return u.Activation }

func services(s configfeed.Snapshot) []*config.Service {
	out := make([]*config.Service, 0, len(s.InForce))
	for _, d := range s.InForce {
		out = append(out, d.Service)
	}
	return out
}

// publish hands a new lifecycle and the routing table that reflects it to the
// traffic goroutines, in this order.
func (c *controller) publish() {
	snapshot, news := c.registry.Flush()
	c.entry.notices.Broadcast(news)
	if snapshot != nil {
		c.snapshot.Store(snapshot)
	}
	if !c.mayServe() {
		return
	}
	c.groups.lifecycle = c.snapshot.Load()
	c.entry.proxy.SetTable(routing.Compile(c.config.Frontier, services(c.config), c.groups))
	if !c.ready {
		c.ready = true
		close(c.served)
		c.entry.emit(event.Event{Code: event.ProcessReady})
	}
}

// mayServe reports whether the host has a configuration, and has heard from a
// peer which upstreams are leaving, or waited long enough for one.
func (c *controller) mayServe() bool {
	if c.ready || !c.config.Ready {
		return c.ready
	}
	return c.entry.notices.Fetched() || len(c.entry.peerAddresses()) == 0 || clock.Now().After(c.readyBy)
}

// tick runs every heartbeatEvery.
func (c *controller) tick(now time.Time) {
	c.stepWake(now)
	c.heartbeat.Store(int64(clock.Since(c.started)))
	if now.After(c.nextTick) {
		c.nextTick = now.Add(registryEvery)
		c.registry.Tick(now)
		c.groups.rests.Tick(now)
		c.groups.limits.Tick(now)
		c.reportDrained(now)
		c.publishChanged()
	}
	if !c.ready {
		c.publish()
	}
	c.shareFleet()
	c.takePlace(now)
	c.tellPeers()
}

// silent is how long the control goroutine has not run.
func (c *controller) silent() time.Duration {
	return clock.Since(c.started) - time.Duration(c.heartbeat.Load())
}

// stepWake asks peers which upstreams left while this process was paused. It
// runs before the heartbeat, so that Resuming has no gap.
func (c *controller) stepWake(now time.Time) {
	if c.ready && c.silent() > pausedAfter {
		c.waking.Store(true)
		c.wakeBy = now.Add(wakeWait)
		c.entry.notices.Refetch()
	}
	if c.waking.Load() && (c.entry.notices.Fetched() || len(c.entry.peerAddresses()) == 0 || now.After(c.wakeBy)) {
		c.waking.Store(false)
	}
}

// shareFleet adapts this host's shares to the entry hosts that are alive. No
// promise rests on them: they bound queues and connections.
func (c *controller) shareFleet() {
	s := c.entry.members.Snapshot()
	if s.Version == c.fleet {
		return
	}
	c.fleet = s.Version
	self, hosts := rank(s)
	c.entry.proxy.SetEntryHosts(hosts)
	for i := range s.Members {
		if s.Members[i].State == membership.Dead {
			c.entry.pool.Remove(s.Members[i].Address.String())
		}
	}
	c.shareConnections(hosts)
	if c.groups.share(self, hosts) && c.ready {
		c.publish()
	}
}

// takePlace takes in this host's number for its turns at upstreams, once it knows others or
// has waited for them. Those held for dead count too: they may be on the other side of a
// split, and serve there.
func (c *controller) takePlace(now time.Time) {
	s := c.entry.members.Snapshot()
	if s.Version == c.placed || !s.Joined && now.Before(c.readyBy) {
		return
	}
	c.placed = s.Version
	self := slices.IndexFunc(s.Members, func(m membership.Member) bool { return m.Address == s.Self.Address })
	c.groups.options.Schedule.Set(now, timeslot.Position{Self: self, Hosts: len(s.Members)})
}

// rank returns this host's place among the usable members, and their number.
func rank(s *membership.Snapshot) (self, hosts int) {
	for i := range s.Members {
		m := &s.Members[i]
		if m.Address == s.Self.Address {
			self = hosts
		}
		if m.Usable() || m.Address == s.Self.Address {
			hosts++
		}
	}
	return self, max(hosts, 1)
}

// shareConnections divides each upstream's connections among the entry hosts,
// and closes those to upstreams that are gone.
func (c *controller) shareConnections(hosts int) {
	limits := make(map[string]int, c.addresses)
	for _, d := range c.config.InForce {
		for g := range d.Groups {
			for _, u := range d.Groups[g].Upstreams {
				limits[upstream.Target(u.Address, d.Groups[g].TLS)] = max(u.MaxConnections/hosts, 1)
			}
		}
	}
	c.addresses = len(limits)
	c.entry.client.SetLimits(limits)
}

// publishChanged publishes if the registry has anything new.
func (c *controller) publishChanged() {
	if c.registry.Changed() {
		c.publish()
	}
}

// publishSoon publishes what is new after the news that already waits in the
// queue: many upstreams that are lost at once cost one publication. Nothing
// that comes later delays it.
func (c *controller) publishSoon() {
	if c.publishing || !c.registry.Changed() {
		return
	}
	c.publishing = c.entry.loop.Post(func() {
		c.publishing = false
		c.publishChanged()
	})
	if !c.publishing {
		c.publishChanged()
	}
}

// reportDrained tells the registry which leaving upstreams have nothing of this
// host in flight, in any group of their service.
func (c *controller) reportDrained(now time.Time) {
	idle := make(map[lifecycle.UpstreamKey]bool)
	leaving := c.registry.Leaving()
	for key, g := range c.groups.groups {
		for _, id := range leaving[key.service] {
			if u := g.upstreams[id]; u != nil {
				member := lifecycle.UpstreamKey{Service: key.service, Upstream: id}
				before, known := idle[member]
				idle[member] = u.Outstanding() == 0 && (before || !known)
			}
		}
	}
	for member, done := range idle {
		if done {
			c.registry.InFlight(now, member, 0)
		}
	}
}

// merge takes in notices of a peer.
func (c *controller) merge(now time.Time, list []lifecycle.Notice) {
	for _, n := range list {
		c.registry.Merge(now, n)
	}
	c.publishSoon()
}

// tellPeers publishes the watermark with this host's membership entry.
func (c *controller) tellPeers() {
	w := c.entry.feed.Watermark()
	if w == c.watermark {
		return
	}
	if c.entry.members.SetMetadata(w.Encode()) == nil {
		c.watermark = w
		c.tellOperators()
	}
}

// tellOperators publishes the configuration in force to the operators' service.
func (c *controller) tellOperators() {
	w := c.entry.feed.Watermark()
	state := &plan.State{Revision: w.Frontier, Digest: w.Digest}
	for _, d := range c.config.InForce {
		state.Documents = append(state.Documents, plan.Document{Service: d.Service, Revision: d.Revision})
	}
	c.published.Store(state)
}

// observe adds to an operator's view of an upstream what this host knows. It
// runs on any goroutine.
func (c *controller) observe(service, group string, out *operatorv1.UpstreamStatus) {
	view, ok := c.snapshot.Load().View(lifecycle.UpstreamKey{Service: service, Upstream: out.Id})
	if ok {
		out.Condition = view.State
	}
}

// hostSink adds this host's name to the events of a part that has none.
type hostSink struct {
	entry *Entry
}

// Emit implements event.Sink.
func (s hostSink) Emit(e event.Event) {
	e.EntryHost = s.entry.host
	s.entry.sink.Emit(e)
}
