// Package evacuation tracks which failure domains must receive no new requests, as far as
// one entry host knows.
//
// Operators publish an evacuation and withdraw it. Updates about both may arrive late,
// twice and out of order. Each update carries the store's revision, and the newest update
// about a failure domain counts. A complete list counts as one about all failure domains that it
// does not name. A host therefore never goes back to an older state, whichever way it receives
// updates.
//
// The package does no I/O and reads no clock. A Set must be used from a single goroutine.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
)

// Domain is an evacuated failure domain.
type Domain struct {
	// FailureDomain is the name. It may have no known upstreams, or none at all.
	FailureDomain string
	// Revision is the store's revision at which the evacuation began.
	Revision uint64
}

// Change is the beginning or the end of one evacuation.
type Change struct {
	// FailureDomain is the name of the failure domain.
	FailureDomain string
	// Ended is true if the evacuation was withdrawn.
	Ended bool
}

// state is the newest update about one failure domain. It is kept after an evacuation has
// ended, so that a late update changes nothing; operators evacuate few failure domains.
type state struct {
	evacuated bool
	revision  uint64
}

// Set holds the newest updates about all failure domains. The zero value is an empty set.
type Set struct {
	domains map[string]state
	// complete is the newest revision of a complete list. An evacuation that is not known and not
	// newer had ended by then.
	complete uint64
}

// Apply records a change at a revision. It reports whether the state of the failure domain
// changes.
func (s *Set) Apply(c Change, revision uint64) bool {
	known := s.domains[c.FailureDomain]
	if revision <= known.revision || !known.evacuated && revision <= s.complete {
		return false
	}
	if s.domains == nil {
		s.domains = make(map[string]state)
	}
	s.domains[c.FailureDomain] = state{evacuated: !c.Ended, revision: revision}
	return known.evacuated == c.Ended
}

// Replace records the complete list of evacuations as of a revision: an evacuation that is
// not listed has ended. It returns the changes, sorted by failure domain.
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
	s.complete = max(s.complete, revision)
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return out
}

// IsEvacuated reports whether a failure domain is evacuated.
func (s *Set) IsEvacuated(failureDomain string) bool { return s.domains[failureDomain].evacuated }

// List returns the evacuated failure domains, sorted by name.
func (s *Set) List() []Domain {
	var out []Domain
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		if known := s.domains[name]; known.evacuated {
			out = append(out, Domain{FailureDomain: name, Revision: known.revision})
		}
	}
	return out
}
