package quota

import (
	"math"
	"net/netip"
	"time"
)

// resumeGap is the time without a request after which an account of a host that was on standby
// no longer counts as the one in use. Hosts whose requests are rejected ask again within 100 ms.
const resumeGap = 250 * time.Millisecond

// prefetchReserve is the share of an account's capacity that must remain before tokens are
// granted for requests that are only expected: when tokens are scarce, waiting requests come
// first.
const prefetchReserve = 0.5

// takeoverShare is the share of the burst with which an account starts that may succeed
// another host's. Hosts report their past use only when they request quota, so some requests
// are granted before all past use is known.
const takeoverShare = 0.25

// GrantPolicy determines how much of a quota a host grants.
type GrantPolicy struct {
	// Share is the share of the quota that this account may grant, from 0 to 1. It is below 1
	// where other hosts may grant too.
	Share float64
	// TakenOver states that another host may have granted this quota until now.
	TakenOver bool
	// Standby states that another host is the coordinator and normally grants this quota.
	Standby bool
}

// Account holds what a customer's coordinator may still grant. It is a token bucket that is
// treated as full at Window before it was opened; what each host reports to have used since
// then is deducted.
type Account struct {
	limit  Limit
	opened time.Time
	filled time.Time // when tokens were last added
	tokens float64
	// before holds the tokens that accrued in the Window before the account was opened, less
	// the use that hosts have reported.
	before   float64
	reported map[netip.AddrPort]bool // the hosts that have reported their use
	// standby is true if another host may have been the coordinator since the last grant.
	standby bool
	// nextRetry is the time from which the next rejected request may be retried; earlier
	// times are taken by requests that were rejected before.
	nextRetry time.Time
}

// NewAccount opens an account.
func NewAccount(now time.Time, limit Limit, policy GrantPolicy) *Account {
	a := &Account{limit: limit, filled: now, tokens: limit.capacity()}
	a.open(now, policy.TakenOver)
	return a
}

// open begins to deduct what hosts report to have used before now.
func (a *Account) open(now time.Time, takenOver bool) {
	if takenOver {
		a.tokens = min(a.tokens, max(a.limit.capacity()*takeoverShare, 1))
	}
	a.opened = now
	a.before = a.limit.PerSecond * Window.Seconds()
	a.reported = make(map[netip.AddrPort]bool)
}

// Release records that another host is the customer's coordinator now. If this account is used
// again after a pause, it continues like one that takes over from another host's: the tokens that
// accrued in the meantime may have been granted there.
func (a *Account) Release() { a.standby = true }

// Grant answers a host's request.
func (a *Account) Grant(now time.Time, from netip.AddrPort, req *Request, policy GrantPolicy) Answer {
	share := policy.Share
	resumed := a.standby && now.Sub(a.filled) > resumeGap
	a.refill(now, req.Limit, share)
	if resumed {
		a.open(now, true)
		a.standby = false
	}
	a.standby = a.standby || policy.Standby
	a.deductPastUse(now, from, req.Used)
	granted := min(req.Required, int(max(a.tokens, 0)))
	a.tokens -= float64(granted)
	if granted < req.Required {
		return Answer{Granted: granted, Wait: a.scheduleRetry(now, req.Required-granted, share)}
	}
	if spare := a.tokens - prefetchReserve*a.limit.capacity(); spare >= 1 {
		prefetched := min(req.Prefetch, int(spare))
		a.tokens -= float64(prefetched)
		granted += prefetched
	}
	return Answer{Granted: granted}
}

// refill applies the current limit and adds the tokens that have accrued since the last
// call.
func (a *Account) refill(now time.Time, limit Limit, share float64) {
	a.limit = limit
	capacity := max(limit.Burst*share, 1)
	elapsed := max(now.Sub(a.filled), 0)
	a.filled = now
	a.tokens = min(a.tokens+elapsed.Seconds()*limit.PerSecond*share, capacity)
}

// deductPastUse deducts what a host used before its first request to this account. Only the
// first report of a host counts: what it uses later was granted by this account.
func (a *Account) deductPastUse(now time.Time, from netip.AddrPort, used int) {
	if now.Sub(a.opened) >= Window {
		a.reported = nil
		return
	}
	if a.reported == nil || a.reported[from] {
		return
	}
	a.reported[from] = true
	a.before -= float64(used)
	if a.before < 0 {
		a.tokens += a.before
		a.before = 0
	}
}

// scheduleRetry returns the delay after which the first of several rejected requests may be
// retried: after the requests that were rejected before.
func (a *Account) scheduleRetry(now time.Time, rejected int, share float64) time.Duration {
	rate := max(a.limit.PerSecond*share, math.SmallestNonzeroFloat32)
	next := now.Add(retryDelay((1 - a.tokens) / rate))
	if next.Before(a.nextRetry) {
		next = a.nextRetry
	}
	a.nextRetry = next.Add(retryDelay(float64(rejected) / rate))
	if latest := now.Add(maxRetryDelay); a.nextRetry.After(latest) {
		a.nextRetry = latest
	}
	return next.Sub(now)
}

// maxRetryDelay bounds the delay that a rejected request is given: new requests arrive in
// the meantime, so an estimate further ahead is unreliable.
const maxRetryDelay = 30 * time.Second

// retryDelay converts seconds to a duration of at most maxRetryDelay.
func retryDelay(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxRetryDelay.Seconds()) * float64(time.Second))
}

// Idle reports whether the account has had no request for so long that it can be dropped.
func (a *Account) Idle(now time.Time) bool { return now.Sub(a.filled) > idleTimeout }

// idleTimeout is longer than any account takes to fill up, so an idle account is equivalent
// to a new one.
const idleTimeout = time.Minute
