package lifecycle

import "github.com/dapplespindle/dapplespindle/pkg/config"

// UpstreamSpecs returns the upstreams of a service's document. An upstream that
// is listed in several groups is draining if any of them marks it so. Activation
// returns an upstream's activation; nil means 0 for all.
func UpstreamSpecs(svc *config.Service, activation func(*config.Upstream) uint64) []UpstreamSpec {
	var out []UpstreamSpec
	index := make(map[string]int)
	for g := range svc.Groups {
		group := &svc.Groups[g]
		for u := range group.Upstreams {
			spec := newUpstreamSpec(group, &group.Upstreams[u], activation)
			i, listed := index[spec.Upstream]
			if !listed {
				index[spec.Upstream] = len(out)
				out = append(out, spec)
				continue
			}
			out[i] = out[i].mergeStrictest(spec)
		}
	}
	return out
}

func newUpstreamSpec(g *config.Group, u *config.Upstream, activation func(*config.Upstream) uint64) UpstreamSpec {
	spec := UpstreamSpec{Upstream: u.ID, Draining: u.State == config.Draining, SlowStart: g.SlowStart.Std()}
	if activation != nil {
		spec.Activation = activation(u)
	}
	return spec
}

// mergeStrictest merges two entries for one upstream into the most restrictive one.
func (s UpstreamSpec) mergeStrictest(o UpstreamSpec) UpstreamSpec {
	s.Draining = s.Draining || o.Draining
	s.Activation = min(s.Activation, o.Activation)
	s.SlowStart = max(s.SlowStart, o.SlowStart)
	return s
}
