// Package discovery tracks the upstreams that register themselves with a store, as known to one
// entry host.
//
// Updates may arrive late, twice and out of order; each carries the store's revision. State
// belongs to one start of an upstream: an upstream may start again under its ID, and nothing
// known of the earlier start applies then. Draining is final for a start. An entry may be missing
// because its upstream ended, or because its lease expired during an outage of the store;
// entries found missing right after the store recovered are therefore kept for a while.
//
// The package does no I/O and reads no clock. A Set is not safe for concurrent use.
package discovery

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Upstream is an upstream as it registered itself.
type Upstream struct {
	// ID identifies the upstream across all of its starts.
	ID string
	// Born is the time of the start that the entry describes, in Unix milliseconds by the
	// upstream's own clock; 0 if unknown, and then the ID stands for a single start.
	Born int64 `json:",omitempty"`
	// Start is the number of starts under this ID that this host knows of, including this one.
	// It is set by Set.Upstreams.
	Start uint64 `json:"-"`
	// Service is the service that the upstream belongs to.
	Service string
	// Address is "IP:port".
	Address string
	// FailureDomain is the upstream's failure domain.
	FailureDomain string
	// Slots is the number of requests that the upstream serves concurrently.
	Slots int
	// Draining is true when the upstream is about to end and accepts no new requests.
	Draining bool
	// ColdFor is how long the upstream stays slow after its start, counted from its entry.
	ColdFor time.Duration
	// Revision is the store's revision of the entry.
	Revision uint64
}

// entry is the state of one ID, kept for a while after its removal.
type entry struct {
	upstream Upstream
	// earlier is a newer update that describes an earlier start than upstream does, nil if there
	// is none; earlierSince is when the first such update arrived.
	earlier      *Upstream
	earlierSince time.Time
	// revision is the revision of the newest update, including removals.
	revision uint64
	removed  bool
	// missingSince is when a kept entry was found missing in the store; zero if it is present.
	missingSince time.Time
}

// Config configures a Set.
type Config struct {
	// RecoveryGrace is how long after a recovery of the store missing entries are kept: the
	// time in which running upstreams register again.
	RecoveryGrace time.Duration
	// TombstoneRetention is how long the ID of a removed upstream is remembered, so that a
	// read of an older state can't restore it.
	TombstoneRetention time.Duration
	// EarlierStartDelay is how long an update about an earlier start than the known one must
	// remain unchallenged before it is applied. It is longer than the interval between two
	// writes of a running upstream. Writes of a start that has ended may arrive after the first
	// writes of the next one, and the clock that identifies a start may have been set back.
	EarlierStartDelay time.Duration
}

// Set holds the known upstreams.
type Set struct {
	conf    Config
	entries map[string]*entry
	// byService holds the present entries of each service, sorted by ID, so that a change of one
	// upstream does not require a scan of all entries.
	byService map[string][]*entry
	changed   map[string]bool // services changed since the last call of Changed
	// recoveredAt is when the store last recovered from an outage.
	recoveredAt time.Time
	removedAt   map[string]time.Time
	// complete is the newest revision of a full list. An entry that is not present and not newer
	// was gone by then.
	complete uint64
}

// NewSet returns an empty set.
func NewSet(conf Config) *Set {
	return &Set{
		conf:      conf,
		entries:   make(map[string]*entry),
		byService: make(map[string][]*entry),
		changed:   make(map[string]bool),
		removedAt: make(map[string]time.Time),
	}
}

// StoreRecovered records that the store is reachable again after an outage.
func (s *Set) StoreRecovered(now time.Time) { s.recoveredAt = now }

// Put applies an entry. It is ignored if it is older than what is known.
func (s *Set) Put(now time.Time, u Upstream) {
	e := s.entries[u.ID]
	if (e == nil || e.removed) && u.Revision <= s.complete {
		return
	}
	if e == nil {
		u.Start = 1
		e = &entry{upstream: u, revision: u.Revision}
		s.entries[u.ID] = e
		s.index(e)
		s.changed[u.Service] = true
		return
	}
	if u.Revision < e.revision || (e.removed && u.Revision == e.revision) {
		return
	}
	e.revision = u.Revision
	if u.Born != 0 && u.Born < e.upstream.Born {
		e.holdEarlier(now, u)
		return
	}
	s.put(e, u)
}

