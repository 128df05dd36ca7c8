package quota

import (
	"net/netip"
	"sync"
	"time"
)

// Ledger holds the accounts of the customers for which hosts, this one included, request
// quota from this host. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[string]*Account
}

// NewLedger returns a ledger without accounts.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[string]*Account)} }

// Grant answers a host's request; see Account.Grant.
func (l *Ledger) Grant(now time.Time, from netip.AddrPort, req *Request, policy GrantPolicy) Answer {
	if req.Required == 0 {
		return Answer{} // a reachability check
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[req.Customer]
	if a == nil {
		a = NewAccount(now, req.Limit, policy)
		l.accounts[req.Customer] = a
	}
	return a.Grant(now, from, req, policy)
}

// Release releases the accounts of customers whose coordinator is another host; see
// Account.Release.
func (l *Ledger) Release(coordinates func(customer string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.accounts {
		if !coordinates(name) {
			a.Release()
		}
	}
}

// Tick drops idle accounts.
func (l *Ledger) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.accounts {
		if a.Idle(now) {
			delete(l.accounts, name)
		}
	}
}

// Len returns the number of accounts.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts)
}
