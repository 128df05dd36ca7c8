package configsync

import (
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Receive handles a message of the peer at address from.
func (n *Node) Receive(now time.Time, from string, m Message) Effects {
	n.detectPause(now)
	switch m := m.(type) {
	case Summary:
		n.onSummary(now, from, m)
	case Buckets:
		n.onBuckets(from, m)
	case Index:
		n.onIndex(from, m)
	case Announce:
		n.onAnnounce(from, m)
	case Want:
		n.onWant(from, m)
	case Items:
		n.onItems(now, from, m)
	}
	return n.takeEffects()
}

func (n *Node) onSummary(now time.Time, from string, m Summary) {
	if m.Digest == n.state.Digest() {
		n.onEqualState(now, from, m)
		if m.Reply {
			n.send(from, n.summary(now, false))
		}
		return
	}
	if m.Reply {
		n.send(from, Buckets{Hashes: append([]uint64(nil), n.state.buckets[:]...)})
	}
}

// onEqualState handles a Summary with the digest of this host's state. The states
// are equal, so that the peer's frontier and confirmation hold for this host too.
func (n *Node) onEqualState(now time.Time, from string, m Summary) {
	n.advance(Range{To: m.Frontier, Base: n.state.Frontier()})
	if at := now.Add(-m.Age); m.Informed && at.After(n.confirmedAt) {
		n.confirmedAt = at
	}
	n.bootstrap.markSynced(now, n, from, m.Ready)
	if n.CatchingUp() && m.Ready {
		n.caughtUp("a peer holds the same state")
	}
}

func (n *Node) onBuckets(from string, m Buckets) {
	for _, page := range n.state.index(n.state.differing(m.Hashes), pageEntries) {
		n.send(from, page)
	}
}

func (n *Node) onIndex(from string, m Index) {
	if lacking := n.state.lacking(m.Entries); len(lacking) > 0 {
		n.send(from, Want{Entries: lacking})
	}
	n.sendItems(from, n.state.newerThanIndex(m), Range{}, true)
}

func (n *Node) onAnnounce(from string, m Announce) {
	lacking := n.state.lacking(m.Entries)
	if len(lacking) == 0 {
		n.advance(m.Range)
		return
	}
	n.send(from, Want{m.Range, lacking})
}

func (n *Node) onWant(from string, m Want) {
	r := m.Range
	if n.state.Frontier() < r.To {
		r = Range{}
	}
	n.sendItems(from, n.state.newerThanKnown(m.Entries), r, r == Range{})
}

// sendItems sends versions in pages of bounded size. A range is stated only if
// all versions fit into one page.
func (n *Node) sendItems(to string, items []Item, r Range, verify bool) {
	pages := paginate(items, n.opt.PageBytes)
	if len(pages) > 1 {
		r, verify = Range{}, true
	}
	for i, page := range pages[:min(len(pages), maxPages)] {
		last := i+1 == min(len(pages), maxPages)
		n.send(to, Items{Range: r, More: !last, Verify: verify, Versions: page})
	}
}

func paginate(items []Item, limit int) [][]Item {
	var pages [][]Item
	size := limit
	for _, it := range items {
		if size >= limit {
			pages = append(pages, nil)
			size = 0
		}
		size += it.size()
		last := len(pages) - 1
		pages[last] = append(pages[last], it)
	}
	return pages
}

// size returns the approximate encoded size of the item, in bytes.
func (it Item) size() int {
	const head = 48
	if it.Delta != nil {
		return head + len(it.Key) + len(it.Delta.Middle)
	}
	return head + len(it.Key) + len(it.Value)
}

func (n *Node) onItems(now time.Time, from string, m Items) {
	var versions []Version
	var missing []Known
	damaged := false
	for _, it := range m.Versions {
		v, ok := n.state.resolve(it)
		switch {
		case ok:
			versions = append(versions, v)
		case it.Delta != nil:
			missing = append(missing, Known{Key: it.Key})
		default:
			damaged = true
			n.event(event.Event{Code: event.ConfigDamaged, Reason: "digest differs", Detail: it.Key + " from " + from})
		}
	}
	before := n.state.Frontier()
	changed := n.merge(versions, "peer")
	switch {
	case len(missing) > 0:
		n.send(from, Want{m.Range, missing})
	case !damaged:
		n.advance(m.Range)
	}
	n.announce(changed, m.Range, before, from)
	if m.Verify && !m.More && len(changed) > 0 {
		n.send(from, n.summary(now, true))
	}
}

// merge merges versions into the state and returns the keys that changed.
func (n *Node) merge(versions []Version, source string) []string {
	var changed []string
	for _, v := range versions {
		result := n.state.Merge(v)
		n.report(v, result, source)
		if result.Changed {
			changed = append(changed, v.Key)
		}
		n.out.InForce = n.out.InForce || result.InForce || result.Unread
	}
	return changed
}

func (n *Node) report(v Version, r MergeResult, source string) {
	e := event.Event{Reason: source, Detail: v.Key, Value: int64(v.ID.Revision)}
	emit := func(code event.Code) {
		e.Code = code
		n.event(e)
	}
	if r.Conflict {
		emit(event.ConfigConflict)
	}
	if r.Regressed {
		emit(event.ConfigFellBack)
	}
	if r.InForce {
		emit(event.ConfigApplied)
	}
	if r.Invalid != nil {
		e.Detail = v.Key + ": " + r.Invalid.Error()
		emit(event.ConfigRejected)
	}
}

func (n *Node) advance(r Range) {
	if r.To > r.Base {
		n.state.advance(r.Base, r.To)
	}
}

// announce announces changed keys to random neighbours. A range that raised this
// host's frontier is forwarded. In that case all keys changed since its base are
// listed, including those that this host already had.
func (n *Node) announce(keys []string, r Range, before uint64, from string) {
	if len(keys) == 0 {
		return
	}
	if n.state.Frontier() == before {
		r = Range{}
	}
	if r != (Range{}) {
		keys = n.state.changedAfter(r.Base)
	}
	if len(keys) > pageEntries {
		r = Range{}
	}
	peers := n.neighbours.pick(n.opt.Rand, n.opt.FanOutInside, n.opt.FanOutOutside)
	for page := range slices.Chunk(keys, pageEntries) {
		m := Announce{r, n.state.knownAll(page)}
		for _, to := range peers {
			if to != from {
				n.send(to, m)
			}
		}
	}
}
