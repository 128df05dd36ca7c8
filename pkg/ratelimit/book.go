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
	// keepReleased is how long an upstream without a record is remembered: its entry may be
	// missing for a while. The store's outages that are known take less.
	keepReleased = 10 * time.Minute
)

// Server names one start of an upstream among all hosts.
type Server struct {
	// IDHash is a hash of its id.
	IDHash uint64
	// StartedAt is its start as it says itself; 0 if it does not.
	StartedAt int64
}

// ServerOf returns the server of an id and a start.
func ServerOf(id string, born int64) Server { return Server{xxhash.Sum64String(id), born} }

// Update is what a host knows of the limit of one upstream, as it tells others.
type Update struct {
	Server Server
	// PerSecond is the limit in force.
	PerSecond float64
	// Ended states that the upstream names no limit any more.
	Ended bool
	// Age is how long ago it said so.
	Age time.Duration
}

// maxAge bounds the age of news: hosts hear a limit anew with each answer, and an older
// word than this is of a clock that is wrong.
const maxAge = 24 * time.Hour

// ErrInvalidUpdate means that news of another host can't be true.
var ErrInvalidUpdate = errors.New("news of a limit that can't be true")

// Validate checks news of another host.
func (n *Update) Validate() error {
	if !(n.PerSecond >= 0 && n.PerSecond <= MaxPerSecond) || n.Age < 0 || n.Age > maxAge {
		return errors.Wrapf(ErrInvalidUpdate, "%v a second, %v ago", n.PerSecond, n.Age)
	}
	return nil
}

// ParseAge converts an age in microseconds, as hosts tell it; one that can't be true is
// negative.
func ParseAge(microseconds int64) time.Duration {
	if microseconds < 0 || microseconds > maxAge.Microseconds() {
		return -1
	}
	return time.Duration(microseconds) * time.Microsecond
}

// Registry holds the states of the upstreams that one host has records of. It is safe for
// concurrent use.
type Registry struct {
	turns *timeslot.Schedule

	tally tally
	mu    sync.Mutex
	held  map[Server]*holding
}

// tally tells at a glance whether there is anything to look for.
type tally struct {
	inForce atomic.Int64 // limits
	ended   atomic.Int64 // when one ended last, Unix time in ns
}

type holding struct {
	state    *State
	records  int
	released time.Time // when the last record was given up
}

// NewRegistry returns an empty book of a host whose turns are given.
func NewRegistry(t *timeslot.Schedule) *Registry {
	return &Registry{turns: t, held: make(map[Server]*holding)}
}

// Acquire returns the state for a record of an upstream, the same for all records of an id and
// a start.
func (b *Registry) Acquire(id string, born int64) *State {
	server := ServerOf(id, born)
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.held[server]
	if h == nil {
		h = &holding{state: NewState(id, born, b.turns)}
		h.state.tally = &b.tally
		b.held[server] = h
	}
	h.records++
	return h.state
}

// Release states that a record whose state is s is given up.
func (b *Registry) Release(now time.Time, s *State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.held[s.server]; h != nil && h.state == s {
		h.records--
		h.released = now
	}
}

// Tick forgets the upstreams that have had no record for a while.
func (b *Registry) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for server, h := range b.held {
		if h.records == 0 && now.Sub(h.released) >= keepReleased {
			h.state.forget(now)
			delete(b.held, server)
		}
	}
}

// AnyLimited reports whether any upstream names a limit. A nil Registry knows of none.
func (b *Registry) AnyLimited() bool { return b != nil && b.tally.inForce.Load() > 0 }

// Len returns the number of states held.
func (b *Registry) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.held)
}

// Limited reports whether the upstream with an id, which names no start, names a limit.
func (b *Registry) Limited(id string) bool {
	b.mu.Lock()
	h := b.held[ServerOf(id, 0)]
	b.mu.Unlock()
	return h != nil && h.state.Limited()
}

// Lend uses a turn of this host at an upstream for a request of another host. It is false if
// there is none.
func (b *Registry) Lend(now time.Time, server Server) bool {
	b.mu.Lock()
	h := b.held[server]
	b.mu.Unlock()
	return h != nil && h.state.Lend(now)
}

// Updates returns what other hosts should hear: the limits in force, and those that ended
// lately.
func (b *Registry) Updates(now time.Time) []Update {
	if !b.AnyLimited() && now.UnixNano()-b.tally.ended.Load() >= int64(EndAnnouncePeriod) {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Update
	for _, h := range b.held {
		if n, ok := h.state.Update(now); ok {
			out = append(out, n)
		}
	}
	return out
}

// ApplyPeerUpdates takes in what another host tells, and returns the states that this changes.
func (b *Registry) ApplyPeerUpdates(now time.Time, news []Update) []*State {
	var changed []*State
	for _, n := range news {
		b.mu.Lock()
		h := b.held[n.Server]
		b.mu.Unlock()
		if h != nil && h.state.ApplyPeerUpdate(now, n) {
			changed = append(changed, h.state)
		}
	}
	return changed
}

// forget ends a limit that nobody needs to know any more.
func (s *State) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(now)
}

// Update returns what other hosts should hear; false if there is nothing to say.
func (s *State) Update(now time.Time) (Update, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.current.Load(); n != nil {
		heard := time.Unix(0, n.heard.Load())
		return Update{Server: s.server, PerSecond: n.perSecond, Age: max(now.Sub(heard), 0)}, true
	}
	since := now.Sub(s.ended)
	return Update{Server: s.server, Ended: true, Age: since}, !s.ended.IsZero() && since < EndAnnouncePeriod
}

// ApplyPeerUpdate takes in what another host tells. It reports whether that changes what is known:
// the newest word counts.
func (s *State) ApplyPeerUpdate(now time.Time, news Update) bool {
	said := now.Add(-max(news.Age, 0))
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.current.Load()
	switch {
	case n != nil && said.UnixNano() <= n.heard.Load(), !said.After(s.ended):
		return false
	case !news.Ended:
		return s.name(now, said, news.PerSecond, Peer)
	}
	s.end(said)
	return n != nil
}
