package entry

import (
	"net/netip"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/platform"
	"github.com/dapplespindle/dapplespindle/pkg/configsync"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

// hostsListed takes in the upstreams that run on hosts which the platform's
// list calls leaving. It runs on the control goroutine. A list that is older
// than the last one is ignored.
func (c *controller) hostsListed(list *platform.HostList) {
	if list.Revision < c.hostsRevision {
		return
	}
	c.hostsRevision = list.Revision
	now := time.Now()
	for _, k := range upstreamsOn(leavingHosts(list), c.config.InForce) {
		c.registry.HostLeaving(now, k)
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
