// Package discovery keeps the upstreams that register themselves with a
// store, as one entry host knows them.
//
// News may come late, twice and out of order; each piece carries the store's
// revision. What is known is known of one start of an upstream: it may start again
// under its id, and holds nothing of before then. Draining is final for a start. An
// entry may vanish because its upstream ended, or because its lease ran out while the
// store was away; what vanishes right after the store has come back is therefore kept
// for a while.
//
// The package does no I/O and reads no clock. A Set belongs to one goroutine.
package discovery

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Upstream is one upstream as it registered itself.
type Upstream struct {
	// ID names the upstream, over all of its starts.
	ID string
	// Born is its start that the entry is about, in Unix milliseconds by its own clock;
	// 0 if the entry does not say, and then the id is of one start only.
	Born int64 `json:",omitempty"`
	// Start counts the starts under this id that this host knows of, from 1. Set.Upstreams
	// sets it.
	Start uint64 `json:"-"`
	// Service is what it belongs to.
	Service string
	// Address is "IP:port".
	Address string
	// FailureDomain is where it runs.
	FailureDomain string
	// Slots is the number of requests that it serves at the same time.
	Slots int
	// Draining is true when it is about to end and takes no new requests.
	Draining bool
	// ColdFor is how long it stays slow after its start, from its entry on.
	ColdFor time.Duration
	// Revision is the store's revision of the entry.
	Revision uint64
}

// entry is one id, also after it has vanished.
type entry struct {
	upstream Upstream
	// earlier is newer news about an earlier start than upstream's, and since when it is
	// known; nil if there is none.
	earlier      *Upstream
	earlierSince time.Time
	// revision is that of the newest news, a removal included.
	revision uint64
	gone     bool
	// vanished is when a kept entry went missing in the store; zero if it is there.
	vanished time.Time
}

// Config bounds a Set.
type Config struct {
	// RecoveryGrace is how long after the store came back a vanished entry is kept:
	// the time in which living upstreams register again.
	RecoveryGrace time.Duration
	// TombstoneRetention is how long the id of an upstream that is gone is remembered, so that
	// a read of an old state can't bring it back.
	TombstoneRetention time.Duration
	// EarlierStartDelay is how long news about an earlier start than the known one has to
	// stand before it is believed: longer than two writes of a living upstream are apart.
	// The writes of a start that has ended may arrive after the first ones of the next;
	// and the clock that a start is told by may have been set back.
	EarlierStartDelay time.Duration
}

// Set holds the known upstreams.
type Set struct {
	conf    Config
	entries map[string]*entry
	// listed holds the entries that are not gone, of each service, by id: a change of one
	// upstream costs no look at all the others.
	listed  map[string][]*entry
	changed map[string]bool // services, since the last Changed
	// returned is when the store was last reached again after an outage.
	returned time.Time
	goneAt   map[string]time.Time
}

// NewSet returns an empty set.
func NewSet(conf Config) *Set {
	return &Set{
		conf:    conf,
		entries: make(map[string]*entry),
		listed:  make(map[string][]*entry),
		changed: make(map[string]bool),
		goneAt:  make(map[string]time.Time),
	}
}

// StoreRecovered records that the store is reached again after an outage.
func (s *Set) StoreRecovered(now time.Time) { s.returned = now }

// Put takes in an entry. News that is not newer than what is known is ignored.
func (s *Set) Put(now time.Time, u Upstream) {
	e := s.entries[u.ID]
	if e == nil {
		u.Start = 1
		e = &entry{upstream: u, revision: u.Revision}
		s.entries[u.ID] = e
		s.list(e)
		s.changed[u.Service] = true
		return
	}
	if u.Revision < e.revision || (e.gone && u.Revision == e.revision) {
		return
	}
	e.revision = u.Revision
	if u.Born != 0 && u.Born < e.upstream.Born {
		e.holdBack(now, u)
		return
	}
	s.put(e, u)
}

// holdBack keeps news about an earlier start.
func (e *entry) holdBack(now time.Time, u Upstream) {
	if e.earlier == nil || e.earlier.Born != u.Born {
		e.earlierSince = now
	}
	e.earlier = &u
}

