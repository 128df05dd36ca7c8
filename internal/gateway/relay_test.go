package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/discovery"
)

// TestRestartedUpstreamIsRelayed guards against hosts that do not relay connections to an upstream
// that started anew under its id and address.
func TestRestartedUpstreamIsRelayed(t *testing.T) {
	is := is.New(t)
	p := newPools("127.0.0.1", "here")
	pl := p.pool("catalogue")
	entry := discovery.Upstream{ID: "i-1", Service: "catalogue", Address: "127.0.0.1:80", Start: 1, Slots: 3}
	forget := func(string) {}
	p.refreshPool(pl, []discovery.Upstream{entry}, forget)
	target := pl.records["i-1"].Address
	is.True(p.targets.has(target))
	entry.Start = 2
	p.refreshPool(pl, []discovery.Upstream{entry}, forget)
	is.True(p.targets.has(target))
	p.refreshPool(pl, nil, forget)
	is.True(!p.targets.has(target))
}
