package probefirst

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// The pattern: the upstreams of a whole failure domain are gone, refuse connections or
// say nothing, and their entries stay for some seconds. Those of the other domains have
// room.

// lostDomain returns a picker beside twelve upstreams that are gone, and four that are
// farther away and live.
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

// request lets a picker ask for one request, and returns the choice and the questions
// that nobody answered.
func request(t *testing.T, p *picker, info balancer.PickInfo) (choice string, inVain int) {
	t.Helper()
	for round := 0; ; round++ {
		list := p.QueryTargets(info, round)
		if len(list) == 0 {
			break
		}
		if list[0].FailureDomain == "here" {
			fail(list[0], info.Now)
			inVain++
			continue
		}
		tell(list[0], info.Now, 0, 1)
	}
	return chosen(t, p, info), inVain
}

// TestLostDomain: the first request finds one that lives after two questions in vain,
// and once all that are asked first are known to be gone, requests ask nobody in vain
// for a second.
func TestLostDomain(t *testing.T) {
	is := is.New(t)
	p, _ := lostDomain()
	info := balancer.PickInfo{Now: start}
	choice, inVain := request(t, p, info)
	is.Equal(choice[:3], "far")
	is.Equal(inVain, farFrom)
	for range 6 {
		info.Now = info.Now.Add(2 * FreshFor)
		info.Random++
		choice, _ = request(t, p, info)
		is.Equal(choice[:3], "far")
	}
	for range 4 {
		info.Now = info.Now.Add(FreshFor + time.Millisecond)
		info.Random++
		choice, inVain = request(t, p, info)
		is.Equal(choice[:3], "far")
		is.Equal(inVain, 0)
	}
	info.Now = info.Now.Add(FailureCooldown)
	_, inVain = request(t, p, info)
	is.Equal(inVain, farFrom) // they are looked at again
}

// TestSuspectThatAnswers is as good as any other.
func TestSuspectThatAnswers(t *testing.T) {
	is := is.New(t)
	a, b := member("a", "here"), member("b", "here")
	p := pickerOf(a, b)
	info := balancer.PickInfo{Now: start}
	fail(a, start)
	is.True(suspect(a, start))
	info.Now = start.Add(2 * FreshFor)
	is.Equal(p.QueryTargets(info, 0), []*balancer.Upstream{b})
	tell(a, info.Now, 0, 1)
	is.True(!suspect(a, info.Now))
	is.True(!suspect(b, info.Now))
}

// TestOnlySuspectsAreLeft: they are asked, and one is chosen without a report.
func TestOnlySuspectsAreLeft(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	fail(a, start)
	info := balancer.PickInfo{Now: start.Add(2 * FreshFor)}
	is.Equal(p.QueryTargets(info, 0), []*balancer.Upstream{a})
	is.Equal(chosen(t, p, info), "a")
}

// TestChoosesWithoutReportAmongTheOthers: where no question was answered or allowed.
func TestChoosesWithoutReportAmongTheOthers(t *testing.T) {
	is := is.New(t)
	p, all := lostDomain()
	for _, u := range all[:12] {
		fail(u, start)
	}
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start.Add(2 * FreshFor)})[:3], "far")
}
