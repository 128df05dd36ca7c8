// Package quota enforces the request quotas of customers across all entry hosts: a rate
// per second and a burst.
//
// Each customer has a coordinator among the hosts, chosen by rendezvous hashing. It keeps
// the customer's Account, and the other hosts request quota from it before they send. No
// agreement on the coordinator is needed: each host selects it among the hosts that it
// knows. A host that takes over opens a new account, and each host that requests quota from
// it reports its recent use, so that nothing is granted twice. If the coordinator does not
// respond, a backup in another failure domain checks through witnesses whether other hosts
// reach it. A host that reaches neither uses an equal share of the quota, by the number of
// hosts.
//
// The package does no I/O, reads no clock and uses no randomness.
package quota

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Window is the period over which hosts report their use. Earlier grants no longer matter,
// since an account holds about a second's worth of tokens at most.
const Window = 5 * time.Second

// Limit is a customer's quota.
type Limit struct {
	// PerSecond is the rate, and Burst the number of requests that may exceed it at once.
	PerSecond, Burst float64
}

// capacity is the largest number of tokens that an account holds.
func (l Limit) capacity() float64 { return max(l.Burst, 1) }

// Request asks a host for part of a customer's quota.
type Request struct {
	// Customer is the customer's name.
	Customer string
	// Limit is the quota in the requesting host's configuration.
	Limit Limit
	// Required is how many requests are waiting for quota, and Prefetch how many more are
	// expected soon.
	Required, Prefetch int
	// Used is how many requests the requesting host has sent within Window.
	Used int
}

// Limits of the values that are accepted from another host.
const (
	maxRequested = 1 << 20
	maxUsed      = 1 << 30
	maxRate      = 1e9
)

// ErrInvalidRequest means that a message of another host has values out of range.
var ErrInvalidRequest = errors.New("invalid quota message")

// Validate checks a request of another host.
func (r *Request) Validate() error {
	ok := r.Customer != "" && inRange(r.Required, maxRequested) && inRange(r.Prefetch, maxRequested) && inRange(r.Used, maxUsed) &&
		r.Limit.PerSecond > 0 && r.Limit.PerSecond <= maxRate && r.Limit.Burst >= 0 && r.Limit.Burst <= maxRate
	if !ok {
		return errors.Wrapf(ErrInvalidRequest, "%+v", *r)
	}
	return nil
}

func inRange(n, limit int) bool { return n >= 0 && n <= limit }

// Answer is the answer to a Request.
type Answer struct {
	// Granted is how many requests may be sent: at most Required plus Prefetch.
	Granted int
	// Wait is the delay after which the first request that was not granted may be retried; 0
	// if all were granted.
	Wait time.Duration
	// Unavailable states that the responding host, as a witness, does not reach the
	// coordinator.
	Unavailable bool
}

// maxWait bounds the wait in an answer of another host.
const maxWait = time.Hour

// Validate checks the answer of another host.
func (a *Answer) Validate() error {
	if !inRange(a.Granted, 2*maxRequested) || a.Wait < 0 || a.Wait > maxWait {
		return errors.Wrapf(ErrInvalidRequest, "answer %+v", *a)
	}
	return nil
}

// Host is one entry host.
type Host struct {
	// Address is where the host receives requests.
	Address netip.AddrPort
	// FailureDomain is empty if it is unknown.
	FailureDomain string
}

// SelectCoordinator returns the indices of a customer's coordinator and of its backup. Both
// are chosen by rendezvous hashing; the backup is in another failure domain if there is one.
// All hosts select the same backup, so that no two hosts take over from a coordinator that
// is lost. The coordinator is -1 if there are no hosts, and the backup is -1 if there is no
// second host.
func SelectCoordinator(customer string, hosts []Host) (coordinator, backup int) {
	coordinator, backup = -1, -1
	var highest, next, nextRemote uint64
	for i := range hosts {
		if w := weight(customer, &hosts[i]); coordinator < 0 || w > highest {
			coordinator, highest = i, w
		}
	}
	remote := -1 // the best one in another failure domain
	for i := range hosts {
		if i == coordinator {
			continue
		}
		w := weight(customer, &hosts[i])
		if backup < 0 || w > next {
			backup, next = i, w
		}
		if hosts[i].FailureDomain != hosts[coordinator].FailureDomain && (remote < 0 || w > nextRemote) {
			remote, nextRemote = i, w
		}
	}
	if remote >= 0 {
		backup = remote
	}
	return coordinator, backup
}

func weight(customer string, h *Host) uint64 {
	ip := h.Address.Addr().As16()
	var d xxhash.Digest
	d.ResetWithSeed(uint64(h.Address.Port()))
	_, _ = d.Write(ip[:])
	_, _ = d.WriteString(customer)
	return d.Sum64()
}
