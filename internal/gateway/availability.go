package gateway

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/metrics"
	"github.com/dapplespindle/dapplespindle/internal/peertransport"
	"github.com/dapplespindle/dapplespindle/pkg/availability"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/gossip"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
)

// This file exchanges estimates of free slots with hosts of other failure domains and exports
// them as metrics.

const (
	// availabilityInterval is the time between two messages with reports, and
	// availabilityFanOut the number of hosts that receive each.
	availabilityInterval = time.Second
	availabilityFanOut   = 2
)

// serviceEstimates holds the estimates of all known services. The control goroutine adds
// services; the transport's goroutine reads them.
type serviceEstimates struct {
	local string // failure domain

	mu       sync.RWMutex
	services map[string]*availability.Estimates
}

func newServiceEstimates(local string) *serviceEstimates {
	return &serviceEstimates{local: local, services: make(map[string]*availability.Estimates)}
}

// of returns the estimates of a service and creates them if there are none.
func (e *serviceEstimates) of(service string) *availability.Estimates {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.services[service]
	if known == nil {
		known = availability.New(e.local)
		e.services[service] = known
	}
	return known
}

// find returns the estimates of a service, or nil.
func (e *serviceEstimates) find(service string) *availability.Estimates {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.services[service]
}

// receive applies the reports that arrived from an address, given the known hosts and the port
// of their transports.
func (e *serviceEstimates) receive(now time.Time, s *membership.Snapshot, transportPort uint16, from netip.AddrPort, reports []peertransport.Availability) error {
	domain, ok := domainOfSender(s, from, transportPort)
	if !ok {
		return errors.Newf("availability message: %s is not the address of a live host", from)
	}
	return e.merge(now, domain, reports)
}

