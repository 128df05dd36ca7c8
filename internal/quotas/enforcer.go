// Package quotas runs pkg/quota on one entry host: it requests quota from the coordinators
// of customers, and answers the requests of other hosts.
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

// Peers sends requests to other hosts.
type Peers interface {
	// RequestQuota requests part of a customer's quota from a host. It returns false if the
	// host does not respond before ctx ends.
	RequestQuota(ctx context.Context, host netip.AddrPort, q Request) (quota.Answer, bool)
}

// Role is how a host handles a request.
type Role uint8

const (
	// RoleCoordinator answers from its own account, or as a backup if it knows that another
	// host is the coordinator.
	RoleCoordinator Role = iota
	// RoleBackup forwards the request to the coordinator, which the requesting host can't
	// reach, or checks whether other hosts reach it.
	RoleBackup
	// RoleWitness only forwards the request to the coordinator.
	RoleWitness
	// RoleFinalHop answers from its own account, because other hosts have forwarded the
	// request.
	RoleFinalHop
)

// Request is a request for quota from one host to another.
type Request struct {
	quota.Request
	// Role is how the receiving host handles the request.
	Role Role
	// Coordinator is the customer's coordinator, for RoleBackup and RoleWitness.
	Coordinator netip.AddrPort
	// Confident states that the requesting host knows most of the fleet.
	Confident bool
}

// Validate checks a request of another host.
func (q *Request) Validate() error {
	if q.Role > RoleFinalHop || (q.Role == RoleBackup || q.Role == RoleWitness) && !q.Coordinator.IsValid() {
		return errors.Wrapf(quota.ErrInvalidRequest, "role %d, coordinator %s", q.Role, q.Coordinator)
	}
	return q.Request.Validate()
}

// Fleet is what this host knows of the entry hosts.
type Fleet struct {
	// Self is this host, and Others are the other hosts that are considered alive.
	Self   quota.Host
	Others []quota.Host
	// Seeds are the hosts in the settings, this one included if it is among them.
	Seeds []quota.Host
	// Known is how many hosts there may be, including those that are considered dead; 0 if
	// that is unknown.
	Known int
	// Converged is false until this host knows most other hosts.
	Converged bool
	// Leaving is true while this host shuts down: the other hosts no longer choose it as a
	// coordinator.
	Leaving bool
}

// unconvergedShare is the share of quotas that a host may grant while it does not know most
// other hosts: up to two others may consider themselves the coordinator as well.
const unconvergedShare = 0.5

// share returns the share of quotas that this host may grant as a coordinator, by its own
// view or, if confident, by the view of the requesting host. In a partition, the larger side
// continues with the full quota, and the smaller side grants what is left of the tolerance.
func (f *Fleet) share(confident bool) float64 {
	if f.Known == 0 || !f.Converged && confident {
		return 1 // knows of no other hosts, or the requesting host knows the fleet
	}
	if !f.Converged {
		return unconvergedShare
	}
	alive := float64(len(f.Others)+1) / float64(f.Known)
	if alive > 0.5 {
		return 1
	}
	return alive / 2
}

// candidates returns all hosts that may be coordinators, this host last. A host that does
// not know most others leaves the role to the seeds, which all such hosts know: if each chose among
// those that it has found, many would coordinate after a restart of all hosts. A host that is
// leaving leaves the role to the others.
func (f *Fleet) candidates() []quota.Host {
	if !f.Converged && len(f.Seeds) > 0 {
		return f.Seeds
	}
	if (!f.Converged || f.Leaving) && len(f.Others) > 0 {
		return f.Others
	}
	return append(f.Others[:len(f.Others):len(f.Others)], f.Self)
}

// Enforcer enforces the quotas of all customers on this host. It is safe for concurrent use.
type Enforcer struct {
	peers      Peers
	now        func() time.Time
	ledger     *quota.Ledger
	fleet      atomic.Pointer[view]
	peerStates peerStates

	mu        sync.Mutex
	customers map[string]*customerState
}

// view is a Fleet, and when it was set.
type view struct {
	Fleet
	candidates []quota.Host
	since      time.Time
}

// coordinates reports whether this host is a customer's coordinator.
func (v *view) coordinates(customer string) bool {
	coordinator, _ := quota.SelectCoordinator(customer, v.candidates)
	return v.candidates[coordinator].Address == v.Self.Address
}

// New returns the enforcer of a host that knows of no other hosts. Peers may be nil.
func New(peers Peers) *Enforcer {
	e := &Enforcer{peers: peers, now: clock.Now, ledger: quota.NewLedger(), customers: make(map[string]*customerState)}
	e.SetFleet(Fleet{})
	return e
}

// SetFleet sets the hosts of the fleet. The caller must not modify f.Others afterwards.
func (e *Enforcer) SetFleet(f Fleet) {
	v := &view{Fleet: f, candidates: f.candidates(), since: e.now()}
	e.fleet.Store(v)
	e.ledger.Release(v.coordinates)
}

// Tick drops the state of customers without recent requests.
func (e *Enforcer) Tick(now time.Time) {
	e.ledger.Tick(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, c := range e.customers {
		if c.idle(now) {
			delete(e.customers, name)
		}
	}
}

// Take uses quota for one request of a customer. If there is none, it returns false and the
// delay after which the request may be retried. It returns early when ctx ends.
func (e *Enforcer) Take(ctx context.Context, c *config.Customer) (wait time.Duration, ok bool) {
	if c.RatePerSecond == 0 {
		return 0, true
	}
	return e.state(c.Name).take(ctx, e, c)
}

// Return gives back quota that was taken for a request that did not run.
func (e *Enforcer) Return(c *config.Customer) {
	if c.RatePerSecond > 0 {
		e.state(c.Name).giveBack(e.now())
	}
}

func (e *Enforcer) state(customer string) *customerState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.customers[customer]
	if s == nil {
		s = &customerState{lastUsed: e.now()}
		e.customers[customer] = s
	}
	return s
}

func limitOf(c *config.Customer) quota.Limit {
	return quota.Limit{PerSecond: c.RatePerSecond, Burst: c.Burst}
}
