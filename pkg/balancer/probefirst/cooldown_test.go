package probefirst

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// These tests cover the loss of a whole failure domain: its upstreams refuse connections or
// do not respond, and stay registered for some seconds. Those of other domains have free
// slots.

// lostDomain returns a picker and its upstreams: twelve local ones that are gone, and four
// live ones in another failure domain.
func lostDomain() (*picker, []*balancer.Upstream) {
	var all []*balancer.Upstream
	for i := range 12 {
		all = append(all, member(fmt.Sprint("gone-", i), "here"))
	}
	for i := range 4 {
		all = append(all, member(fmt.Sprint("far-", i), "there"))
	}
	return pickerOf(all...), all
}

// request runs the queries and the choice for one request, and returns the choice and the
// number of failed queries.
func request(t *testing.T, p *picker, info balancer.PickInfo) (choice string, failedQueries int) {
	t.Helper()
	for round := 0; ; round++ {
		list := p.QueryTargets(info, round)
		if len(list) == 0 {
			break
		}
		if list[0].FailureDomain == "here" {
			failProbe(list[0], info.Now)
			failedQueries++
			continue
		}
		reportLoad(list[0], info.Now, 0, 1)
	}
	return chosen(t, p, info), failedQueries
}

// TestLostDomain checks that the first request finds a live upstream after two failed queries.
// Once the whole home set is in its cooldown, no query fails for a second.
func TestLostDomain(t *testing.T) {
	is := is.New(t)
	p, _ := lostDomain()
	info := balancer.PickInfo{Now: start}
	choice, failedQueries := request(t, p, info)
	is.Equal(choice[:3], "far")
	is.Equal(failedQueries, remoteFirstRound)
	for range 6 {
		info.Now = info.Now.Add(2 * ReportTTL)
		info.Random++
		choice, _ = request(t, p, info)
		is.Equal(choice[:3], "far")
	}
	for range 4 {
		info.Now = info.Now.Add(ReportTTL + time.Millisecond)
		info.Random++
		choice, failedQueries = request(t, p, info)
		is.Equal(choice[:3], "far")
		is.Equal(failedQueries, 0)
	}
	info.Now = info.Now.Add(FailureCooldown)
	_, failedQueries = request(t, p, info)
	is.Equal(failedQueries, remoteFirstRound) // they are queried again
}

// TestResponseEndsCooldown checks that a response ends the cooldown after a failure.
func TestResponseEndsCooldown(t *testing.T) {
	is := is.New(t)
	a, b := member("a", "here"), member("b", "here")
	p := pickerOf(a, b)
	info := balancer.PickInfo{Now: start}
	failProbe(a, start)
	is.True(inCooldown(a, start))
	info.Now = start.Add(2 * ReportTTL)
	is.Equal(p.QueryTargets(info, 0), []*balancer.Upstream{b})
	reportLoad(a, info.Now, 0, 1)
	is.True(!inCooldown(a, info.Now))
	is.True(!inCooldown(b, info.Now))
}

// TestAllInCooldown checks that upstreams in their cooldown are queried if no other is left,
// and that one is chosen without a report.
func TestAllInCooldown(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	failProbe(a, start)
	info := balancer.PickInfo{Now: start.Add(2 * ReportTTL)}
	is.Equal(p.QueryTargets(info, 0), []*balancer.Upstream{a})
	is.Equal(chosen(t, p, info), "a")
}

// TestChoosesOutsideCooldownWithoutReports checks the choice if no query was answered or
// allowed.
func TestChoosesOutsideCooldownWithoutReports(t *testing.T) {
	is := is.New(t)
	p, all := lostDomain()
	for _, u := range all[:12] {
		failProbe(u, start)
	}
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start.Add(2 * ReportTTL)})[:3], "far")
}
