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
	heartbeatInterval    = 100 * time.Millisecond
	registryTickInterval = time.Second
	// pauseThreshold is the time without a heartbeat of the control goroutine after which
	// the process is considered to have been paused.
	pauseThreshold = 2 * time.Second
	// resumeTimeout bounds waiting for a peer's notices after a pause.
	resumeTimeout = 2 * time.Second
)

// controller owns the current configuration and the lifecycle of upstreams. Its
// methods run on the control goroutine, except those in upstreams.go.
type controller struct {
	entry     *Entry
	groups    *groupStore
	registry  *lifecycle.Registry
	snapshot  atomic.Pointer[lifecycle.Snapshot]
	published *operator.Published

	config       configfeed.Snapshot
	addressCount int               // of upstreams, as a size hint
	revisions    map[string]uint64 // of the documents in the registry
	// publishPending is true while a publication is in the loop's queue.
	publishPending bool

	ready           bool
	readyCh         chan struct{} // closed when ready
	readyBy         time.Time     // when to serve even without a peer's notices
	nextTick        time.Time
	watermark       configsync.Watermark
	sharesVersion   uint64 // version of the membership that the shares reflect
	positionVersion uint64 // version of the membership that the time slots reflect
	// hostsRevision is the revision of the newest host list that was read.
	hostsRevision uint64

	started   time.Time
	heartbeat atomic.Int64 // nanoseconds since started
	resuming  atomic.Bool  // was paused and has not merged a peer's notices since
	resumeBy  time.Time    // when to serve even without them
}

func newController(e *Entry) *controller {
	c := &controller{
		entry:     e,
		groups:    newGroupStore(e.host, e.conf.FailureDomain),
		registry:  lifecycle.NewRegistry(lifecycle.DefaultConfig(), hostSink{e}),
		published: new(operator.Published),
		revisions: make(map[string]uint64),
		started:   clock.Now(),
		readyCh:   make(chan struct{}),
	}
	c.readyBy = c.started.Add(e.conf.JoinTimeout)
	c.snapshot.Store(new(lifecycle.Snapshot))
	return c
}

// applyConfiguration updates the registry to the current documents and publishes.
func (c *controller) applyConfiguration(s configfeed.Snapshot) {
	now := clock.Now()
	c.config = s
	c.configureRegistry(now)
	c.groups.prune(services(s), now)
	c.publish()
	_, hosts := rank(c.entry.members.Snapshot())
	c.shareConnections(hosts)
	c.publishToOperators()
	c.entry.prober.SetTargets(prober.Targets(services(s), c.entry.conf.MaxEntryHosts, c.entry.conf.Probe.MaxLateness))
}

// configureRegistry passes new and changed documents to the registry, and removes the
// services that no longer have a document.
func (c *controller) configureRegistry(now time.Time) {
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

// publish makes a new lifecycle, and then the routing table that reflects it, visible
// to the goroutines that serve requests.
func (c *controller) publish() {
	snapshot, notices := c.registry.Flush()
	c.entry.notices.Broadcast(notices)
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
		close(c.readyCh)
		c.entry.emit(event.Event{Code: event.ProcessReady})
	}
}

// mayServe reports whether the host has a configuration, and has either fetched a
// peer's notices of leaving upstreams or waited for them long enough.
func (c *controller) mayServe() bool {
	if c.ready || !c.config.Ready {
		return c.ready
	}
	return c.entry.notices.Fetched() || len(c.entry.peerAddresses()) == 0 || clock.Now().After(c.readyBy)
}

// tick runs every heartbeatInterval.
func (c *controller) tick(now time.Time) {
	c.updateResuming(now)
	c.heartbeat.Store(int64(clock.Since(c.started)))
	if now.After(c.nextTick) {
		c.nextTick = now.Add(registryTickInterval)
		c.registry.Tick(now)
		c.groups.backoffs.Tick(now)
		c.groups.limits.Tick(now)
		c.reportDrained(now)
		c.publishChanged()
	}
	if !c.ready {
		c.publish()
	}
	c.updateShares()
	c.updatePosition(now)
	c.publishWatermark()
}

// sinceHeartbeat returns the time since the control goroutine last ran.
func (c *controller) sinceHeartbeat() time.Duration {
	return clock.Since(c.started) - time.Duration(c.heartbeat.Load())
}

