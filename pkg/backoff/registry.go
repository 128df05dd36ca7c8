package backoff

import "time"

// Registry holds the current backoffs by server. They survive the records of upstreams that
// are created anew, because an entry was missing for a while or because another group lists
// the same server. It must be used from a single goroutine.
type Registry struct {
	until map[string]time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{until: make(map[string]time.Time)} }

// Extend records that a server is backing off until the given time. The latest time counts.
func (r *Registry) Extend(server string, until time.Time) {
	if until.After(r.until[server]) {
		r.until[server] = until
	}
}

// Until returns the end of a server's backoff, or the zero time if none is known.
func (r *Registry) Until(server string) time.Time { return r.until[server] }

// Tick removes the backoffs that are over.
func (r *Registry) Tick(now time.Time) {
	for server, until := range r.until {
		if !until.After(now) {
			delete(r.until, server)
		}
	}
}

// Len returns the number of backoffs held.
func (r *Registry) Len() int { return len(r.until) }
