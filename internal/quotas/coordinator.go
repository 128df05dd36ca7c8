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
	// peerTimeout bounds a request to one host. Network latency is a few milliseconds; the
	// rest allows for a host that is briefly short of CPU time.
	peerTimeout = 60 * time.Millisecond
	// relayTimeout bounds a request that is forwarded at most twice.
	relayTimeout = 3 * peerTimeout
	// unresponsiveFor is how long no requests are sent to a host that did not respond.
	unresponsiveFor = time.Second
	// witnesses is how many hosts a backup asks whether they reach the coordinator. If a third
	// of the fleet is lost, nearly always between a fifth and a half of the witnesses are
	// unresponsive.
	witnesses = 32
	// A backup considers itself isolated if the share of witnesses that respond is below
	// isolatedBelow, and the coordinator lost if it is above lostAbove.
	isolatedBelow, lostAbove = 0.5, 0.65
	// isolatedShare is the share of a quota that an isolated backup grants: other hosts may
	// grant all of the quota.
	isolatedShare = 0.1
)

// request requests quota from the coordinator, or from its backup if the coordinator does
// not respond. It returns false if neither responds.
func (e *Enforcer) request(req *quota.Request) (quota.Answer, bool) {
	f := e.fleet.Load()
	first, second := quota.SelectCoordinator(req.Customer, f.candidates)
	coordinator := f.candidates[first].Address
	if coordinator == f.Self.Address {
		return e.ledger.Grant(e.now(), f.Self.Address, req, e.policy(f, req.Customer, false)), true
	}
	if !e.peerStates.unresponsive(e.now(), coordinator) {
		if a, ok := e.call(coordinator, Request{Request: *req, Confident: f.Converged}, peerTimeout); ok {
			return a, true
		}
	}
	if second < 0 {
		return quota.Answer{}, false
	}
	backup := f.candidates[second].Address
	q := Request{Request: *req, Role: RoleBackup, Coordinator: coordinator, Confident: f.Converged}
	if backup == f.Self.Address {
		return e.answerAsBackup(f, f.Self.Address, &q), true
	}
	if e.peerStates.unresponsive(e.now(), backup) {
		return quota.Answer{}, false
	}
	return e.call(backup, q, relayTimeout)
}

// policy returns the policy for a customer's account on this host. If this host is the
// coordinator and the fleet has not changed within quota.Window, no other host granted anything
// before.
func (e *Enforcer) policy(f *view, customer string, confident bool) quota.GrantPolicy {
	standby := !f.coordinates(customer)
	return quota.GrantPolicy{Share: f.share(confident), TakenOver: standby || e.now().Sub(f.since) < quota.Window, Standby: standby}
}

// call sends a request to one host. A host that does not respond is recorded as unresponsive.
func (e *Enforcer) call(host netip.AddrPort, q Request, timeout time.Duration) (quota.Answer, bool) {
	if e.peers == nil {
		return quota.Answer{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a, ok := e.peers.RequestQuota(ctx, host, q)
	if !ok {
		e.peerStates.markUnresponsive(e.now(), host)
	}
	return a, ok
}

// Answer answers a request of another host. It may block while it sends requests to other
// hosts.
func (e *Enforcer) Answer(from netip.AddrPort, q *Request) quota.Answer {
	f := e.fleet.Load()
	switch q.Role {
	case RoleCoordinator:
		if coordinator, other := e.otherCoordinator(f, q.Customer); other {
			return e.answerAsBackup(f, from, &Request{Request: q.Request, Coordinator: coordinator, Confident: q.Confident})
		}
	case RoleBackup:
		return e.answerAsBackup(f, from, q)
	case RoleWitness:
		a, ok := e.call(q.Coordinator, Request{Request: q.Request, Role: RoleFinalHop, Confident: q.Confident}, peerTimeout)
		a.Unavailable = !ok
		return a
	}
	return e.ledger.Grant(e.now(), from, &q.Request, e.policy(f, q.Customer, q.Confident))
}

// otherCoordinator returns a customer's coordinator, and true if this host knows that it is
// another host.
func (e *Enforcer) otherCoordinator(f *view, customer string) (netip.AddrPort, bool) {
	if !f.Converged {
		return netip.AddrPort{}, false
	}
	first, _ := quota.SelectCoordinator(customer, f.candidates)
	coordinator := f.candidates[first].Address
	return coordinator, coordinator != f.Self.Address
}

// answerAsBackup answers in place of a coordinator that the requesting host can't reach.
func (e *Enforcer) answerAsBackup(f *view, from netip.AddrPort, q *Request) quota.Answer {
	confident := q.Confident || f.Converged
	if !e.peerStates.unresponsive(e.now(), q.Coordinator) {
		if a, ok := e.call(q.Coordinator, Request{Request: q.Request, Role: RoleFinalHop, Confident: confident}, peerTimeout); ok {
			return a
		}
	}
	check, known := e.peerStates.check(e.now(), q.Coordinator)
	if !known {
		check = e.checkCoordinator(f, q.Coordinator)
		e.peerStates.recordCheck(e.now(), q.Coordinator, check)
	}
	if check.witness.IsValid() {
		a, ok := e.call(check.witness, Request{Request: q.Request, Role: RoleWitness, Coordinator: q.Coordinator, Confident: confident}, relayTimeout)
		if ok && !a.Unavailable {
			return a
		}
	}
	return e.ledger.Grant(e.now(), from, &q.Request, quota.GrantPolicy{Share: min(f.share(confident), check.share), TakenOver: true, Standby: true})
}

// checkCoordinator asks a sample of the hosts whether they reach the coordinator.
func (e *Enforcer) checkCoordinator(f *view, coordinator netip.AddrPort) coordinatorCheck {
	sample := gossip.Sample(slices.Clone(f.Others), witnesses, rand.IntN)
	probe := quota.Request{Customer: noCustomer, Limit: quota.Limit{PerSecond: 1}}
	answers := make([]quota.Answer, len(sample))
	responded := make([]bool, len(sample))
	var wg sync.WaitGroup
	for i, h := range sample {
		wg.Go(func() {
			answers[i], responded[i] = e.call(h.Address, Request{Request: probe, Role: RoleWitness, Coordinator: coordinator}, relayTimeout)
		})
	}
	wg.Wait()
	unresponsive := 0
	for i, h := range sample {
		switch {
		case !responded[i]:
			unresponsive++
		case !answers[i].Unavailable:
			return coordinatorCheck{witness: h.Address}
		}
	}
	reached := 1 - float64(unresponsive)/float64(max(len(sample), 1))
	return coordinatorCheck{share: min(max((reached-isolatedBelow)/(lostAbove-isolatedBelow), isolatedShare), 1)}
}

// noCustomer is the customer name in a request that only checks whether a host responds.
const noCustomer = "-"