// updateResuming fetches from peers which upstreams left while this process was paused.
// It runs before the heartbeat, so that Resuming has no gap.
func (c *controller) updateResuming(now time.Time) {
	if c.ready && c.sinceHeartbeat() > pauseThreshold {
		c.resuming.Store(true)
		c.resumeBy = now.Add(resumeTimeout)
		c.entry.notices.Refetch()
	}
	if c.resuming.Load() && (c.entry.notices.Fetched() || len(c.entry.peerAddresses()) == 0 || now.After(c.resumeBy)) {
		c.resuming.Store(false)
	}
}

// updateShares adapts this host's shares to the entry hosts that are alive. No
// guarantee depends on the shares: they only bound queues and connections.
func (c *controller) updateShares() {
	s := c.entry.members.Snapshot()
	if s.Version == c.sharesVersion {
		return
	}
	c.sharesVersion = s.Version
	self, hosts := rank(s)
	c.entry.proxy.SetEntryHosts(hosts)
	for i := range s.Members {
		if s.Members[i].State == membership.Dead {
			c.entry.pool.Remove(s.Members[i].Address.String())
		}
	}
	c.shareConnections(hosts)
	if c.groups.setFleet(self, hosts) && c.ready {
		c.publish()
	}
}

// updatePosition sets this host's position in the schedule of time slots, once it knows
// other hosts or has waited for them. Hosts considered dead count too: they may be on the
// other side of a network partition and serve there.
func (c *controller) updatePosition(now time.Time) {
	s := c.entry.members.Snapshot()
	if s.Version == c.positionVersion || !s.Joined && now.Before(c.readyBy) {
		return
	}
	c.positionVersion = s.Version
	self := slices.IndexFunc(s.Members, func(m membership.Member) bool { return m.Address == s.Self.Address })
	c.groups.options.Schedule.Set(now, timeslot.Position{Self: self, Hosts: len(s.Members)})
}

// rank returns this host's position among the usable members, and their number.
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

// shareConnections divides each upstream's connections among the entry hosts, and
// closes connections to upstreams that are gone.
func (c *controller) shareConnections(hosts int) {
	limits := make(map[string]int, c.addressCount)
	for _, d := range c.config.InForce {
		for g := range d.Groups {
			for _, u := range d.Groups[g].Upstreams {
				limits[upstream.Target(u.Address, d.Groups[g].TLS)] = max(u.MaxConnections/hosts, 1)
			}
		}
	}
	c.addressCount = len(limits)
	c.entry.client.SetLimits(limits)
}

// publishChanged publishes if the registry has changed.
func (c *controller) publishChanged() {
	if c.registry.Changed() {
		c.publish()
	}
}

// publishSoon publishes changes after the updates that are already queued, so that
// losing many upstreams at once costs one publication. Later updates do not delay it.
func (c *controller) publishSoon() {
	if c.publishPending || !c.registry.Changed() {
		return
	}
	c.publishPending = c.entry.loop.Post(func() {
		c.publishPending = false
		c.publishChanged()
	})
	if !c.publishPending {
		c.publishChanged()
	}
}

// reportDrained tells the registry which leaving upstreams have no requests of this host
// in flight in any group of their service.
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

// mergeNotices merges a peer's notices into the registry.
func (c *controller) mergeNotices(now time.Time, list []lifecycle.Notice) {
	for _, n := range list {
		c.registry.Merge(now, n)
	}
	c.publishSoon()
}

// publishWatermark publishes the watermark in this host's membership entry.
func (c *controller) publishWatermark() {
	w := c.entry.feed.Watermark()
	if w == c.watermark {
		return
	}
	if c.entry.members.SetMetadata(w.Encode()) == nil {
		c.watermark = w
		c.publishToOperators()
	}
}

// publishToOperators publishes the current configuration to the operators' service.
func (c *controller) publishToOperators() {
	w := c.entry.feed.Watermark()
	state := &plan.State{Revision: w.Frontier, Digest: w.Digest}
	for _, d := range c.config.InForce {
		state.Documents = append(state.Documents, plan.Document{Service: d.Service, Revision: d.Revision})
	}
	c.published.Store(state)
}

// observe adds this host's observations of an upstream to its status for operators. It
// may run on any goroutine.
func (c *controller) observe(service, group string, out *operatorv1.UpstreamStatus) {
	view, ok := c.snapshot.Load().View(lifecycle.UpstreamKey{Service: service, Upstream: out.Id})
	if ok {
		out.Condition = view.State
	}
}

// hostSink adds this host's name to the events of components that do not set it.
type hostSink struct {
	entry *Entry
}

// Emit implements event.Sink.
func (s hostSink) Emit(e event.Event) {
	e.EntryHost = s.entry.host
	s.entry.sink.Emit(e)
}