// put lets u replace what is known. What was known of another start is forgotten.
func (s *Set) put(e *entry, u Upstream) {
	old := e.upstream
	u.Start = old.Start
	switch {
	case u.Born != 0 && u.Born != old.Born:
		u.Start++
	default:
		u.Born = old.Born
		u.Draining = u.Draining || old.Draining
	}
	if e.gone || old.Service != u.Service {
		s.unlist(e)
		e.upstream, e.gone = u, false
		s.list(e)
	}
	e.upstream, e.earlier = u, nil
	e.vanished = time.Time{}
	delete(s.goneAt, u.ID)
	s.changed[old.Service] = true
	s.changed[u.Service] = true
}

// Remove takes in that the entry of an id vanished at a revision.
func (s *Set) Remove(now time.Time, id string, revision uint64) {
	e := s.entries[id]
	if e == nil || e.gone || revision < e.revision {
		return
	}
	e.revision = revision
	e.earlier = nil
	if s.keeps(now) && !e.upstream.Draining {
		if e.vanished.IsZero() {
			e.vanished = now
		}
		return
	}
	s.drop(now, e)
}

// keeps reports whether what vanishes now may be back soon.
func (s *Set) keeps(now time.Time) bool {
	return !s.returned.IsZero() && now.Sub(s.returned) < s.conf.RecoveryGrace
}

func (s *Set) drop(now time.Time, e *entry) {
	s.unlist(e)
	e.gone = true
	s.goneAt[e.upstream.ID] = now
	s.changed[e.upstream.Service] = true
}

// Replace takes in a whole listing as of a revision: what is not in it has
// vanished.
func (s *Set) Replace(now time.Time, list []Upstream, revision uint64) {
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		s.Put(now, u)
	}
	for id, e := range s.entries {
		if !listed[id] && e.revision <= revision {
			s.Remove(now, id, revision)
		}
	}
}

// Tick drops the vanished entries whose time to return is over, believes news about an
// earlier start that has stood, and forgets ids that are long gone.
func (s *Set) Tick(now time.Time) {
	for _, e := range s.entries {
		if e.earlier != nil && now.Sub(e.earlierSince) >= s.conf.EarlierStartDelay {
			s.put(e, *e.earlier)
		}
		if !e.gone && !e.vanished.IsZero() && !s.keeps(now) {
			s.drop(now, e)
		}
	}
	for id, at := range s.goneAt {
		if now.Sub(at) > s.conf.TombstoneRetention {
			delete(s.goneAt, id)
			delete(s.entries, id)
		}
	}
}

// Changed returns the services that changed since the last call, sorted.
func (s *Set) Changed() []string {
	names := slices.Sorted(maps.Keys(s.changed))
	clear(s.changed)
	return names
}

// MarkChanged marks the services with upstreams in a failure domain as changed: something
// else about the domain has. It returns the number of these upstreams.
func (s *Set) MarkChanged(failureDomain string) int {
	known := 0
	for _, e := range s.entries {
		if !e.gone && e.upstream.FailureDomain == failureDomain {
			s.changed[e.upstream.Service] = true
			known++
		}
	}
	return known
}

// Upstreams returns the upstreams of a service, by id.
func (s *Set) Upstreams(service string) []Upstream {
	list := s.listed[service]
	if len(list) == 0 {
		return nil
	}
	out := make([]Upstream, len(list))
	for i, e := range list {
		out[i] = e.upstream
	}
	return out
}

// list adds an entry to the upstreams of its service.
func (s *Set) list(e *entry) {
	list := s.listed[e.upstream.Service]
	at, _ := slices.BinarySearchFunc(list, e.upstream.ID, compareID)
	s.listed[e.upstream.Service] = slices.Insert(list, at, e)
}

// unlist takes an entry out of the upstreams of its service, if it is there.
func (s *Set) unlist(e *entry) {
	list := s.listed[e.upstream.Service]
	if at, found := slices.BinarySearchFunc(list, e.upstream.ID, compareID); found {
		s.listed[e.upstream.Service] = slices.Delete(list, at, at+1)
	}
}

func compareID(e *entry, id string) int { return cmp.Compare(e.upstream.ID, id) }
