package e2e

import (
	"net"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/platform"
)

// hostListBound is when the last entry host must have heard. Each reads the
// lagging list every few seconds and tells its peers.
const hostListBound = 10 * time.Second

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
		time.Sleep(hostListBound)
		before = f.served(leaving)
		time.Sleep(2 * time.Second)
		after = f.served(leaving)
	})
	l.check(t)
	if before == 0 {
		t.Error("the upstream served nothing before its host was listed as leaving")
	}
	if after != before {
		t.Errorf("%d requests reached the upstream later than %s after the list said that its host leaves", after-before, hostListBound)
	}
}
