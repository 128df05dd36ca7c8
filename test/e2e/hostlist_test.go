package e2e

import (
	"net"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/platform"
)

// hostListTimeout is the time within which every entry host must know that a host leaves.
// Each reads the lagging host list every few seconds and sends updates to its peers.
const hostListTimeout = 10 * time.Second

func TestUpstreamOnALeavingHostGetsNothingNew(t *testing.T) {
	f := newFleet(t, 4, 5)
	leaving := f.upstreams[0]
	ip, _, err := net.SplitHostPort(leaving)
	if err != nil {
		t.Fatal(err)
	}
	var before, after int64
	l := withLoad(f, func() {
		time.Sleep(time.Second)
		hosts := f.hosts()
		hosts = append(hosts, platform.Host{IP: ip, FailureDomain: domains[0], State: platform.Leaving})
		f.put("/v1/hosts", hosts)
		time.Sleep(hostListTimeout)
		before = f.served(leaving)
		time.Sleep(2 * time.Second)
		after = f.served(leaving)
	})
	l.check(t)
	if before == 0 {
		t.Error("the upstream served nothing before its host was listed as leaving")
	}
	if after != before {
		t.Errorf("%d requests reached the upstream more than %s after its host was listed as leaving", after-before, hostListTimeout)
	}
}
