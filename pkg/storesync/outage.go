package storesync

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// FailedCall is a call that the store did not answer.
type FailedCall struct {
	// Host is the host that made the call.
	Host netip.AddrPort
	// At is the start of the call, by the clock of the host that holds this value.
	At time.Time
}

const (
	// outageQuorum is the number of different hosts whose calls must fail before the other
	// hosts consider the store unreachable and stop calling it. Some hosts may be cut off
	// from a store that answers all others: with a quorum of three, 1 of 1,500 random fleets
	// learned a change 68 ms late for this reason; with five, none of 3,000 did.
	outageQuorum = 5
	// unansweredAfter is how long a call waits for its answer before the peers are told that
	// it failed. The second host of a failure domain would call 80 ms after the first where
	// changes must be known within two seconds. A healthy store answers within 10 ms.
	unansweredAfter = 60 * time.Millisecond
	// suppressedDelay is the additional time before a host whose calls are suppressed calls
	// the store, as a fraction of MaxChangeDelay: the calls of the first hosts are pending
	// for a while before the others are told.
	suppressedDelay = 0.10
	// sampleInterval is the mean time between two sample calls of the whole fleet, whatever
	// its size, while its store is considered unreachable. Hosts are drawn at random, since a
	// store that answers others may refuse all hosts that usually call first. Where one host
	// in ten is answered, one of them calls within a second in 37 of 100 cases.
	sampleInterval = 225 * time.Millisecond
	// outageUpdateInterval is the minimum time between two outage updates of one host, as a
	// fraction of MaxChangeDelay.
	outageUpdateInterval = 0.2
	// minForwardGain is how much newer an outage update must make the knowledge of a failure
	// domain to be forwarded in it, as a fraction of MaxChangeDelay.
	minForwardGain = 0.01
	// partialOutageHold is how long failed calls do not count, so that every host calls the store
	// itself, after the store answered one host but not others, as a multiple of MaxChangeDelay.
	partialOutageHold = 2
)

// outage holds the calls that the store is known not to have answered.
//
// Once enough hosts have failed to reach the store, the others need not call it: for that
// period the failures are as good as knowing that nothing has changed. In an outage of eight
// seconds, fleets of 17, 99 and 473 hosts made 67, 72 and 72 calls (virtual time), and 137,
// 653 and 3,032 without this rule.
type outage struct {
	calls       []FailedCall // newest first, one for each host, at most outageQuorum
	partialAt   time.Time    // when the store last answered a host after it had failed others
	partialHold time.Duration
}

// recordFailure records an unanswered call.
func (o *outage) recordFailure(call FailedCall) {
	if call.At.Before(o.partialAt.Add(o.partialHold)) {
		return
	}
	for i, known := range o.calls {
		if known.Host != call.Host {
			continue
		}
		if !call.At.After(known.At) {
			return
		}
		o.calls = slices.Delete(o.calls, i, i+1)
		break
	}
	at, _ := slices.BinarySearchFunc(o.calls, call, newestFirst)
	o.calls = slices.Insert(o.calls, at, call)
	o.calls = o.calls[:min(len(o.calls), outageQuorum)]
}

func newestFirst(a, b FailedCall) int {
	return cmp.Or(b.At.Compare(a.At), a.Host.Compare(b.Host))
}

// recordAnswer records that the store answered a call that began at t.
func (o *outage) recordAnswer(t time.Time) {
	n := len(o.calls)
	if n == 0 || !o.calls[n-1].At.Before(t) {
		return
	}
	o.partialAt = t
	o.calls = nil
}

// confirmedAt returns the latest time since which a quorum of hosts has failed to reach the
// store, or the zero time if there is no quorum.
func (o *outage) confirmedAt() time.Time {
	if len(o.calls) < outageQuorum {
		return time.Time{}
	}
	return o.calls[outageQuorum-1].At
}

