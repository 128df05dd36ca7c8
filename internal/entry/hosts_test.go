package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/platform"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/configsync"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

func TestUpstreamsOnLeavingHosts(t *testing.T) {
	is := is.New(t)
	group := config.Group{Upstreams: []config.Upstream{
		{ID: "a", Address: "10.0.0.1:80"},
		{ID: "b", Address: "10.0.0.2:80"},
		{ID: "c", Address: "10.0.0.3:80"},
	}}
	documents := []configsync.Document{{Service: &config.Service{Name: "ledger", Groups: []config.Group{group}}}}
	list := &platform.HostList{Hosts: []platform.Host{
		{IP: "10.0.0.1", State: platform.Leaving},
		{IP: "10.0.0.2", State: platform.Live},
		{IP: "10.0.0.3", State: platform.Leaving, PeerAddress: "10.0.0.3:7100"}, // an entry host
		{IP: "no address", State: platform.Leaving},
	}}
	is.Equal(upstreamsOn(leavingHosts(list), documents), []lifecycle.UpstreamKey{{Service: "ledger", Upstream: "a"}})
}
