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
	// Host made the call.
	Host netip.AddrPort
	// At is when it began, by the clock of the host that holds this value.
	At time.Time
}

const (
	// witnesses is the number of different hosts whose calls must go unanswered
	// before the others take the store for away and leave it alone. Some may be cut off
	// from it by themselves while it answers everyone else: with three, 1 of 1,500 random
	// fleets learned a change 68 ms late for that, and with five none of 3,000.
	witnesses = 5
	// silentAfter is the time without an answer after which the peers are told of a
	// call: the second host of a failure domain would call 80 ms after the first where
	// changes must be known in two seconds. A store that works answers within 10 ms.
	silentAfter = 60 * time.Millisecond
	// sparedLonger is how much later a host calls whom others spare it, as a share of
	// the time in which changes must be known: the calls of the first hosts go unanswered
	// for a while before the others are told.
	sparedLonger = 0.10
	// sampleEvery is the mean time between two calls of a fleet of any size while its
	// store is taken for away. Any host makes them, drawn at random: those that usually
	// call first may all be turned away by a store that answers others. Where one host in
	// ten is answered, one of them calls within a second in 37 of 100 cases.
	sampleEvery = 225 * time.Millisecond
	// tellUnanswered is the shortest time between two messages of one host about calls
	// that went unanswered, as a share of the time in which changes must be known.
	tellUnanswered = 0.2
	// passOn is by how much younger such a message must make what a failure domain
	// knows to be passed on in it, as the same share.
	passOn = 0.01
	// mixedFor is how long the hosts call by themselves after the store answered one of
	// them and not others, as a multiple of the same time.
	mixedFor = 2
)

// outage is what a host knows of calls that the store did not answer.
//
// Where enough hosts have called in vain, the others need not: that is as good as
// knowing that nothing has changed, and lasts as long. In an outage of eight seconds 17,
// 99 and 473 hosts made 67, 72 and 72 calls (virtual time), and 137, 653 and 3,032
// without it.
type outage struct {
	calls  []FailedCall // newest first, one for each host, up to witnesses
	mixed  time.Time    // when the store last answered one host after it had not answered others
	mixFor time.Duration
}

// add takes in a call that went unanswered.
func (o *outage) add(call FailedCall) {
	if call.At.Before(o.mixed.Add(o.mixFor)) {
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
	o.calls = o.calls[:min(len(o.calls), witnesses)]
}

func newestFirst(a, b FailedCall) int {
	return cmp.Or(b.At.Compare(a.At), a.Host.Compare(b.Host))
}

// answered takes in that the store answered a call that began at t.
func (o *outage) answered(t time.Time) {
	n := len(o.calls)
	if n == 0 || !o.calls[n-1].At.Before(t) {
		return
	}
	o.mixed = t
	o.calls = nil
}

// agreed returns the newest moment since which enough hosts have called in vain;
// zero if too few have.
func (o *outage) agreed() time.Time {
	if len(o.calls) < witnesses {
		return time.Time{}
	}
	return o.calls[witnesses-1].At
}

// since returns the calls that began after t. The result must not be changed.
func (o *outage) since(t time.Time) []FailedCall {
	n, _ := slices.BinarySearchFunc(o.calls, t, func(u FailedCall, t time.Time) int { return t.Compare(u.At) })
	return slices.Clone(o.calls[:n])
}

// excused returns the newest moment up to which a call to the store would have
// shown nothing new, as far as this host knows.
func (c *Core) excused() time.Time { return later(c.fresh, c.outage.agreed()) }

// spared reports whether this host leaves the store alone because others called
// it in vain.
func (c *Core) spared() bool { return c.outage.agreed().After(c.fresh) }

// looksAt returns when this host calls the store if nothing new is heard: by its
// patience, or as one of those who see for themselves though others called in vain.
func (c *Core) looksAt() time.Time {
	due := c.excused().Add(c.patience())
	if !c.spared() {
		return due
	}
	if !c.ranks.first {
		due = due.Add(c.share(sparedLonger))
	}
	if c.sample.Before(due) {
		return c.sample
	}
	return due
}

// heardUnanswered takes in calls of other hosts that went unanswered.
func (c *Core) heardUnanswered(now time.Time, calls []FailedCall) {
	spared := c.spared()
	for _, call := range calls {
		c.outage.add(call)
	}
	if spared || !c.spared() {
		return
	}
	c.sample = now.Add(time.Duration(c.conf.Jitter() * float64(c.sampleMean())))
	if c.away.IsZero() && c.watch == nil {
		c.away, c.hearsay = now, true
		c.emit(event.StoreLost, event.Event{Reason: byPeers, Value: int64(c.revision)})
	}
}

// believeAnswer takes in that the store answers others, where this host took it for
// away by what others had told.
func (c *Core) believeAnswer(now time.Time) {
	if !c.hearsay || c.spared() {
		return
	}
	c.emit(event.StoreRegained, event.Event{Reason: byPeers, Value: now.Sub(c.away).Milliseconds()})
	c.away, c.hearsay = time.Time{}, false
	c.cleared = now
}

// byPeers is the reason of events that rest on what peers told.
const byPeers = "peer"

// drawSample sets when this host calls next though others called in vain.
func (c *Core) drawSample(now time.Time) {
	c.sample = now.Add(time.Duration((half + c.conf.Jitter()) * float64(c.sampleMean())))
}

// half spreads a sample evenly around its mean.
const half = 0.5

// sampleMean is the mean time between two samples of one host.
func (c *Core) sampleMean() time.Duration {
	return time.Duration(len(c.ranks.others)+1) * sampleEvery
}

// unansweredDue returns when the peers are to be told that the call in flight goes
// unanswered, and false if they need not be.
func (c *Core) unansweredDue() (time.Time, bool) {
	return c.began.Add(silentAfter), c.call != idle && c.complete && !c.began.Equal(c.reported)
}

func (c *Core) stepUnanswered(now time.Time) {
	if due, wanted := c.unansweredDue(); wanted && !now.Before(due) {
		c.wentUnanswered(now, c.began)
	}
}

// wentUnanswered takes in that a call of this host is not answered, and tells the
// peers.
func (c *Core) wentUnanswered(now, began time.Time) {
	if began.Equal(c.reported) {
		return
	}
	c.reported = began
	c.outage.add(FailedCall{Host: c.ranks.self.Address, At: began})
	if now.Sub(c.toldOf) < c.share(tellUnanswered) {
		return
	}
	c.toldOf = now
	c.out.SendOutageUpdate = c.ranks.everyone()
}