// holdEarlier holds back an update about an earlier start.
func (e *entry) holdEarlier(now time.Time, u Upstream) {
	if e.earlier == nil || e.earlier.Born != u.Born {
		e.earlierSince = now
	}
	e.earlier = &u
}

// put replaces the known entry by u. State of another start is discarded.
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
	if e.removed || old.Service != u.Service {
		s.unindex(e)
		e.upstream, e.removed = u, false
		s.index(e)
	}
	e.upstream, e.earlier = u, nil
	e.missingSince = time.Time{}
	delete(s.removedAt, u.ID)
	s.changed[old.Service] = true
	s.changed[u.Service] = true
}

// Remove applies the removal of an entry at a revision.
func (s *Set) Remove(now time.Time, id string, revision uint64) {
	e := s.entries[id]
	if e == nil || e.removed || revision < e.revision {
		return
	}
	e.revision = revision
	e.earlier = nil
	if s.inRecoveryGrace(now) && !e.upstream.Draining {
		if e.missingSince.IsZero() {
			e.missingSince = now
		}
		return
	}
	s.markRemoved(now, e)
}

// inRecoveryGrace reports whether entries found missing now may be registered again soon.
func (s *Set) inRecoveryGrace(now time.Time) bool {
	return !s.recoveredAt.IsZero() && now.Sub(s.recoveredAt) < s.conf.RecoveryGrace
}

func (s *Set) markRemoved(now time.Time, e *entry) {
	s.unindex(e)
	e.removed = true
	s.removedAt[e.upstream.ID] = now
	s.changed[e.upstream.Service] = true
}

// Replace applies a full list as of a revision: entries that are not in it have been removed. A list
// that is older than another one restores nothing that was gone by then.
func (s *Set) Replace(now time.Time, list []Upstream, revision uint64) {
	listed := make(map[string]bool, len(list))
	complete := s.complete
	if revision >= complete {
		s.complete = 0 // what a newer list holds is present
	}
	for _, u := range list {
		listed[u.ID] = true
		s.Put(now, u)
	}
	for id, e := range s.entries {
		if !listed[id] && e.revision <= revision {
			s.Remove(now, id, revision)
		}
	}
	s.complete = max(complete, revision)
}

// Tick removes missing entries after the recovery grace period, applies updates about an earlier
// start that were held back long enough, and deletes expired tombstones.
func (s *Set) Tick(now time.Time) {
	for _, e := range s.entries {
		if e.earlier != nil && now.Sub(e.earlierSince) >= s.conf.EarlierStartDelay {
			s.put(e, *e.earlier)
		}
		if !e.removed && !e.missingSince.IsZero() && !s.inRecoveryGrace(now) {
			s.markRemoved(now, e)
		}
	}
	for id, at := range s.removedAt {
		if now.Sub(at) > s.conf.TombstoneRetention {
			delete(s.removedAt, id)
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

// MarkChanged marks the services with upstreams in a failure domain as changed, because another
// property of the domain has changed. It returns the number of these upstreams.
func (s *Set) MarkChanged(failureDomain string) int {
	known := 0
	for _, e := range s.entries {
		if !e.removed && e.upstream.FailureDomain == failureDomain {
			s.changed[e.upstream.Service] = true
			known++
		}
	}
	return known
}

// Upstreams returns the upstreams of a service, sorted by ID.
func (s *Set) Upstreams(service string) []Upstream {
	list := s.byService[service]
	if len(list) == 0 {
		return nil
	}
	out := make([]Upstream, len(list))
	for i, e := range list {
		out[i] = e.upstream
	}
	return out
}

// index adds an entry to the upstreams of its service.
func (s *Set) index(e *entry) {
	list := s.byService[e.upstream.Service]
	at, _ := slices.BinarySearchFunc(list, e.upstream.ID, compareID)
	s.byService[e.upstream.Service] = slices.Insert(list, at, e)
}

// unindex removes an entry from the upstreams of its service, if it is present.
func (s *Set) unindex(e *entry) {
	list := s.byService[e.upstream.Service]
	if at, found := slices.BinarySearchFunc(list, e.upstream.ID, compareID); found {
		s.byService[e.upstream.Service] = slices.Delete(list, at, at+1)
	}
}

func compareID(e *entry, id string) int { return cmp.Compare(e.upstream.ID, id) }
