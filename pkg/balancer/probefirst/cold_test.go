package probefirst

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

// These tests cover the restart of a whole failure domain, a quarter of a service, under
// high load. Each cold upstream tolerates 2.5 requests per second from the whole fleet, a
// tenth of its rate when warm. It is idle, so its load reports are the best of all.

// coldMember returns an upstream that stays cold for some seconds.
func coldMember(id string) *balancer.Upstream {
	u := member(id, "here")
	u.Cold.SetRate(id, 2.5)
	u.Cold.SetCold(start, 3*time.Second)
	return u
}

// pickerOfHost returns the picker of the host with index self among hosts.
func pickerOfHost(self, hosts int, members ...*balancer.Upstream) *picker {
	mine := timeslot.New("host")
	mine.Set(start, timeslot.Position{Self: self, Hosts: hosts})
	policy := Builder{}.Build(balancer.Options{FailureDomain: "here", Schedule: mine})
	return policy.Update(members).(*picker)
}

// slotHolder returns the index of the host that has the current time slot of u.
func slotHolder(t *testing.T, u *balancer.Upstream, hosts int) int {
	t.Helper()
	for self := range hosts {
		mine := timeslot.New("host")
		mine.Set(start, timeslot.Position{Self: self, Hosts: hosts})
		if u.Cold.Open(start, mine) {
			return self
		}
	}
	t.Fatal("no host has the time slot")
	return 0
}

// TestColdUpstreamsAreLeftToThoseWhoseTurnItIs checks that a host without a time slot neither
// queries nor chooses a cold upstream, however busy the others are.
func TestColdUpstreamsAreLeftToThoseWhoseTurnItIs(t *testing.T) {
	const hosts = 95
	is := is.New(t)
	cold, warm := coldMember("i-cold"), member("i-warm", "here")
	holder := slotHolder(t, cold, hosts)
	reportLoad(cold, start, 0, 1)
	reportLoad(warm, start, 2, 1.5)
	info := balancer.PickInfo{Now: start}
	is.Equal(chosen(t, pickerOfHost((holder+1)%hosts, hosts, cold, warm), info), "i-warm")
	is.Equal(chosen(t, pickerOfHost(holder, hosts, cold, warm), info), "i-cold")
	later := balancer.PickInfo{Now: start.Add(2 * ReportTTL)}
	for random := range uint64(8) {
		later.Random = random
		is.Equal(pickerOfHost((holder+1)%hosts, hosts, cold, warm).QueryTargets(later, 0), []*balancer.Upstream{warm})
	}
}

// TestServiceThatIsAllCold checks that requests wait on the host for its next time slot, and
// that one is sent in each slot.
func TestServiceThatIsAllCold(t *testing.T) {
	const hosts = 4
	is := is.New(t)
	cold := coldMember("i-cold")
	p := pickerOfHost(slotHolder(t, cold, hosts), hosts, cold)
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start}), "i-cold") // without any report
	_, err := p.Pick(balancer.PickInfo{Now: start})
	is.True(errors.Is(err, balancer.ErrNoSlot))
	_, err = p.Pick(balancer.PickInfo{Now: start, Exclude: []*balancer.Upstream{cold}})
	is.True(errors.Is(err, balancer.ErrNoUpstream)) // already tried
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start.Add(hosts * 400 * time.Millisecond)}), "i-cold")
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start.Add(3 * time.Second)}), "i-cold") // warm
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start.Add(3 * time.Second)}), "i-cold")
}

// TestColdUpstreamsInBackoff checks that a host neither queries nor chooses a cold upstream in
// backoff, even in its time slot. If one upstream is cold and the others are in backoff, a
// request waits for the time slot; if all are in backoff, no upstream is eligible.
func TestColdUpstreamsInBackoff(t *testing.T) {
	const hosts = 95
	is := is.New(t)
	cold, warm := coldMember("i-cold"), member("i-warm", "here")
	holder := slotHolder(t, cold, hosts)
	p := pickerOfHost(holder, hosts, cold, warm)
	info := balancer.PickInfo{Now: start}
	cold.Backoff.Begin(start, time.Minute, 0)
	is.Equal(p.QueryTargets(info, 0), []*balancer.Upstream{warm})
	reportLoad(cold, start, 0, 1)
	reportLoad(warm, start, 2, 1.5)
	is.Equal(chosen(t, p, info), "i-warm")
	warm.Backoff.Begin(start, time.Minute, 0)
	_, err := p.Pick(info)
	is.True(errors.Is(err, balancer.ErrNoUpstream))

	next := coldMember("i-next")
	_, err = pickerOfHost((slotHolder(t, next, hosts)+1)%hosts, hosts, next, warm).Pick(info)
	is.True(errors.Is(err, balancer.ErrNoSlot))
}
