package storesync

import (
	"net/netip"
	"slices"
)

// The patience of a host as a share of the time in which changes must be known.
// The longest one leaves a third of that time for the calls and for putting the
// change in force. The steps between ranks are longer than a way between failure
// domains and than a timer's delay on a busy host.
const (
	firstOfFleet   = 0.35
	firstOfDomain  = 0.50
	secondOfDomain = 0.54
	othersFrom     = 0.58
	othersSpread   = 0.06
	// othersSteps spreads the other hosts of a domain, so that not all of them ask
	// at once when the first two are gone.
	othersSteps = 12
	// askBefore is how much earlier a host that was not told asks a peer.
	askBefore = 0.10
	// askUnsettled is when the first host of a failure domain asks that is not told
	// yet: the others of the domain ask it.
	askUnsettled = 0.25
)

// ranks is the place of this host among those it believes alive.
type ranks struct {
	self   Host
	first  bool             // of all that it knows of
	place  int              // in its failure domain
	last   bool             // of its failure domain, those that leave aside
	domain []netip.AddrPort // the others of its failure domain
	heads  []netip.AddrPort // the first and the last ones of the other failure domains
	others []netip.AddrPort // all others, whatever is known of them
	// settled is false while this host has not heard of most others.
	settled bool
}

// compare orders hosts as all hosts see them alike: by address, the leaving last.
func compare(a, b Host) int {
	switch {
	case a.Leaving == b.Leaving:
		return a.Address.Compare(b.Address)
	case a.Leaving:
		return 1
	}
	return -1
}

// rank gives self its place among the hosts.
func rank(self Host, hosts []Host, settled bool) ranks {
	r := ranks{first: true, settled: settled}
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, compare)
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
		before := compare(h, self) < 0
		if before {
			r.first = false
		}
		if h.FailureDomain == "" {
			continue // an address at which some host may be found
		}
		if h.FailureDomain == self.FailureDomain {
			if before {
				r.place++
			} else if !h.Leaving {
				r.last = false
			}
			r.domain = append(r.domain, h.Address)
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
		r.heads = append(r.heads, e.first)
		if e.last != e.first {
			r.heads = append(r.heads, e.last)
		}
	}
	return r
}

// domainEnds are the first and the last host of a failure domain.
type domainEnds struct {
	first, last netip.AddrPort
}

// alone reports whether no other host is believed alive.
func (r *ranks) alone() bool { return r.settled && len(r.domain) == 0 && len(r.heads) == 0 }

// share is this host's patience as a share of the time for a change.
func (r *ranks) share() float64 {
	switch {
	case r.first:
		return firstOfFleet
	case r.place == 0:
		return firstOfDomain
	case r.place == 1:
		return secondOfDomain
	}
	return othersFrom + othersSpread*float64(r.place%othersSteps)/othersSteps
}

// superior returns the host that is told before this one, or one that is told before that
// one, a number of levels up; the first of the fleet above the first of the failure domain.
// It is false if none is known.
func (r *ranks) superior(levels int) (netip.AddrPort, bool) {
	if r.first || len(r.others) == 0 {
		return netip.AddrPort{}, false
	}
	place := r.place
	for ; place > 0; levels-- {
		place = (place - 1) / fanOut
		if levels == 0 {
			return r.at(place), true // bytes between failure domains are dear
		}
	}
	return r.others[0], true
}

// askShare is the age at which this host asks its superior, as a share of the time
// for a change.
func (r *ranks) askShare() float64 {
	if r.place == 0 && !r.settled {
		return askUnsettled
	}
	return r.share() - askBefore
}
