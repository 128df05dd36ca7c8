package storesync

import (
	"net/netip"
	"slices"
)

// Staleness limits of a host, as fractions of MaxChangeDelay. The largest limit leaves a third
// of that time for the calls and for applying the change. The steps between ranks are longer
// than the latency between failure domains and than the timer delay on a busy host.
const (
	firstOfFleet   = 0.35
	firstOfDomain  = 0.50
	secondOfDomain = 0.54
	othersBase     = 0.58
	othersSpread   = 0.06
	// othersSteps spreads the remaining hosts of a domain, so that not all of them call at once
	// when the first two are gone.
	othersSteps = 12
	// fetchLead is how much earlier than the staleness limit a host without an update asks a
	// peer.
	fetchLead = 0.10
	// unsettledFetchAge is the age at which the first host of a failure domain asks a peer while
	// it is not settled, and so may not be sent updates yet: the others of the domain ask it.
	unsettledFetchAge = 0.25
)

// ranks is the position of this host among the hosts that it believes to be alive.
type ranks struct {
	self           Host
	first          bool             // first host of the fleet
	position       int              // in the failure domain
	last           bool             // last host of the failure domain, leaving hosts not counted
	domainPeers    []netip.AddrPort // the other hosts of the failure domain
	domainContacts []netip.AddrPort // first and last host of each other failure domain
	others         []netip.AddrPort // all other hosts, including those whose failure domain is unknown
	// settled is false until this host has learned of most of the other hosts.
	settled bool
}

// compareHosts defines the order of hosts, which is the same on all hosts: by address, leaving
// hosts last.
func compareHosts(a, b Host) int {
	switch {
	case a.Leaving == b.Leaving:
		return a.Address.Compare(b.Address)
	case a.Leaving:
		return 1
	}
	return -1
}

// newRanks computes the position of self among the hosts.
func newRanks(self Host, hosts []Host, settled bool) ranks {
	r := ranks{first: true, settled: settled}
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, compareHosts)
	for _, h := range hosts {
		if h.Address == self.Address {
			self = h
		}
	}
	r.self = self
	r.last = !self.Leaving
	ends := make(map[string]*domainEnds)
	var order []string // of failure domains
	for _, h := range sorted {
		if h.Address == self.Address {
			continue
		}
		r.others = append(r.others, h.Address)
		before := compareHosts(h, self) < 0
		if before {
			r.first = false
		}
		if h.FailureDomain == "" {
			continue // a seed address; it is not known which host runs there
		}
		if h.FailureDomain == self.FailureDomain {
			if before {
				r.position++
			} else if !h.Leaving {
				r.last = false
			}
			r.domainPeers = append(r.domainPeers, h.Address)
			continue
		}
		e := ends[h.FailureDomain]
		if e == nil {
			e = &domainEnds{first: h.Address, last: h.Address}
			ends[h.FailureDomain] = e
			order = append(order, h.FailureDomain)
		}
		if !h.Leaving {
			e.last = h.Address
		}
	}
	for _, domain := range order {
		e := ends[domain]
		r.domainContacts = append(r.domainContacts, e.first)
		if e.last != e.first {
			r.domainContacts = append(r.domainContacts, e.last)
		}
	}
	return r
}

// domainEnds holds the first and the last host of a failure domain.
type domainEnds struct {
	first, last netip.AddrPort
}

// alone reports whether no other host is believed to be alive.
func (r *ranks) alone() bool {
	return r.settled && len(r.domainPeers) == 0 && len(r.domainContacts) == 0
}

// stalenessShare returns this host's staleness limit as a fraction of MaxChangeDelay.
func (r *ranks) stalenessShare() float64 {
	switch {
	case r.first:
		return firstOfFleet
	case r.position == 0:
		return firstOfDomain
	case r.position == 1:
		return secondOfDomain
	}
	return othersBase + othersSpread*float64(r.position%othersSteps)/othersSteps
}

// ancestor returns an ancestor of this host in the distribution order: its parent for level 0,
// the parent's parent for level 1, and so on, with the first host of the fleet above the first
// host of the failure domain. It returns false if there is none.
func (r *ranks) ancestor(levels int) (netip.AddrPort, bool) {
	if r.first || len(r.others) == 0 {
		return netip.AddrPort{}, false
	}
	position := r.position
	for ; position > 0; levels-- {
		position = (position - 1) / fanOut
		if levels == 0 {
			return r.peerAt(position), true // traffic between failure domains is expensive
		}
	}
	return r.others[0], true
}

// fetchShare is the age of its knowledge at which this host asks its parent, as a fraction of
// MaxChangeDelay.
func (r *ranks) fetchShare() float64 {
	if r.position == 0 && !r.settled {
		return unsettledFetchAge
	}
	return r.stalenessShare() - fetchLead
}
