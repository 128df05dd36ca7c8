package registry_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/registry"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/spindle"
	"github.com/dapplespindle/dapplespindle/pkg/config"
)

func members(n int) []*balancer.Upstream {
	var all []*balancer.Upstream
	for i := range n {
		all = append(all, &balancer.Upstream{ID: string(rune('a' + i)), Slots: 3})
	}
	return all
}

func TestDefaultPolicyIsRegistered(t *testing.T) {
	is := is.New(t)
	_, err := registry.Lookup(config.DefaultPolicy)
	is.NoErr(err)
	_, err = registry.Lookup("best")
	var unknown *registry.UnknownPolicyError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.Policy, "best")
}

// TestEveryPolicy checks what all policies have in common.
func TestEveryPolicy(t *testing.T) {
	now := time.Unix(1, 0)
	for _, name := range registry.Names() {
		b, _ := registry.Lookup(name)
		build := func(m []*balancer.Upstream) balancer.Picker { return b.Build(balancer.Options{}).Update(m) }
		t.Run(name+"/empty", func(t *testing.T) {
			is := is.New(t)
			_, err := build(nil).Pick(balancer.PickInfo{Now: now, Random: 9})
			is.Equal(err, balancer.ErrNoUpstream)
		})
		t.Run(name+"/excluded", func(t *testing.T) {
			is := is.New(t)
			m := members(4)
			p := build(m)
			for r := range uint64(200) {
				random := balancer.Mix(r)
				got, err := p.Pick(balancer.PickInfo{Now: now, Random: random, Exclude: m[:3]})
				is.NoErr(err)
				is.Equal(got.Upstream.ID, "d")
				_, err = p.Pick(balancer.PickInfo{Now: now, Random: random, Exclude: m})
				is.Equal(err, balancer.ErrNoUpstream)
			}
		})
		t.Run(name+"/spreads", func(t *testing.T) {
			is := is.New(t)
			seen := map[string]int{}
			for host := range hosts(name) {
				p := b.Build(balancer.Options{Self: host, EntryHosts: hosts(name)}).Update(members(5))
				for r := range 1000 / hosts(name) {
					random := balancer.Mix(uint64(host*1000 + r))
					got, err := p.Pick(balancer.PickInfo{Now: now, Random: random})
					is.NoErr(err)
					seen[got.Upstream.ID]++
				}
			}
			is.Equal(len(seen), 5)
			for _, n := range seen {
				is.True(n > 120 && n < 280) // no upstream is preferred while nothing is known
			}
		})
	}
}

// hosts is the number of entry hosts over which choices must be even: with the
// spindle policy each host prefers some upstreams.
func hosts(policy string) int {
	if policy == spindle.Name {
		return 40
	}
	return 1
}
