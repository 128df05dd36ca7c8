package quota

import "time"

const (
	// grantTTL is how long granted quota may be used. What one host does not need is then
	// available to the others.
	grantTTL = time.Second
	// prefetchPeriod is the period of expected demand for which a host requests quota in
	// advance.
	prefetchPeriod = 200 * time.Millisecond
	// assumedHosts is the number of hosts that is assumed while it is unknown.
	assumedHosts = 100

	slots     = 10
	slotWidth = Window / slots
)

// Allowance is one host's part of a customer's quota. The zero value is ready to use.
type Allowance struct {
	granted int       // granted and not used
	expires time.Time // when granted expires

	used [slots]int // requests in each slot of Window
	slot int64      // the latest slot

	// fallback is the token bucket of this host alone, for when no host answers.
	fallback       float64
	fallbackFilled time.Time // when tokens were last added to fallback
}

// Take uses quota that was granted before. It returns false if there is none.
func (a *Allowance) Take(now time.Time) bool {
	if a.granted == 0 || now.After(a.expires) {
		a.granted = 0
		return false
	}
	a.granted--
	a.use(now, 1)
	return true
}

// AddGrant records a grant for requests that are sent now, and for more that are sent later.
func (a *Allowance) AddGrant(now time.Time, sent, more int) {
	a.use(now, sent)
	if more > 0 {
		a.granted += more
		a.expires = now.Add(grantTTL)
	}
}

// Return gives back quota that was taken for a request that did not run.
func (a *Allowance) Return(now time.Time) {
	a.use(now, -1)
	a.AddGrant(now, 0, 1)
}

// TakeFallback uses this host's equal share of the quota, for when no host answers. It
// returns false if nothing is left of it. Hosts is the number of hosts; 0 if it is unknown.
func (a *Allowance) TakeFallback(now time.Time, limit Limit, hosts int) bool {
	if hosts == 0 {
		hosts = assumedHosts
	}
	if a.fallbackFilled.IsZero() {
		a.fallbackFilled = now
	}
	share := 1 / float64(hosts)
	a.fallback = min(a.fallback+now.Sub(a.fallbackFilled).Seconds()*limit.PerSecond*share, max(limit.Burst*share, 1))
	a.fallbackFilled = now
	if a.fallback < 1 {
		return false
	}
	a.fallback--
	a.use(now, 1)
	return true
}

// Used returns how many requests were sent within Window.
func (a *Allowance) Used(now time.Time) int {
	a.advance(now)
	total := 0
	for _, n := range a.used {
		total += n
	}
	return max(total, 0)
}

// ExpectedDemand returns how many requests are expected until quota is requested again.
func (a *Allowance) ExpectedDemand(now time.Time) int {
	return int(float64(a.Used(now)) * prefetchPeriod.Seconds() / Window.Seconds())
}

func (a *Allowance) use(now time.Time, n int) {
	a.advance(now)
	a.used[a.slot%slots] += n
}

// advance clears the slots that have begun since the last call.
func (a *Allowance) advance(now time.Time) {
	next := now.UnixNano() / int64(slotWidth)
	for s := max(a.slot+1, next-slots+1); s <= next; s++ {
		a.used[s%slots] = 0
	}
	a.slot = max(a.slot, next)
}
