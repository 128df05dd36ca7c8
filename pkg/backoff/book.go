package backoff

import "time"

// Registry holds the rests in force by the server that asked for them, for records of upstreams
// that are made anew meanwhile: an entry that was missing for a while, or another group that
// lists the same server. It belongs to one goroutine.
type Registry struct {
	until map[string]time.Time
}

// NewRegistry returns an empty book.
func NewRegistry() *Registry { return &Registry{until: make(map[string]time.Time)} }

// Extend takes in until when a server rests. The longest counts.
func (b *Registry) Extend(server string, until time.Time) {
	if until.After(b.until[server]) {
		b.until[server] = until
	}
}

// Until returns until when a server rests; zero if that is not known.
func (b *Registry) Until(server string) time.Time { return b.until[server] }

// Tick forgets the rests that are over.
func (b *Registry) Tick(now time.Time) {
	for server, until := range b.until {
		if !until.After(now) {
			delete(b.until, server)
		}
	}
}

// Len returns the number of rests kept.
func (b *Registry) Len() int { return len(b.until) }
