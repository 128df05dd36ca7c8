package probebudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// loanLife is how long a borrower may use a loan after it asked. A new lender
// process waits for Linger, so loans of the one before are over.
var loanLife = testPlan.Linger

// loans carries asks and loans between the hosts of one run, without delay
// or loss.
type loans struct {
	askedAt map[int]time.Time // by the borrower's clock
	until   map[int]time.Time // by the borrower's clock
}

// lender is a host that lends its share while idle: hosts with an odd number
// never probe. The lender waits until the loan is over before it earns again.
type lender struct {
	*fixedShare
	pool     *loans
	host     int
	lentTo   time.Time // zero: nothing lent
	borrowed bool
}

func lending() func(int, time.Time, Plan) spender {
	pool := &loans{askedAt: map[int]time.Time{}, until: map[int]time.Time{}}
	return func(host int, now time.Time, p Plan) spender {
		delete(pool.askedAt, host)
		delete(pool.until, host)
		return &lender{fixedShare: newFixedShare(host, now, p).(*fixedShare), pool: pool, host: host}
	}
}

func (l *lender) take(now time.Time, live int) bool {
	if l.host%2 == 1 {
		l.lend(now, live)
		return false
	}
	if l.fixedShare.take(now, live) {
		return true
	}
	until, ok := l.pool.until[l.host]
	delete(l.pool.until, l.host)
	if ok && now.Before(until) {
		l.borrowed = true
		return true
	}
	l.pool.askedAt[l.host] = now
	return false
}

func (l *lender) lend(now time.Time, live int) {
	if !l.lentTo.IsZero() {
		if now.After(l.lentTo) {
			l.lentTo = time.Time{}
			l.fixedShare.settle(now, GivenUp)
		}
		return
	}
	borrower := l.host - 1
	asked, ok := l.pool.askedAt[borrower]
	if !ok || !l.fixedShare.take(now, live) {
		return
	}
	delete(l.pool.askedAt, borrower)
	l.pool.until[borrower] = asked.Add(loanLife)
	l.lentTo = now.Add(loanLife + loanLife/10)
}

func (l *lender) settle(now time.Time, o Outcome) {
	if l.borrowed {
		l.borrowed = false
		return
	}
	l.fixedShare.settle(now, o)
}

// idleHalf is the product where hosts with an odd number never probe.
type idleHalf struct {
	*fixedShare
	host int
}

func newIdleHalf(host int, now time.Time, p Plan) spender {
	return &idleHalf{newFixedShare(host, now, p).(*fixedShare), host}
}

func (i *idleHalf) take(now time.Time, live int) bool {
	return i.host%2 == 0 && i.fixedShare.take(now, live)
}

// TestLendingOverWindows measures what lending of idle shares gains and what breaks it.
func TestLendingOverWindows(t *testing.T) {
	is := is.New(t)
	window := int(testPlan.Window() / tick)
	full := float64(scheduleTicks) / float64(window) * float64(testPlan.MaxHosts)
	use := func(s func(int, time.Time, Plan) spender) float64 {
		return 100 * float64(len(run(s, nil, scheduleTicks))) / full
	}
	t.Logf("half of the hosts idle, no faults: fixed shares use %.0f%% of the budget, lending %.0f%%", use(newIdleHalf), use(lending()))
	runs, broken, brokenNoPause := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt)
		runs++
		if overBudget(run(lending(), faults, scheduleTicks), window) > 0 {
			broken++
		}
		var calm []fault
		for _, x := range faults {
			if x.kind != pauseAfterTake {
				calm = append(calm, x)
			}
		}
		if overBudget(run(lending(), calm, scheduleTicks), window) > 0 {
			brokenNoPause++
		}
		if overBudget(run(newIdleHalf, faults, scheduleTicks), window) > 0 {
			rt.Fatal("fixed shares over budget")
		}
	})
	t.Logf("lending over budget in %d of %d schedules; without pauses between grant and send in %d", broken, runs, brokenNoPause)
	is.True(broken > 0) // a pause between grant and send must break it
}

// TestUseOfWindowsByLiveHosts measures what absent hosts leave unused.
func TestUseOfWindowsByLiveHosts(t *testing.T) {
	window := int(testPlan.Window() / tick)
	full := float64(scheduleTicks) / float64(window) * float64(testPlan.MaxHosts)
	for absent := range testPlan.MaxHosts {
		var faults []fault
		for h := range absent {
			faults = append(faults, fault{kind: down, host: h, ticks: 2 * scheduleTicks})
		}
		arrivals := run(newFixedShare, faults, scheduleTicks)
		t.Logf("%d of %d hosts live: %.0f%% of the budget used", testPlan.MaxHosts-absent, testPlan.MaxHosts, 100*float64(len(arrivals))/full)
	}
}
