package lifecycle

import "github.com/dapplespindle/dapplespindle/pkg/config"

// UpstreamSpecs returns the upstreams of a service's document. An upstream that
// stands in several groups is draining if any of them says so. Activation is
// the function that reads an upstream's activation; nil means 0 for all.
func UpstreamSpecs(svc *config.Service, activation func(*config.Upstream) uint64) []UpstreamSpec {
	var out []UpstreamSpec
	at := make(map[string]int)
	for g := range svc.Groups {
		group := &svc.Groups[g]
		for u := range group.Upstreams {
			l := listing(group, &group.Upstreams[u], activation)
			i, twice := at[l.Upstream]
			if !twice {
				at[l.Upstream] = len(out)
				out = append(out, l)
				continue
			}
			out[i] = out[i].strictest(l)
		}
	}
	return out
}

func listing(g *config.Group, u *config.Upstream, activation func(*config.Upstream) uint64) UpstreamSpec {
	l := UpstreamSpec{Upstream: u.ID, Draining: u.State == config.Draining, SlowStart: g.SlowStart.Std()}
	if activation != nil {
		l.Activation = activation(u)
	}
	return l
}

// strictest joins two entries for one upstream.
func (l UpstreamSpec) strictest(o UpstreamSpec) UpstreamSpec {
	l.Draining = l.Draining || o.Draining
	l.Activation = min(l.Activation, o.Activation)
	l.SlowStart = max(l.SlowStart, o.SlowStart)
	return l
}
