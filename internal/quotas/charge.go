package quotas

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/gossip"
	"github.com/dapplespindle/dapplespindle/pkg/quota"
)

const (
	// askWithin bounds a question to one host. Ways are a few milliseconds; a host that is
	// out of processor time for a moment answers within this.
	askWithin = 60 * time.Millisecond
	// relayWithin bounds a question that is passed on, twice at the most.
	relayWithin = 3 * askWithin
	// silentFor is how long a host that did not answer is not asked.
	silentFor = time.Second
	// witnesses is how many hosts a deputy asks whether they reach the host in charge: where
	// a third is lost it finds between a fifth and a half silent, nearly always.
	witnesses = 32
	// fewReached and mostReached are the shares of witnesses that answer below which a deputy
	// takes itself for cut off, and above which it takes the host in charge for lost.
	fewReached, mostReached = 0.5, 0.65
	// cutOffPart is the part of a quota that a deputy grants that is cut off: others may
	// grant all of it.
	cutOffPart = 0.1
)

// room asks the host in charge, or its deputy. It is false if neither answers.
func (k *Enforcer) room(ask *quota.Request) (quota.Answer, bool) {
	f := k.fleet.Load()
	first, second := quota.SelectCoordinator(ask.Customer, f.all)
	charged := f.all[first].Address
	if charged == f.Self.Address {
		return k.ledger.Grant(k.now(), f.Self.Address, ask, k.terms(f, false)), true
	}
	if !k.silent.is(k.now(), charged) {
		if a, ok := k.ask(charged, Request{Request: *ask, Confident: f.Converged}, askWithin); ok {
			return a, true
		}
	}
	if second < 0 {
		return quota.Answer{}, false
	}
	deputy := f.all[second].Address
	q := Request{Request: *ask, Role: RoleBackup, Coordinator: charged, Confident: f.Converged}
	if deputy == f.Self.Address {
		return k.deputize(f, f.Self.Address, &q), true
	}
	if k.silent.is(k.now(), deputy) {
		return quota.Answer{}, false
	}
	return k.ask(deputy, q, relayWithin)
}

// terms are those of an account of which this host is in charge. Where the fleet has not
// changed for long, nobody else granted anything before.
func (k *Enforcer) terms(f *view, sure bool) quota.GrantPolicy {
	return quota.GrantPolicy{Share: f.part(sure), TakenOver: k.now().Sub(f.since) < quota.Window}
}

// ask asks one host, and remembers one that does not answer.
func (k *Enforcer) ask(host netip.AddrPort, q Request, within time.Duration) (quota.Answer, bool) {
	if k.peers == nil {
		return quota.Answer{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	a, ok := k.peers.RequestQuota(ctx, host, q)
	if !ok {
		k.silent.add(k.now(), host)
	}
	return a, ok
}

// Answer answers a question of another host. It may take as long as asking others does.
func (k *Enforcer) Answer(from netip.AddrPort, q *Request) quota.Answer {
	f := k.fleet.Load()
	switch q.Role {
	case RoleCoordinator:
		if charged, other := k.otherInCharge(f, q.Customer); other {
			return k.deputize(f, from, &Request{Request: q.Request, Coordinator: charged, Confident: q.Confident})
		}
	case RoleBackup:
		return k.deputize(f, from, q)
	case RoleWitness:
		a, ok := k.ask(q.Coordinator, Request{Request: q.Request, Role: RoleFinalHop, Confident: q.Confident}, askWithin)
		a.Unavailable = !ok
		return a
	}
	return k.ledger.Grant(k.now(), from, &q.Request, k.terms(f, q.Confident))
}

// otherInCharge returns the host that is in charge of a customer if this one knows that it is
// another one.
func (k *Enforcer) otherInCharge(f *view, customer string) (netip.AddrPort, bool) {
	if !f.Converged {
		return netip.AddrPort{}, false
	}
	first, _ := quota.SelectCoordinator(customer, f.all)
	charged := f.all[first].Address
	return charged, charged != f.Self.Address
}

// deputize answers in place of a host in charge that another one can't reach.
func (k *Enforcer) deputize(f *view, from netip.AddrPort, q *Request) quota.Answer {
	sure := q.Confident || f.Converged
	if !k.silent.is(k.now(), q.Coordinator) {
		if a, ok := k.ask(q.Coordinator, Request{Request: q.Request, Role: RoleFinalHop, Confident: sure}, askWithin); ok {
			return a
		}
	}
	sight, known := k.silent.seen(k.now(), q.Coordinator)
	if !known {
		sight = k.look(f, q.Coordinator)
		k.silent.saw(k.now(), q.Coordinator, sight)
	}
	if sight.witness.IsValid() {
		a, ok := k.ask(sight.witness, Request{Request: q.Request, Role: RoleWitness, Coordinator: q.Coordinator, Confident: sure}, relayWithin)
		if ok && !a.Unavailable {
			return a
		}
	}
	return k.ledger.Grant(k.now(), from, &q.Request, quota.GrantPolicy{Share: min(f.part(sure), sight.part), TakenOver: true})
}

// look asks some hosts whether they reach the host in charge.
func (k *Enforcer) look(f *view, charged netip.AddrPort) sight {
	asked := gossip.Sample(slices.Clone(f.Others), witnesses, rand.IntN)
	probe := quota.Request{Customer: noCustomer, Limit: quota.Limit{PerSecond: 1}}
	answers := make([]quota.Answer, len(asked))
	heard := make([]bool, len(asked))
	var wg sync.WaitGroup
	for i, h := range asked {
		wg.Go(func() {
			answers[i], heard[i] = k.ask(h.Address, Request{Request: probe, Role: RoleWitness, Coordinator: charged}, relayWithin)
		})
	}
	wg.Wait()
	silent := 0
	for i, h := range asked {
		switch {
		case !heard[i]:
			silent++
		case !answers[i].Unavailable:
			return sight{witness: h.Address}
		}
	}
	answered := 1 - float64(silent)/float64(max(len(asked), 1))
	return sight{part: min(max((answered-fewReached)/(mostReached-fewReached), cutOffPart), 1)}
}

// noCustomer is the name in a question that asks for no room.
const noCustomer = "-"
