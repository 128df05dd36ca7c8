package configsync

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// readState is the state of a host's calls of the platform.
type readState struct {
	pending    *Read
	nextCall   time.Time
	fallbackAt time.Time
	reachable  bool
	staleSince time.Time
	reread     bool
}

// stepRead starts a call of the platform if one is due.
func (n *Node) stepRead(now time.Time) {
	r := &n.read
	if r.pending != nil || now.Before(r.nextCall) {
		return
	}
	if n.reader {
		n.startRead(now, n.opt.WatchWait)
		return
	}
	if !n.unconfirmed(now) {
		r.fallbackAt = time.Time{}
		return
	}
	if r.fallbackAt.IsZero() {
		r.fallbackAt = now.Add(time.Duration(n.opt.Rand.Int64N(int64(n.fallbackInterval()))))
	}
	if !now.Before(r.fallbackAt) {
		r.fallbackAt = now.Add(n.jitter(n.fallbackInterval()))
		n.event(event.Event{Code: event.ConfigFallbackRead, Reason: "no reader confirmed the configuration"})
		n.startRead(now, 0)
	}
}

// unconfirmed reports whether the platform has not confirmed the state, directly
// or through a peer, for longer than FallbackReadAfter.
func (n *Node) unconfirmed(now time.Time) bool {
	since := n.confirmedAt
	if since.IsZero() {
		since = n.started
	}
	return now.Sub(since) > n.opt.FallbackReadAfter
}

// fallbackInterval returns the mean time between two reads of a host that is not
// a reader. It grows with the number of members.
func (n *Node) fallbackInterval() time.Duration {
	return max(n.opt.FallbackReadAfter, time.Duration(len(n.members)+1)*fallbackPerHost)
}

func (n *Node) startRead(now time.Time, wait time.Duration) {
	after := n.state.Frontier()
	if n.read.reread {
		after, wait = 0, 0
	}
	n.read.nextCall = now.Add(n.opt.WatchInterval)
	n.read.pending = &Read{After: after, Wait: wait}
	n.out.Read = n.read.pending
}

// ReadFailed reports that the call requested by Effects.Read failed.
func (n *Node) ReadFailed(now time.Time, err error) Effects {
	n.detectPause(now)
	n.read.pending = nil
	n.read.nextCall = now.Add(n.jitter(n.opt.RetryDelay))
	if n.read.reachable || n.confirmedAt.IsZero() {
		n.event(event.Event{Code: event.PlatformUnreadable, Detail: err.Error()})
	}
	n.read.reachable = false
	return n.takeEffects()
}

// ReadDone applies the response to the call requested by Effects.Read. A
// response that is older than the state changes nothing.
func (n *Node) ReadDone(now time.Time, a ReadResult) Effects {
	n.detectPause(now)
	r := n.read.pending
	if r == nil {
		return n.takeEffects()
	}
	n.read.pending = nil
	n.read.reachable = true
	n.trackStaleness(now, a)
	before := n.state.Frontier()
	changed := n.merge(a.Versions, "platform")
	n.advance(Range{r.After, a.Revision})
	if a.Revision >= n.state.Frontier() {
		n.confirmedAt = now
	}
	n.announce(changed, Range{r.After, a.Revision}, before, "")
	n.bootstrap.decide(now, n)
	n.stepRead(now)
	return n.takeEffects()
}

// trackStaleness detects a platform that is behind this host. Once it has caught
// up after more than rereadAfter, the full state is read again, because the
// platform may hold other content for revisions that this host has already read.
func (n *Node) trackStaleness(now time.Time, a ReadResult) {
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
