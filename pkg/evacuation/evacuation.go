// Package evacuation keeps which failure domains are to get nothing new, as one entry
// host knows it.
//
// Operators publish an evacuation and take it back. News of both may come late, twice
// and out of order; each piece carries the store's revision, and the newest piece about
// a failure domain counts. A host therefore never falls back to an older state, however
// it learns.
//
// The package does no I/O and reads no clock. A Set belongs to one goroutine.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
)

// Domain is a failure domain that is evacuated.
type Domain struct {
	// FailureDomain is its name. Upstreams of it may not be known, or not exist.
	FailureDomain string
	// Revision is the store's revision at which it began.
	Revision uint64
}

// Change is the beginning or the end of one evacuation.
type Change struct {
	// FailureDomain is its name.
	FailureDomain string
	// Ended is true when the evacuation was taken back.
	Ended bool
}

// state is the newest news about one failure domain. It is kept when an evacuation has
// ended, so that late news of it changes nothing; operators name few failure domains.
type state struct {
	evacuated bool
	revision  uint64
}

// Set holds the newest news about all failure domains. The zero value knows of none.
type Set struct {
	domains map[string]state
}

// Apply takes in a change at a revision. It reports whether anything is different now.
func (s *Set) Apply(c Change, revision uint64) bool {
	known := s.domains[c.FailureDomain]
	if revision <= known.revision {
		return false
	}
	if s.domains == nil {
		s.domains = make(map[string]state)
	}
	s.domains[c.FailureDomain] = state{evacuated: !c.Ended, revision: revision}
	return known.evacuated == c.Ended
}

// Replace takes in all evacuations as of a revision: one that is not listed has ended.
// It returns the changes, by failure domain.
func (s *Set) Replace(list []Domain, revision uint64) []Change {
	var out []Change
	listed := make(map[string]bool, len(list))
	for _, d := range list {
		listed[d.FailureDomain] = true
		if c := (Change{FailureDomain: d.FailureDomain}); s.Apply(c, d.Revision) {
			out = append(out, c)
		}
	}
	for name, known := range s.domains {
		if listed[name] || !known.evacuated {
			continue
		}
		if c := (Change{FailureDomain: name, Ended: true}); s.Apply(c, revision) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return out
}

// Holds reports whether a failure domain is evacuated.
func (s *Set) Holds(failureDomain string) bool { return s.domains[failureDomain].evacuated }

// List returns the evacuated failure domains, by name.
func (s *Set) List() []Domain {
	var out []Domain
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		if known := s.domains[name]; known.evacuated {
			out = append(out, Domain{FailureDomain: name, Revision: known.revision})
		}
	}
	return out
}
