package standin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/platform"
)

// configStore keeps the whole publication history, so that an older revision can
// be served.
type configStore struct {
	mu      sync.Mutex
	history []published
	hosts   platform.HostList
	changed chan struct{}
}

type published struct {
	platform.Change
	at time.Time
}

func (s *configStore) publish(key string, value []byte, at time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := uint64(len(s.history) + 1)
	c := platform.Change{Key: key, Revision: revision, Deleted: value == nil, Value: value}
	s.history = append(s.history, published{c, at})
	s.wakeWatchesLocked()
	return revision
}

func (s *configStore) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeWatchesLocked()
}

func (s *configStore) wakeWatchesLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesSince returns the newest visible version of each key that changed after
// a revision, and a channel that is closed at the next change.
func (s *configStore) changesSince(after uint64, f Faults, now time.Time) (platform.Changes, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visible := s.visibleHistory(f, now)
	out := platform.Changes{Revision: uint64(len(visible))}
	newest := make(map[string]platform.Change)
	for _, p := range visible[min(after, uint64(len(visible))):] {
		newest[p.Key] = p.Change
	}
	for _, c := range newest {
		out.Changes = append(out.Changes, c)
	}
	slices.SortFunc(out.Changes, func(a, b platform.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return out, s.changed
}

// visibleHistory returns the part of the history that is visible under the faults
// f.
func (s *configStore) visibleHistory(f Faults, now time.Time) []published {
	end := len(s.history)
	if f.Stale {
		end = min(end, int(min(f.StaleAt, uint64(end))))
	}
	for end > 0 && now.Sub(s.history[end-1].at) < time.Duration(f.Lag) {
		end--
	}
	return s.history[:end]
}

func (s *configStore) setHosts(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = platform.HostList{Revision: s.hosts.Revision + 1, Hosts: hosts}
}

func (s *configStore) hostList() platform.HostList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts
}
