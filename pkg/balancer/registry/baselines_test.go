package registry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/registry"
)

// TestBaselinesPreferTheBetter checks the criterion of each baseline on two upstreams.
func TestBaselinesPreferTheBetter(t *testing.T) {
	now := time.Unix(1, 0)
	answer := func(p balancer.Picker, u *balancer.Upstream, latency time.Duration, inFlight int) {
		balancer.Finish(p, u.Begin(now), balancer.Feedback{
			Now:     now,
			Latency: latency,
			Report:  balancer.Report{Valid: true, InFlight: inFlight},
		})
	}
	cases := []struct {
		policy string
		harm   func(p balancer.Picker, bad, good *balancer.Upstream)
	}{
		{"least-outstanding", func(_ balancer.Picker, bad, _ *balancer.Upstream) { bad.Begin(now) }},
		{"two-choices", func(_ balancer.Picker, bad, _ *balancer.Upstream) { bad.Begin(now) }},
		{"peak-ewma", func(p balancer.Picker, bad, good *balancer.Upstream) {
			answer(p, bad, 9*time.Millisecond, 0)
			answer(p, good, time.Millisecond, 0)
		}},
		{"probe-pool", func(p balancer.Picker, bad, good *balancer.Upstream) {
			answer(p, bad, time.Millisecond, 9)
			answer(p, good, 5*time.Millisecond, 1) // load takes precedence over latency
		}},
		{"probe-pool", func(p balancer.Picker, bad, good *balancer.Upstream) {
			answer(p, bad, 5*time.Millisecond, 1)
			answer(p, good, time.Millisecond, 1) // both cold: the lower latency
		}},
	}
	for _, c := range cases {
		t.Run(c.policy, func(t *testing.T) {
			is := is.New(t)
			b, err := registry.Lookup(c.policy)
			is.NoErr(err)
			for r := range uint64(20) {
				m := members(2)
				p := b.Build(balancer.Options{}).Update(m)
				c.harm(p, m[0], m[1])
				res, err := p.Pick(balancer.PickInfo{Now: now, Random: balancer.Mix(r)})
				is.NoErr(err)
				is.Equal(res.Upstream, m[1])
			}
		})
	}
}

func TestRoundRobinTakesTurnsOverSnapshots(t *testing.T) {
	is := is.New(t)
	b, err := registry.Lookup("round-robin")
	is.NoErr(err)
	m := members(3)
	policy := b.Build(balancer.Options{})
	got := ""
	for range 6 {
		res, err := policy.Update(m).Pick(balancer.PickInfo{Now: time.Unix(1, 0)})
		is.NoErr(err)
		got += res.Upstream.ID
	}
	is.Equal(got, "bcabca")
}
