// Package quotas carries out pkg/quota on one entry host: it asks the hosts in charge of
// customers for room, and answers those that ask this one.
package quotas

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/quota"
)

// Peers asks other hosts. A question that is not answered in time returns false.
type Peers interface {
	// RequestQuota asks a host for room of a customer's quota.
	RequestQuota(ctx context.Context, host netip.AddrPort, q Request) (quota.Answer, bool)
}

// Role is what a host that is asked is to do.
type Role uint8

const (
	// RoleCoordinator answers from its own account, or asks the host that it knows to be in charge.
	RoleCoordinator Role = iota
	// RoleBackup asks the host in charge, which the one that asks can't reach, or looks whether
	// others reach it.
	RoleBackup
	// RoleWitness asks the host in charge, and does nothing else.
	RoleWitness
	// RoleFinalHop answers from its own account: the question has come through others.
	RoleFinalHop
)

// Request is what one host asks another.
type Request struct {
	quota.Request
	// Role is what the host that is asked is to do.
	Role Role
	// Coordinator is the host in charge, for a deputy and a witness.
	Coordinator netip.AddrPort
	// Confident states that the host that asks knows most of the fleet.
	Confident bool
}

// Validate checks a question of another host.
func (q *Request) Validate() error {
	if q.Role > RoleFinalHop || (q.Role == RoleBackup || q.Role == RoleWitness) && !q.Coordinator.IsValid() {
		return errors.Wrapf(quota.ErrInvalidRequest, "role %d, host in charge %s", q.Role, q.Coordinator)
	}
	return q.Request.Validate()
}

// Fleet is what is known of the entry hosts.
type Fleet struct {
	// Self is this host, and Others those held for alive.
	Self   quota.Host
	Others []quota.Host
	// Known is how many hosts there may be, those held for dead counted; 0 if that is not
	// known.
	Known int
	// Converged is false until this host knows most others.
	Converged bool
}

// unsettledPart is the part of quotas that a host may grant while it does not know most
// others: there may be two more that take themselves for the one in charge.
const unsettledPart = 0.5

// part returns the part of quotas that this host may grant where it is in charge, by its own
// view or, if that is sure, by the view of the host that asks. Where hosts are cut into two,
// the larger part goes on and the other has what is left of the slack.
func (f *Fleet) part(sure bool) float64 {
	if f.Known == 0 || !f.Converged && sure {
		return 1 // alone as far as it knows, or asked by one that knows
	}
	if !f.Converged {
		return unsettledPart
	}
	alive := float64(len(f.Others)+1) / float64(f.Known)
	if alive > 0.5 {
		return 1
	}
	return alive / 2
}

// hosts returns all hosts that may be in charge, this one last. One that does not know most
// others leaves that to those that it knows.
func (f *Fleet) hosts() []quota.Host {
	if !f.Converged && len(f.Others) > 0 {
		return f.Others
	}
	return append(f.Others[:len(f.Others):len(f.Others)], f.Self)
}

// Enforcer holds this host's part of all quotas. It is safe for concurrent use.
type Enforcer struct {
	peers  Peers
	now    func() time.Time
	ledger *quota.Ledger
	fleet  atomic.Pointer[view]
	silent silences

	mu      sync.Mutex
	holders map[string]*holder
}

// view is a Fleet as it was set.
type view struct {
	Fleet
	all   []quota.Host
	since time.Time
}

// New returns the keeper of a host that knows of no others. Peers may be nil.
func New(peers Peers) *Enforcer {
	k := &Enforcer{peers: peers, now: clock.Now, ledger: quota.NewLedger(), holders: make(map[string]*holder)}
	k.SetFleet(Fleet{})
	return k
}

// SetFleet takes in the hosts of the fleet. The lists must not be changed afterwards.
func (k *Enforcer) SetFleet(f Fleet) {
	k.fleet.Store(&view{Fleet: f, all: f.hosts(), since: k.now()})
}

// Tick forgets what has not been used for long.
func (k *Enforcer) Tick(now time.Time) {
	k.ledger.Tick(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, h := range k.holders {
		if h.idle(now) {
			delete(k.holders, name)
		}
	}
}

// Take uses room for one request of a customer. If there is none, wait says when there may
// be. It returns early when ctx ends.
func (k *Enforcer) Take(ctx context.Context, c *config.Customer) (wait time.Duration, ok bool) {
	if c.RatePerSecond == 0 {
		return 0, true
	}
	return k.holder(c.Name).take(ctx, k, c)
}

// Return gives back room that was taken for a request which did not run.
func (k *Enforcer) Return(c *config.Customer) {
	if c.RatePerSecond > 0 {
		k.holder(c.Name).giveBack(k.now())
	}
}

func (k *Enforcer) holder(customer string) *holder {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.holders[customer]
	if h == nil {
		h = &holder{touched: k.now()}
		k.holders[customer] = h
	}
	return h
}

func limitOf(c *config.Customer) quota.Limit {
	return quota.Limit{PerSecond: c.RatePerSecond, Burst: c.Burst}
}
