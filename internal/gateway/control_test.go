package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/source"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/registered"
)

// TestServesWith: a host that knows a part of the upstreams serves with it if each
// service that requests lead to has enough of them.
func TestServesWith(t *testing.T) {
	is := is.New(t)
	upstreams := func(service string, n int, draining bool) []registered.Upstream {
		out := make([]registered.Upstream, n)
		for i := range out {
			out[i] = registered.Upstream{Service: service, Draining: draining}
		}
		return out
	}
	s := &source.State{Upstreams: upstreams("catalogue", enoughUpstreams, false)}
	is.True(!servesWith(s)) // nothing says where requests go
	s.Configuration = &config.Configuration{Services: []*config.Service{
		{Groups: []config.Group{{Registered: "catalogue"}}},
	}}
	is.True(servesWith(s))
	s.Configuration.Services = append(s.Configuration.Services,
		&config.Service{Groups: []config.Group{{Registered: "catalogue"}, {Registered: "ledger"}}})
	is.True(!servesWith(s))
	s.Upstreams = append(s.Upstreams, upstreams("ledger", enoughUpstreams, true)...)
	is.True(!servesWith(s)) // those that leave take no requests
	s.Upstreams = append(s.Upstreams, upstreams("ledger", enoughUpstreams, false)...)
	is.True(servesWith(s))
}