// merge includes all reports of a host in the given failure domain, or none. Services that
// this host does not know, for example because its configuration is older, are skipped.
func (e *serviceEstimates) merge(now time.Time, domain string, reports []peertransport.Availability) error {
	for _, r := range reports {
		if err := e.check(domain, r); err != nil {
			return err
		}
	}
	for _, r := range reports {
		if known := e.find(r.Service); known != nil {
			if err := known.Merge(now, r.Report); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *serviceEstimates) check(domain string, r peertransport.Availability) error {
	switch {
	case r.Domain == e.local:
		return errors.Newf("availability report: about the receiver's own failure domain %q", r.Domain)
	case r.Domain != domain:
		return errors.Newf("availability report: about failure domain %q from a host in %q", r.Domain, domain)
	}
	return r.Validate()
}

// exchangesAvailability reports whether the estimates of the service matter: its upstreams are
// queried for their load and are in several failure domains.
func (pl *pool) exchangesAvailability() bool { return pl.queried && len(pl.domains) > 1 }

// takeReports returns the reports for the next message, starting with the service at which the
// previous message was full.
func (p *pools) takeReports(now time.Time) []peertransport.Availability {
	var reports []peertransport.Availability
	services := slices.Sorted(maps.Keys(p.services))
	first, _ := slices.BinarySearch(services, p.nextReport)
	bytes := 0
	for i := range services {
		service := services[(first+i)%len(services)]
		size := peertransport.AvailabilityBytes(service, p.options.FailureDomain)
		if size > peertransport.MaxAvailabilityBytes {
			continue // never fits
		}
		if len(reports) == peertransport.MaxAvailabilityPerMessage || bytes+size > peertransport.MaxAvailabilityBytes {
			p.nextReport = service
			return reports
		}
		pl := p.services[service]
		// Taken even if it is not sent: the next report covers only the time since.
		if r, ok := pl.estimates.Report(now); ok && pl.exchangesAvailability() {
			reports = append(reports, peertransport.Availability{Service: service, Report: r})
			bytes += size
		}
	}
	return reports
}

// exchangeAvailability sends this host's reports and exports its estimates. It runs on the
// control goroutine.
func (g *Gateway) exchangeAvailability(now time.Time) {
	g.control.pools.exportFreeShares(now, g.metrics)
	reports := g.control.pools.takeReports(now)
	if g.fleet == nil || len(reports) == 0 {
		return
	}
	if targets := g.fleet.reportTargets(rand.Float64(), rand.IntN); len(targets) > 0 {
		g.fleet.transport.SendAvailability(targets, reports)
	}
}

// reportPeers are the hosts of one membership snapshot as receivers of reports.
type reportPeers struct {
	snapshot *membership.Snapshot
	// remote are the transport addresses of the usable hosts in other failure domains.
	remote []netip.AddrPort
	// local is the number of usable hosts in this host's failure domain.
	local int
}

func newReportPeers(s *membership.Snapshot, transportPort uint16) reportPeers {
	out := reportPeers{snapshot: s}
	for i := range s.Members {
		m := &s.Members[i]
		switch {
		case m.Address != s.Self.Address && !m.Usable():
		case m.FailureDomain == s.Self.FailureDomain:
			out.local++
		case m.FailureDomain != "": // a host whose domain is unknown could not use reports
			out.remote = append(out.remote, netip.AddrPortFrom(m.Address.Addr(), transportPort))
		}
	}
	return out
}

// choose returns the hosts that receive the next message; random is between 0 and 1. Where the
// failure domain has more hosts than all others together, each of its hosts sends less often,
// so that a host elsewhere receives at most availabilityFanOut messages per interval from the
// domain, on average.
func (p *reportPeers) choose(random float64, intN func(int) int) []netip.AddrPort {
	if random*float64(p.local) >= float64(len(p.remote)) {
		return nil
	}
	return gossip.Sample(p.remote, availabilityFanOut, intN)
}

// reportTargets returns the hosts that receive the next message. It runs on the control
// goroutine.
func (f *fleet) reportTargets(random float64, intN func(int) int) []netip.AddrPort {
	if s := f.members.Snapshot(); s != f.reportPeers.snapshot {
		f.reportPeers = newReportPeers(s, f.port)
	}
	return f.reportPeers.choose(random, intN)
}

// applyAvailability applies another host's reports.
func (f *fleet) applyAvailability(from netip.AddrPort, reports []peertransport.Availability) error {
	return f.gateway.control.pools.estimates.receive(clock.Now(), f.members.Snapshot(), f.port, from, reports)
}

// domainOfSender returns the failure domain of the host that sends from an address, or false
// if no live host does. Hosts that are suspected or about to leave still serve, and so what
// they report is true.
func domainOfSender(s *membership.Snapshot, from netip.AddrPort, transportPort uint16) (string, bool) {
	if from.Port() != transportPort {
		return "", false
	}
	first, _ := slices.BinarySearchFunc(s.Members, from.Addr(), func(m membership.Member, a netip.Addr) int {
		return m.Address.Addr().Compare(a)
	})
	// A dead host may have used another membership port at the same IP.
	for i := first; i < len(s.Members) && s.Members[i].Address.Addr() == from.Addr(); i++ {
		if s.Members[i].State != membership.Dead {
			return s.Members[i].FailureDomain, true
		}
	}
	return "", false
}

// exportFreeShares sets the gauges of the estimates, and removes those of failure domains that
// have no upstreams of a service any more.
func (p *pools) exportFreeShares(now time.Time, sink *metrics.Sink) {
	for service, pl := range p.services {
		var domains []string
		if pl.exchangesAvailability() {
			domains = pl.domains
		}
		for _, d := range pl.exported {
			if !slices.Contains(domains, d) {
				sink.RemoveFreeShare(service, d)
			}
		}
		for _, d := range domains {
			sink.SetFreeShare(service, d, pl.estimates.Free(d, now))
		}
		pl.exported = domains
	}
}

// failureDomains returns the failure domains of upstreams, sorted.
func failureDomains(upstreams []*balancer.Upstream) []string {
	var out []string
	for _, u := range upstreams {
		if !slices.Contains(out, u.FailureDomain) {
			out = append(out, u.FailureDomain)
		}
	}
	slices.Sort(out)
	return out
}
