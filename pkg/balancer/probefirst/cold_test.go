package probefirst

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

// The pattern: a failure domain of upstreams comes back cold at once, a quarter of a
// service, while callers press. Each of them bears 2.5 requests a second of the whole
// fleet, a tenth of what it does when it is warm, and idles, so that its reports are the
// best of all.

// coldMember is an upstream that is cold for some seconds.
func coldMember(id string) *balancer.Upstream {
	u := member(id, "here")
	u.Cold.SetRate(id, 2.5)
	u.Cold.SetCold(start, 3*time.Second)
	return u
}

// hostOf returns a picker of a host that is one of many.
func hostOf(self, hosts int, members ...*balancer.Upstream) *picker {
	mine := timeslot.New("host")
	mine.Set(start, timeslot.Position{Self: self, Hosts: hosts})
	policy := Builder{}.Build(balancer.Options{FailureDomain: "here", Schedule: mine})
	return policy.Update(members).(*picker)
}

// turnOf returns the number among hosts whose turn it is at u.
func turnOf(t *testing.T, u *balancer.Upstream, hosts int) int {
	t.Helper()
	for self := range hosts {
		mine := timeslot.New("host")
		mine.Set(start, timeslot.Position{Self: self, Hosts: hosts})
		if u.Cold.Open(start, mine) {
			return self
		}
	}
	t.Fatal("nobody's turn")
	return 0
}

// TestColdUpstreamsAreLeftToThoseWhoseTurnItIs: a host without a turn neither asks nor
// chooses them, however busy the others are.
func TestColdUpstreamsAreLeftToThoseWhoseTurnItIs(t *testing.T) {
	const hosts = 95
	is := is.New(t)
	cold, warm := coldMember("i-cold"), member("i-warm", "here")
	turn := turnOf(t, cold, hosts)
	tell(cold, start, 0, 1)
	tell(warm, start, 2, 1.5)
	info := balancer.PickInfo{Now: start}
	is.Equal(chosen(t, hostOf((turn+1)%hosts, hosts, cold, warm), info), "i-warm")
	is.Equal(chosen(t, hostOf(turn, hosts, cold, warm), info), "i-cold")
	later := balancer.PickInfo{Now: start.Add(2 * FreshFor)}
	for random := range uint64(8) {
		later.Random = random
		is.Equal(hostOf((turn+1)%hosts, hosts, cold, warm).QueryTargets(later, 0), []*balancer.Upstream{warm})
	}
}

// TestServiceThatIsAllCold: requests wait on the host for its next turn, and one goes
// there in each.
func TestServiceThatIsAllCold(t *testing.T) {
	const hosts = 4
	is := is.New(t)
	cold := coldMember("i-cold")
	p := hostOf(turnOf(t, cold, hosts), hosts, cold)
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start}), "i-cold") // without any report
	_, err := p.Pick(balancer.PickInfo{Now: start})
	is.True(errors.Is(err, balancer.ErrNoSlot))
	_, err = p.Pick(balancer.PickInfo{Now: start, Exclude: []*balancer.Upstream{cold}})
	is.True(errors.Is(err, balancer.ErrNoUpstream)) // it was tried
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start.Add(hosts * 400 * time.Millisecond)}), "i-cold")
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start.Add(3 * time.Second)}), "i-cold") // warm
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start.Add(3 * time.Second)}), "i-cold")
}

// TestColdUpstreamsThatRest: a host whose turn it is at a cold upstream leaves it alone while
// it rests, and does not ask it. Where the others rest and one is cold, a request waits for
// the turn there; where all rest, it is told so.
func TestColdUpstreamsThatRest(t *testing.T) {
	const hosts = 95
	is := is.New(t)
	cold, warm := coldMember("i-cold"), member("i-warm", "here")
	turn := turnOf(t, cold, hosts)
	p := hostOf(turn, hosts, cold, warm)
	info := balancer.PickInfo{Now: start}
	cold.Backoff.Begin(start, time.Minute, 0)
	is.Equal(p.QueryTargets(info, 0), []*balancer.Upstream{warm})
	tell(cold, start, 0, 1)
	tell(warm, start, 2, 1.5)
	is.Equal(chosen(t, p, info), "i-warm")
	warm.Backoff.Begin(start, time.Minute, 0)
	_, err := p.Pick(info)
	is.True(errors.Is(err, balancer.ErrNoUpstream))

	next := coldMember("i-next")
	_, err = hostOf((turnOf(t, next, hosts)+1)%hosts, hosts, next, warm).Pick(info)
	is.True(errors.Is(err, balancer.ErrNoSlot))
}
