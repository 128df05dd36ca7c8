package configsync

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// readState is how this host stands towards the platform.
type readState struct {
	pending    *Read
	next       time.Time
	fallback   time.Time
	reachable  bool
	staleSince time.Time
	reread     bool
}

// stepRead starts a call of the platform when one is due.
func (n *Node) stepRead(now time.Time) {
	r := &n.read
	if r.pending != nil || now.Before(r.next) {
		return
	}
	if n.reader {
		n.call(now, n.opt.WatchWait)
		return
	}
	if !n.cutOff(now) {
		r.fallback = time.Time{}
		return
	}
	if r.fallback.IsZero() {
		r.fallback = now.Add(time.Duration(n.opt.Rand.Int64N(int64(n.fallbackEvery()))))
	}
	if !now.Before(r.fallback) {
		r.fallback = now.Add(n.jitter(n.fallbackEvery()))
		n.event(event.Event{Code: event.ConfigFallbackRead, Reason: "no reader confirmed the configuration"})
		n.call(now, 0)
	}
}

// cutOff reports whether nothing fresh came from the readers for a while.
func (n *Node) cutOff(now time.Time) bool {
	since := n.confirmed
	if since.IsZero() {
		since = n.started
	}
	return now.Sub(since) > n.opt.FallbackReadAfter
}

// fallbackEvery is the time between two reads of a host that is no reader. It
// grows with the fleet.
func (n *Node) fallbackEvery() time.Duration {
	return max(n.opt.FallbackReadAfter, time.Duration(len(n.members)+1)*fallbackPerHost)
}

func (n *Node) call(now time.Time, wait time.Duration) {
	after := n.state.Frontier()
	if n.read.reread {
		after, wait = 0, 0
	}
	n.read.next = now.Add(n.opt.WatchInterval)
	n.read.pending = &Read{After: after, Wait: wait}
	n.out.Read = n.read.pending
}

// PlatformFailed says that the call asked for did not succeed.
func (n *Node) PlatformFailed(now time.Time, err error) Effects {
	n.begin(now)
	n.read.pending = nil
	n.read.next = now.Add(n.jitter(n.opt.RetryDelay))
	if n.read.reachable || n.confirmed.IsZero() {
		n.event(event.Event{Code: event.PlatformUnreadable, Detail: err.Error()})
	}
	n.read.reachable = false
	return n.take()
}

// PlatformAnswered takes the answer to the call asked for. An answer older
// than what is known adds nothing.
func (n *Node) PlatformAnswered(now time.Time, a Answer) Effects {
	n.begin(now)
	r := n.read.pending
	if r == nil {
		return n.take()
	}
	n.read.pending = nil
	n.read.reachable = true
	n.judgeAge(now, a)
	before := n.state.Frontier()
	changed := n.merge(a.Versions, "platform")
	n.advance(Range{r.After, a.Revision})
	if a.Revision >= n.state.Frontier() {
		n.confirmed = now
	}
	n.announce(changed, Range{r.After, a.Revision}, before, "")
	n.start.decide(now, n)
	n.stepRead(now)
	return n.take()
}

// judgeAge notices a platform that is behind, and one that has caught up after
// long: it may have taken other content for revisions already passed, so
// everything is read once more.
func (n *Node) judgeAge(now time.Time, a Answer) {
	r := &n.read
	if a.Revision < n.state.Frontier() {
		if r.staleSince.IsZero() {
			r.staleSince = now
			n.event(event.Event{Code: event.PlatformStale, Reason: "revision below the frontier", Value: int64(a.Revision)})
		}
		return
	}
	if r.reread {
		r.reread = false
	} else if !r.staleSince.IsZero() && now.Sub(r.staleSince) > rereadAfter {
		r.reread = true
	}
	r.staleSince = time.Time{}
}
