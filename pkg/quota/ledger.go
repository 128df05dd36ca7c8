package quota

import (
	"net/netip"
	"sync"
	"time"
)

// Ledger holds the accounts of the customers that one host is asked about. It is safe for
// concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[string]*Account
}

// NewLedger returns a ledger without accounts.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[string]*Account)} }

// Grant answers a host's question; see Account.Grant.
func (l *Ledger) Grant(now time.Time, from netip.AddrPort, ask *Request, terms GrantPolicy) Answer {
	if ask.Required == 0 {
		return Answer{} // only asked whether this host answers
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[ask.Customer]
	if a == nil {
		a = NewAccount(now, ask.Limit, terms)
		l.accounts[ask.Customer] = a
	}
	return a.Grant(now, from, ask, terms)
}

// Tick closes the accounts that have been idle for long.
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
