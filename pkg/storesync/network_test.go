package storesync

import (
	"net/netip"
	"time"
)

// The simulated network between the hosts, and between the hosts and the store.

func (h *host) storePath() path { return max(h.sim.down, h.store) }

// call makes a store call that returns the revision.
func (h *host) call(done func(uint64, error) Effects) {
	w, incarnation := h.sim, h.incarnation
	w.calls++
	h.callCount++
	finish := func(d time.Duration, rev uint64, err error) {
		w.after(d, func() { h.input(incarnation, func() { h.do(done(rev, err)) }) })
	}
	w.after(storeLatency, func() {
		switch h.storePath() {
		case silent:
			finish(callTimeout, 0, errCall)
		case refused:
			finish(storeLatency, 0, errCall)
		default:
			finish(storeLatency, w.revision, nil)
		}
	})
}

const (
	fullReadCalls = 14                     // calls of a full read where largeRead is set
	fullReadTime  = 700 * time.Millisecond // duration of those calls
	transferTime  = 250 * time.Millisecond // time to send the full state to a peer
	maxTransfers  = 4                      // concurrent transfers of one host
)

// readLarge reads the initial part of the state, and the rest unless a peer provides it.
func (h *host) readLarge() {
	w, incarnation := h.sim, h.incarnation
	w.calls += 2
	w.after(2*storeLatency, func() {
		h.input(incarnation, func() {
			wait, e := h.InitialReadDone(h.clock(), true, 800*time.Millisecond)
			h.do(e)
			w.after(wait, func() {
				h.input(incarnation, func() {
					if h.complete {
						h.do(h.CancelRead(h.clock()))
						return
					}
					w.calls += fullReadCalls
					revision := w.revision
					w.after(fullReadTime, func() { h.input(incarnation, func() { h.do(h.ReadDone(h.clock(), revision, nil)) }) })
				})
			})
		})
	})
}

// transferState sends the full state to a starting peer.
func (h *host) transferState(done func(d time.Duration, busy bool)) {
	if h.serving >= maxTransfers {
		done(0, true)
		return
	}
	h.serving++
	h.sim.after(transferTime, func() { h.serving-- })
	done(transferTime, false)
}

func (h *host) beginWatch(call Watch) {
	w, incarnation := h.sim, h.incarnation
	w.calls++
	h.callCount++
	h.watch = &openWatch{after: call.After, stalled: w.watchStalled && (call.LongPoll || w.blockAllWatches)}
	h.watch.done = func(rev uint64, changed bool, err error) {
		h.input(incarnation, func() { h.do(h.WatchDone(h.clock(), rev, changed, err)) })
	}
	own := h.watch
	w.after(storeLatency, func() {
		if h.watch != own {
			return
		}
		if h.storePath() == refused {
			h.endWatch(0, false, errCall)
			return
		}
		h.notifyWatch()
		if h.watch == own && !call.LongPoll && h.storePath() == open {
			h.endWatch(w.revision, false, nil)
		}
	})
}

func (h *host) notifyWatch() {
	w := h.sim
	if h.watch == nil || h.watch.stalled || h.storePath() != open {
		return
	}
	switch {
	case h.watch.after < w.oldest:
		h.endWatch(0, false, ErrHistoryLost)
	case w.revision > h.watch.after:
		h.endWatch(w.revision, true, nil)
	}
}

func (h *host) endWatch(rev uint64, changed bool, err error) {
	done := h.watch.done
	h.watch = nil
	h.sim.after(storeLatency, func() { done(rev, changed, err) })
}

func (w *simulation) find(a netip.AddrPort) *host { return w.byAddress[a] }

func (h *host) sendFetch(q PeerFetch) {
	w, incarnation, began := h.sim, h.incarnation, h.clock()
	peer := w.find(q.Peer)
	fail := func(d time.Duration) {
		w.after(d, func() {
			h.input(incarnation, func() { h.do(h.FetchDone(h.clock(), Host{Address: q.Peer}, Update{}, errCall)) })
		})
	}
	if h.peers != open || peer.peers != open || peer.paused {
		fail(fetchTimeout)
		return
	}
	w.after(peerLatency, func() {
		n, ok := peer.Update(peer.clock())
		if !peer.alive || !ok {
			fail(peerLatency)
			return
		}
		n.AsOf = began.Add(n.AsOf.Sub(peer.clock()))
		if !n.RecoveredAt.IsZero() {
			n.RecoveredAt = n.RecoveredAt.Add(h.clock().Sub(peer.clock()))
		}
		peer.busy = later(peer.busy, w.now).Add(w.fetchCost)
		waits := peer.busy.Sub(w.now)
		if waits > fetchTimeout {
			fail(fetchTimeout)
			return
		}
		if w.largeRead && q.After == 0 {
			busy := false
			peer.transferState(func(d time.Duration, b bool) { waits, busy = waits+d, b })
			if busy {
				w.after(peerLatency, func() {
					h.input(incarnation, func() { h.do(h.FetchDone(h.clock(), Host{Address: q.Peer}, Update{}, ErrBusy)) })
				})
				return
			}
		}
		w.after(waits+peerLatency, func() {
			h.input(incarnation, func() {
				h.receiveRecovery(n, 0)
				h.do(h.FetchDone(h.clock(), peer.self, n, nil))
			})
		})
	})
}

// sendUpdate sends a message. If changes is true, a random share of the receivers get the changes
// with it.
func (h *host) sendUpdate(to []netip.AddrPort, n Update, changes bool) {
	w := h.sim
	sent, incarnation := h.clock(), uint64(h.incarnation)
	for _, a := range to {
		peer := w.find(a)
		w.sent++
		h.sent++
		h.sending = later(h.sending, w.now).Add(w.sendCost)
		if w.random.Float64() < w.loss || h.peers != open || peer.peers != open {
			continue
		}
		w.after(h.sending.Sub(w.now)+peerLatency, func() {
			peer.input(peer.incarnation, func() {
				own := n
				late := peer.delays.Delay(h.self.Address, incarnation, sent.Sub(epoch), peer.clock())
				own.AsOf = peer.clock().Add(n.AsOf.Sub(sent) - late)
				own.FailedCalls = nil
				for _, u := range n.FailedCalls {
					u.At = peer.clock().Add(u.At.Sub(sent) - late)
					own.FailedCalls = append(own.FailedCalls, u)
				}
				var known uint64
				if changes && w.random.Float64() < w.inline {
					known = n.Revision
				}
				peer.receiveRecovery(n, peer.clock().Sub(sent))
				peer.do(peer.ApplyPeerUpdate(peer.clock(), h.self, own, known))
			})
		})
	}
}

func (h *host) receiveRecovery(n Update, way time.Duration) {
	if !n.RecoveredAt.IsZero() {
		h.do(h.ApplyPeerRecovery(h.clock(), n.RecoveredAt.Add(way)))
	}
}
