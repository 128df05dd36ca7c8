package gateway

const (
	// retryUse is the part of the fleet's retry budget that is used: requests are
	// counted here when they are first sent, there when callers send them.
	retryUse = 0.85
	// reserveUse is the part of the fixed part of that budget that the hosts share:
	// one that sees half of the others takes twice its part.
	reserveUse = 0.5
	// minReserve is a host's part of the fixed part, in sends, at the least and while
	// it does not know the other hosts. On the platforms known the fixed part is 1.5
	// to 4.3 sends a host.
	minReserve = 1
	// percent is the whole of a percentage.
	percent = 100
)

// retryShare returns this host's part of the fleet's retry budget: extra sends in
// percent of first ones, and a reserve. 0 hosts are an unknown number.
func retryShare(s Settings, hosts int) (share, reserve float64) {
	share = s.RetryBudgetRatio * retryUse * percent
	if hosts == 0 {
		return share, minReserve
	}
	return share, max(minReserve, s.RetryReserve*reserveUse/float64(hosts))
}

// shareRetries takes in a changed number of hosts, or changed settings. It runs on
// the control goroutine.
func (g *Gateway) shareRetries() {
	g.confMu.Lock()
	share, reserve := retryShare(g.conf, g.hosts)
	g.confMu.Unlock()
	g.proxy.SetSharedBudget(share, reserve)
}
