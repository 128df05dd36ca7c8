package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	// budgetUtilization is the part of the fleet's retry budget that is used. This host
	// counts a request at its first attempt and an extra one when it is allowed, whereas the
	// bound counts both when they arrive.
	budgetUtilization = 0.97
	// reserveUtilization is the part of the budget's fixed reserve that the hosts divide: a
	// host that sees half of the others takes twice its share.
	reserveUtilization = 0.5
	// unknownFleetReserve is a host's share of the reserve, in attempts, while it does not know
	// the others. On the known platforms the reserve is 1.5 to 4.3 attempts per host.
	unknownFleetReserve = 1
	// percent converts a ratio to a percentage.
	percent = 100
)

// retryShare returns this host's share of the fleet's retry budget: retries in percent of
// first attempts, and a reserve. 0 hosts means that the number is unknown.
func retryShare(s Settings, hosts int) (share, reserve float64) {
	share = s.RetryBudgetRatio * budgetUtilization * percent
	if hosts == 0 {
		return share, unknownFleetReserve
	}
	return share, s.RetryReserve * reserveUtilization / float64(hosts)
}

// shareRetries applies a changed number of hosts or changed settings to the retry
// budget. It runs on the control goroutine.
func (g *Gateway) shareRetries() {
	g.confMu.Lock()
	share, reserve := retryShare(g.conf, g.hostCount)
	g.confMu.Unlock()
	g.proxy.SetSharedBudget(share, reserve)
}

// retryBorrower implements proxy.RetryBorrower over the peer transport.
type retryBorrower struct {
	gateway *Gateway
}

// BorrowRetry implements proxy.RetryBorrower. It asks one random host.
func (b retryBorrower) BorrowRetry(ctx context.Context, service string) bool {
	f := b.gateway.fleet
	if f == nil {
		return false
	}
	others := *f.others.Load()
	return len(others) > 0 && f.transport.BorrowRetry(ctx, others[rand.IntN(len(others))], service)
}

// errUnknownHost means that the sender of a message is not a known live host.
var errUnknownHost = errors.New("sender is not a known host")

// lendRetry lends an extra attempt to another host.
func (f *fleet) lendRetry(from netip.AddrPort, service string) (bool, error) {
	if !slices.Contains(*f.others.Load(), from) {
		return false, errors.Wrap(errUnknownHost, from.String())
	}
	return f.gateway.proxy.LendRetry(service), nil
}
