package standin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/platform"
)

// store keeps the whole history, so that an old part of it can be served.
type store struct {
	mu      sync.Mutex
	history []published
	hosts   platform.HostList
	changed chan struct{}
}

type published struct {
	platform.Change
	at time.Time
}

func (s *store) publish(key string, value []byte, at time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := uint64(len(s.history) + 1)
	c := platform.Change{Key: key, Revision: revision, Deleted: value == nil, Value: value}
	s.history = append(s.history, published{c, at})
	s.wakeLocked()
	return revision
}

func (s *store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the newest shown versions of the keys changed after a
// revision, and a channel that is closed at the next change.
func (s *store) since(after uint64, f Faults, now time.Time) (platform.Changes, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shown := s.shown(f, now)
	out := platform.Changes{Revision: uint64(len(shown))}
	newest := make(map[string]platform.Change)
	for _, p := range shown[min(after, uint64(len(shown))):] {
		newest[p.Key] = p.Change
	}
	for _, c := range newest {
		out.Changes = append(out.Changes, c)
	}
	slices.SortFunc(out.Changes, func(a, b platform.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return out, s.changed
}

// shown is the part of the history that a lagging or stale platform admits to.
func (s *store) shown(f Faults, now time.Time) []published {
	end := len(s.history)
	if f.Stale {
		end = min(end, int(min(f.StaleAt, uint64(end))))
	}
	for end > 0 && now.Sub(s.history[end-1].at) < time.Duration(f.Lag) {
		end--
	}
	return s.history[:end]
}

func (s *store) setHosts(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = platform.HostList{Revision: s.hosts.Revision + 1, Hosts: hosts}
}

func (s *store) hostList() platform.HostList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts
}
