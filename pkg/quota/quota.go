// Package quota keeps the requests of customers to their quotas over all entry hosts
// together: so many a second, and a burst on top.
//
// One host is in charge of a customer, by rendezvous hashing over the hosts: it keeps an
// Account, and the others ask it for room before they send. Nobody has to agree on who that
// is: each host goes by the hosts that it knows of. A host that takes over opens an account
// and learns from each host that asks what that one has used lately, so that nothing is
// granted twice. Where the one in charge is silent, a deputy in another failure domain looks
// whether others reach it; one that reaches nobody has its part of the quota, by the number
// of hosts.
//
// The package does no I/O, reads no clock and draws no randomness.
package quota

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Window is the time over which hosts report what they have used. Room that was granted
// before then can't matter any more: an account holds no more than a second or so of it.
const Window = 5 * time.Second

// Limit is a customer's quota.
type Limit struct {
	// PerSecond is the rate, and Burst what may come at once beyond it, in requests.
	PerSecond, Burst float64
}

// size is how much room an account holds at the most.
func (l Limit) size() float64 { return max(l.Burst, 1) }

// Request is a question for room.
type Request struct {
	// Customer is the customer's name.
	Customer string
	// Limit is the quota as the host that asks knows it.
	Limit Limit
	// Required is how many requests wait for room, and Prefetch how many more are expected soon.
	Required, Prefetch int
	// Used is how many requests the host has sent within Window.
	Used int
}

// Bounds of a Request of another host.
const (
	maxAsked = 1 << 20
	maxUsed  = 1 << 30
	maxRate  = 1e9
)

// ErrInvalidRequest means that a question of another host can't be true.
var ErrInvalidRequest = errors.New("question for room that can't be true")

// Validate checks a question of another host.
func (a *Request) Validate() error {
	ok := a.Customer != "" && inRange(a.Required, maxAsked) && inRange(a.Prefetch, maxAsked) && inRange(a.Used, maxUsed) &&
		a.Limit.PerSecond > 0 && a.Limit.PerSecond <= maxRate && a.Limit.Burst >= 0 && a.Limit.Burst <= maxRate
	if !ok {
		return errors.Wrapf(ErrInvalidRequest, "{Customer:%s Limit:%+v Must:%d Ahead:%d Used:%d}",
			a.Customer, a.Limit, a.Required, a.Prefetch, a.Used)
	}
	return nil
}

func inRange(n, most int) bool { return n >= 0 && n <= most }

// Answer is the answer to a Request.
type Answer struct {
	// Granted is how many requests may be sent, up to Required and Prefetch together.
	Granted int
	// Wait is when the first of those that were not granted may find room; 0 if all were.
	Wait time.Duration
	// Unavailable states that the host that was asked, as a witness, does not reach the host in
	// charge.
	Unavailable bool
}

// maxWait bounds the wait of another host's answer.
const maxWait = time.Hour

// Validate checks the answer of another host.
func (a *Answer) Validate() error {
	if !inRange(a.Granted, 2*maxAsked) || a.Wait < 0 || a.Wait > maxWait {
		return errors.Wrapf(ErrInvalidRequest, "answer {Granted:%d Wait:%v Nobody:%t}", a.Granted, a.Wait, a.Unavailable)
	}
	return nil
}

// Host is one entry host.
type Host struct {
	// Address is where it is asked.
	Address netip.AddrPort
	// FailureDomain is where it runs; empty if that is not known.
	FailureDomain string
}

// SelectCoordinator returns the indices of the host that is in charge of a customer and of its
// deputy: the next one by rank, in another failure domain if there is one. There is one
// deputy whoever looks, so that no two hosts go on for a host that is lost. The deputy is -1
// where there is one host only.
func SelectCoordinator(customer string, hosts []Host) (first, deputy int) {
	first, deputy = -1, -1
	var best, next, nextApart uint64
	for i := range hosts {
		if w := weight(customer, &hosts[i]); first < 0 || w > best {
			first, best = i, w
		}
	}
	apart := -1
	for i := range hosts {
		if i == first {
			continue
		}
		w := weight(customer, &hosts[i])
		if deputy < 0 || w > next {
			deputy, next = i, w
		}
		if hosts[i].FailureDomain != hosts[first].FailureDomain && (apart < 0 || w > nextApart) {
			apart, nextApart = i, w
		}
	}
	if apart >= 0 {
		deputy = apart
	}
	return first, deputy
}

func weight(customer string, h *Host) uint64 {
	ip := h.Address.Addr().As16()
	var d xxhash.Digest
	d.ResetWithSeed(uint64(h.Address.Port()))
	_, _ = d.Write(ip[:])
	_, _ = d.WriteString(customer)
	return d.Sum64()
}
