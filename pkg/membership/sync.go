package membership

import (
	"net/netip"
	"slices"
)

const (
	syncInterval     = 5   // periods between two syncs in a quiet fleet
	windowTarget     = 48  // members per window, on average
	maxDigests       = 64  // digests per request
	syncEntryBytes   = 700 // bytes of entries per datagram of a sync
	replyDatagrams   = 6   // datagrams per reply
	pushDatagrams    = 2   // datagrams per push
	maxOutstanding   = 8   // requests that wait for their reply
	catchUpRequests  = 4   // requests per period while catching up
	earlySyncChanges = 6   // differences in a reply that make the next sync early
)

// syncState is the state of anti-entropy syncs with peers.
type syncState struct {
	outstanding []uint64
	at          uint64 // period of the next sync
	prefix      uint32 // of the last window
	peerMembers int    // members known to the peer that replied last
	catchUp     int    // requests remaining to catch up
}

// stepSync requests a sync of one window with one peer when it is due.
func (c *Core) stepSync() {
	if c.periods < c.sync.at || !c.active() {
		return
	}
	c.sync.at = c.periods + syncInterval
	requests := 1
	if c.sync.catchUp > 0 {
		c.sync.at = c.periods + 1
		requests = min(c.sync.catchUp, catchUpRequests)
		c.sync.catchUp -= requests
	}
	for range requests {
		for _, r := range c.sample(1, func(r *record) bool { return r.entry.State == Alive }) {
			c.requestSync(r.entry.Address)
		}
	}
}

// requestSync asks a peer to compare the next window.
func (c *Core) requestSync(to netip.AddrPort) {
	w := c.nextWindow()
	var digests []uint64
	for _, r := range c.window(w) {
		if len(digests) < maxDigests {
			digests = append(digests, r.entry.digest(r.hash))
		}
	}
	sequence := c.conf.Rand.Uint64()
	c.sync.outstanding = append(c.sync.outstanding, sequence)
	if extra := len(c.sync.outstanding) - maxOutstanding; extra > 0 {
		c.sync.outstanding = c.sync.outstanding[extra:]
	}
	c.send(to, nil, SyncRequest{sequence, w, digests})
}

// nextWindow iterates over the windows, so that one round compares all members.
// The size of a window does not grow with the fleet.
func (c *Core) nextWindow() Window {
	n := max(len(c.order), c.sync.peerMembers)
	var bits uint8
	for n>>bits > windowTarget && bits < MaxWindowBits {
		bits++
	}
	c.sync.prefix = (c.sync.prefix + 1) & (1<<bits - 1)
	return Window{Bits: bits, Prefix: c.sync.prefix}
}

// window returns the known members of w.
func (c *Core) window(w Window) []*record {
	first, _ := slices.BinarySearchFunc(c.order, w.first(), compareHash)
	last := first
	for last < len(c.order) && w.contains(c.order[last].hash) {
		last++
	}
	return c.order[first:last]
}

// replySync sends the entries that differ from the digests of a peer.
func (c *Core) replySync(from *record, b SyncRequest) {
	if c.syncReplies >= maxSyncRepliesPerPeriod || b.Window.Bits > MaxWindowBits || len(b.Digests) > maxDigests {
		return
	}
	c.syncReplies++
	theirs := make(map[uint32]uint64, len(b.Digests))
	for _, d := range b.Digests {
		theirs[uint32(d>>32)] = d
	}
	var differ []Entry
	for _, r := range rotate(c.window(b.Window), c.conf.Rand.IntN) {
		name := uint32(r.hash >> 32)
		d, known := theirs[name]
		delete(theirs, name)
		if r == from || known && d == r.entry.digest(r.hash) || !known && r.entry.State == Dead {
			continue
		}
		differ = append(differ, r.entry)
	}
	delete(theirs, uint32(c.selfHash>>32))
	if from.outdated {
		differ = append([]Entry{from.entry}, differ...)
	}
	c.sendReply(from, b.Sequence, differ, theirs)
}

// rotate starts a window at a random member, so that a truncated reply does not
// always omit the same ones.
func rotate(w []*record, intN func(int) int) []*record {
	if len(w) == 0 {
		return w
	}
	at := intN(len(w))
	return append(slices.Clone(w[at:]), w[:at]...)
}

func (c *Core) sendReply(to *record, sequence uint64, differ []Entry, lacking map[uint32]uint64) {
	reply := SyncReply{Sequence: sequence, Members: uint32(len(c.order))}
	for name := range lacking {
		reply.Wanted = append(reply.Wanted, name)
	}
	slices.Sort(reply.Wanted)
	parts := split(differ, replyDatagrams)
	c.send(to.entry.Address, parts[0], reply)
	for _, p := range parts[1:] {
		c.send(to.entry.Address, p, SyncPush{})
	}
}

// split divides entries into at most n datagrams; the entries that do not fit
// are dropped. It returns at least one part, which may be empty.
func split(entries []Entry, n int) [][]Entry {
	var parts [][]Entry
	for len(parts) < n {
		size, end := 0, 0
		for end < len(entries) && size+entries[end].maxBytes() <= syncEntryBytes {
			size += entries[end].maxBytes()
			end++
		}
		parts = append(parts, entries[:end])
		entries = entries[end:]
		if len(entries) == 0 {
			break
		}
	}
	return parts
}

// closeSync reports whether sequence is that of an outstanding request, and
// removes it.
func (c *Core) closeSync(sequence uint64) bool {
	at := slices.Index(c.sync.outstanding, sequence)
	if at < 0 {
		return false
	}
	c.sync.outstanding = slices.Delete(c.sync.outstanding, at, at+1)
	return true
}

// finishSync pushes the entries that the peer lacks and schedules the next sync.
func (c *Core) finishSync(m *Message, b SyncReply, toPush []Entry, changes uint64) {
	c.sync.peerMembers = min(int(b.Members), c.conf.MaxMembers)
	c.pushWanted(m.From.Address, b.Wanted, toPush)
	if changes+uint64(len(b.Wanted)) >= earlySyncChanges {
		c.sync.at = c.periods + 1
	}
	if c.sync.catchUp == 0 && c.sync.peerMembers > 2*len(c.order) {
		c.sync.catchUp = 2 * c.sync.peerMembers / windowTarget
	}
	c.markJoined()
	c.finishResuming()
}

func (c *Core) pushWanted(to netip.AddrPort, wanted []uint32, toPush []Entry) {
	for _, name := range wanted {
		at, _ := slices.BinarySearchFunc(c.order, uint64(name)<<32, compareHash)
		if at < len(c.order) && uint32(c.order[at].hash>>32) == name && c.order[at].entry.State != Dead {
			toPush = append(toPush, c.order[at].entry)
		}
	}
	if len(toPush) == 0 {
		return
	}
	for _, p := range split(toPush, pushDatagrams) {
		c.send(to, p, SyncPush{})
	}
}
