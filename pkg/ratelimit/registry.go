package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

const (
	// EndAnnouncePeriod is how long the end of a limit is repeated to other hosts.
	EndAnnouncePeriod = 5 * time.Second
	// releasedRetention is how long the state of an upstream without a record is kept, because
	// its entry may be missing for a while. All known outages of the store were shorter.
	releasedRetention = 10 * time.Minute
)

// Server identifies one start of an upstream among all hosts.
type Server struct {
	// IDHash is a hash of the upstream's id.
	IDHash uint64
	// StartedAt is the start time that the upstream itself reports; 0 if it reports none.
	StartedAt int64
}

// ServerOf returns the Server for an upstream's id and start time.
func ServerOf(id string, startedAt int64) Server { return Server{xxhash.Sum64String(id), startedAt} }

// Update is what a host sends to other hosts about the limit of one upstream.
type Update struct {
	Server Server
	// PerSecond is the current limit.
	PerSecond float64
	// Ended states that the upstream announces no limit any more.
	Ended bool
	// Age is the time since the upstream announced this.
	Age time.Duration
}

// maxAge bounds the age of an update: each response announces a limit anew, so that an update
// that is older than this comes from a host whose clock is wrong.
const maxAge = 24 * time.Hour

// ErrInvalidUpdate is returned for an update of another host that cannot be true. Its text is
// part of the response to that host.
var ErrInvalidUpdate = errors.New("news of a limit that can't be true")

// Validate checks an update of another host.
func (u *Update) Validate() error {
	if !(u.PerSecond >= 0 && u.PerSecond <= MaxPerSecond) || u.Age < 0 || u.Age > maxAge {
		return errors.Wrapf(ErrInvalidUpdate, "%v a second, %v ago", u.PerSecond, u.Age)
	}
	return nil
}

// ParseAge converts an age in microseconds, as hosts send it. It returns a negative duration
// for an age that cannot be true.
func ParseAge(microseconds int64) time.Duration {
	if microseconds < 0 || microseconds > maxAge.Microseconds() {
		return -1
	}
	return time.Duration(microseconds) * time.Microsecond
}

// Registry holds the states of the upstreams that one host has records of. It is safe for
// concurrent use.
type Registry struct {
	schedule *timeslot.Schedule

	counters counters
	mu       sync.Mutex
	entries  map[Server]*entry
}

// counters show without a lock whether any state has something to send.
type counters struct {
	active  atomic.Int64 // number of limits that currently hold
	lastEnd atomic.Int64 // when a limit last ended, Unix time in ns
}

type entry struct {
	state    *State
	records  int
	released time.Time // when a record was last released
}

// NewRegistry returns an empty registry of a host with the given schedule.
func NewRegistry(t *timeslot.Schedule) *Registry {
	return &Registry{schedule: t, entries: make(map[Server]*entry)}
}

// Acquire returns the state for a record of an upstream. All records with the same id and start
// time share one state.
func (r *Registry) Acquire(id string, startedAt int64) *State {
	server := ServerOf(id, startedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[server]
	if e == nil {
		e = &entry{state: NewState(id, startedAt, r.schedule)}
		e.state.counters = &r.counters
		r.entries[server] = e
	}
	e.records++
	return e.state
}

// Release states that a record with state s no longer exists.
func (r *Registry) Release(now time.Time, s *State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[s.server]; e != nil && e.state == s {
		e.records--
		e.released = now
	}
}

// Tick removes the upstreams that have had no record for a while.
func (r *Registry) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, e := range r.entries {
		if e.records == 0 && now.Sub(e.released) >= releasedRetention {
			e.state.forget(now)
			delete(r.entries, server)
		}
	}
}

// AnyLimited reports whether any upstream announces a limit. It is false for a nil Registry.
func (r *Registry) AnyLimited() bool { return r != nil && r.counters.active.Load() > 0 }

// Len returns the number of states held.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// Limited reports whether the upstream with the given id, which reports no start time,
// announces a limit.
func (r *Registry) Limited(id string) bool {
	r.mu.Lock()
	e := r.entries[ServerOf(id, 0)]
	r.mu.Unlock()
	return e != nil && e.state.Limited()
}

// Lend uses a slot of this host at an upstream for a request of another host. It returns false
// if this host has no valid slot there.
func (r *Registry) Lend(now time.Time, server Server) bool {
	r.mu.Lock()
	e := r.entries[server]
	r.mu.Unlock()
	return e != nil && e.state.Lend(now)
}

// Updates returns what to send to other hosts: the current limits, and those that ended
// recently.
func (r *Registry) Updates(now time.Time) []Update {
	if !r.AnyLimited() && now.UnixNano()-r.counters.lastEnd.Load() >= int64(EndAnnouncePeriod) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Update
	for _, e := range r.entries {
		if u, ok := e.state.Update(now); ok {
			out = append(out, u)
		}
	}
	return out
}

// ApplyPeerUpdates applies the updates of another host and returns the states that change.
func (r *Registry) ApplyPeerUpdates(now time.Time, updates []Update) []*State {
	var changed []*State
	for _, u := range updates {
		r.mu.Lock()
		e := r.entries[u.Server]
		r.mu.Unlock()
		if e != nil && e.state.ApplyPeerUpdate(now, u) {
			changed = append(changed, e.state)
		}
	}
	return changed
}

// forget ends the limit of a state that is removed from the registry.
func (s *State) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(now)
}

// Update returns what to send to other hosts, or false if there is nothing to send.
func (s *State) Update(now time.Time) (Update, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.current.Load(); a != nil {
		announced := time.Unix(0, a.announced.Load())
		return Update{Server: s.server, PerSecond: a.perSecond, Age: max(now.Sub(announced), 0)}, true
	}
	since := now.Sub(s.ended)
	return Update{Server: s.server, Ended: true, Age: since}, !s.ended.IsZero() && since < EndAnnouncePeriod
}

// ApplyPeerUpdate applies an update of another host, unless this host knows of a newer
// announcement. It reports whether the known limit changes.
func (s *State) ApplyPeerUpdate(now time.Time, update Update) bool {
	announced := now.Add(-max(update.Age, 0))
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.current.Load()
	switch {
	case a != nil && announced.UnixNano() <= a.announced.Load(), !announced.After(s.ended):
		return false
	case !update.Ended:
		return s.set(now, announced, update.PerSecond, Peer)
	}
	s.end(announced)
	return a != nil
}
