package entry

import (
	"context"
	"net/netip"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/members"
	"github.com/dapplespindle/dapplespindle/internal/platform"
	"github.com/dapplespindle/dapplespindle/pkg/configsync"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
)

// hostSource implements members.HostSource with the platform's host list.
type hostSource struct {
	client *platform.Client
	// onList is called with each list that was read.
	onList func(*platform.HostList)
}

// Hosts implements members.HostSource.
func (s *hostSource) Hosts(ctx context.Context) (*members.HostList, error) {
	list, err := s.client.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	s.onList(list)
	return &members.HostList{Revision: list.Revision, Hosts: entryHosts(list)}, nil
}

// entryHosts returns the listed entry hosts and skips those without a valid address.
func entryHosts(list *platform.HostList) []membership.ListedHost {
	var out []membership.ListedHost
	for _, h := range list.Hosts {
		a, err := netip.ParseAddrPort(h.PeerAddress)
		if err != nil {
			continue
		}
		out = append(out, membership.ListedHost{
			Address: netip.AddrPortFrom(a.Addr().Unmap(), a.Port()),
			Leaving: h.State == platform.Leaving,
		})
	}
	return out
}

// applyHostList marks as leaving the upstreams on hosts that are leaving according to the
// platform's list. It runs on the control goroutine. A list that is older than the last
// one is ignored.
func (c *controller) applyHostList(list *platform.HostList) {
	if list.Revision < c.hostsRevision {
		return
	}
	c.hostsRevision = list.Revision
	now := clock.Now()
	for _, k := range upstreamsOn(leavingHosts(list), c.config.InForce) {
		c.registry.ListedLeaving(now, k)
	}
	c.publishChanged()
}

// leavingHosts returns the leaving hosts that are not entry hosts.
func leavingHosts(list *platform.HostList) map[netip.Addr]bool {
	leaving := make(map[netip.Addr]bool)
	for _, h := range list.Hosts {
		if h.State != platform.Leaving || h.PeerAddress != "" {
			continue
		}
		if ip, err := netip.ParseAddr(h.IP); err == nil {
			leaving[ip.Unmap()] = true
		}
	}
	return leaving
}

// upstreamsOn returns the upstreams of the documents that run on the hosts.
func upstreamsOn(hosts map[netip.Addr]bool, documents []configsync.Document) []lifecycle.UpstreamKey {
	if len(hosts) == 0 {
		return nil
	}
	var out []lifecycle.UpstreamKey
	for _, d := range documents {
		for g := range d.Groups {
			for _, u := range d.Groups[g].Upstreams {
				at, err := netip.ParseAddrPort(u.Address)
				if err == nil && hosts[at.Addr().Unmap()] {
					out = append(out, lifecycle.UpstreamKey{Service: d.Name, Upstream: u.ID})
				}
			}
		}
	}
	return out
}