// since returns the calls that began after t.
func (o *outage) since(t time.Time) []FailedCall {
	n, _ := slices.BinarySearchFunc(o.calls, t, func(u FailedCall, t time.Time) int { return t.Compare(u.At) })
	return slices.Clone(o.calls[:n])
}

// effectiveAsOf returns the latest time up to which, as far as this host knows, a call to the
// store would have returned nothing new.
func (c *Core) effectiveAsOf() time.Time { return later(c.asOf, c.outage.confirmedAt()) }

// suppressed reports whether this host does not call the store because the calls of a quorum
// of hosts failed.
func (c *Core) suppressed() bool { return c.outage.confirmedAt().After(c.asOf) }

// staleAt returns when this host calls the store unless it receives an update: when its
// staleness limit is reached, or, while its calls are suppressed, at its next sample call if
// that is earlier.
func (c *Core) staleAt() time.Time {
	due := c.effectiveAsOf().Add(c.stalenessLimit())
	if !c.suppressed() {
		return due
	}
	if !c.ranks.first {
		due = due.Add(c.share(suppressedDelay))
	}
	if c.nextSample.Before(due) {
		return c.nextSample
	}
	return due
}

// applyFailedCalls records failed calls of other hosts.
func (c *Core) applyFailedCalls(now time.Time, calls []FailedCall) {
	wasSuppressed := c.suppressed()
	for _, call := range calls {
		c.outage.recordFailure(call)
	}
	if wasSuppressed || !c.suppressed() {
		return
	}
	c.nextSample = now.Add(time.Duration(c.conf.Jitter() * float64(c.meanSampleInterval())))
	if c.lostAt.IsZero() && c.watch == nil {
		c.lostAt, c.lostByReport = now, true
		c.emit(event.StoreLost, event.Event{Reason: reasonPeer, Value: int64(c.revision)})
	}
}

// endReportedOutage ends an outage that this host knows only from its peers, once the store
// is known to answer other hosts.
func (c *Core) endReportedOutage(now time.Time) {
	if !c.lostByReport || c.suppressed() {
		return
	}
	c.emit(event.StoreRegained, event.Event{Reason: reasonPeer, Value: now.Sub(c.lostAt).Milliseconds()})
	c.lostAt, c.lostByReport = time.Time{}, false
	c.clearedAt = now
}

// reasonPeer is the reason of events that are based on updates of peers.
const reasonPeer = "peer"

// scheduleSample draws the time of this host's next sample call.
func (c *Core) scheduleSample(now time.Time) {
	c.nextSample = now.Add(time.Duration((half + c.conf.Jitter()) * float64(c.meanSampleInterval())))
}

// half makes a random delay range from half of its mean to one and a half times its mean.
const half = 0.5

// meanSampleInterval is the mean time between two sample calls of one host.
func (c *Core) meanSampleInterval() time.Duration {
	return time.Duration(len(c.ranks.others)+1) * sampleInterval
}

// failureReportDue returns when the peers are to be told that the pending call has failed,
// and false if no report is due.
func (c *Core) failureReportDue() (time.Time, bool) {
	return c.callStarted.Add(unansweredAfter), c.call != idle && c.complete && !c.callStarted.Equal(c.reportedCall)
}

func (c *Core) stepFailureReport(now time.Time) {
	if due, wanted := c.failureReportDue(); wanted && !now.Before(due) {
		c.reportFailure(now, c.callStarted)
	}
}

// reportFailure records that a call of this host was not answered, and tells the peers.
func (c *Core) reportFailure(now, began time.Time) {
	if began.Equal(c.reportedCall) {
		return
	}
	c.reportedCall = began
	c.outage.recordFailure(FailedCall{Host: c.ranks.self.Address, At: began})
	if now.Sub(c.outageUpdateSent) < c.share(outageUpdateInterval) {
		return
	}
	c.outageUpdateSent = now
	c.out.SendOutageUpdate = c.ranks.broadcastRoutes()
}
