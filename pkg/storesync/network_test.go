package storesync

import (
	"net/netip"
	"time"
)

// What stands between the cores, the store and one another.

func (h *host) storePath() path { return max(h.world.down, h.store) }

// call makes a store call that answers with the revision.
func (h *host) call(done func(uint64, error) Effects) {
	w, life := h.world, h.life
	w.calls++
	h.ncalls++
	finish := func(d time.Duration, rev uint64, err error) {
		w.after(d, func() { h.input(life, func() { h.do(done(rev, err)) }) })
	}
	w.after(storeWay, func() {
		switch h.storePath() {
		case silent:
			finish(callTimeout, 0, errCall)
		case refused:
			finish(storeWay, 0, errCall)
		default:
			finish(storeWay, w.revision, nil)
		}
	})
}

const (
	longCalls  = 14                     // price of reading everything, where that is long
	longRead   = 700 * time.Millisecond // and its time
	handOver   = 250 * time.Millisecond // time to hand everything to a peer
	maxServing = 4                      // peers at the same time
)

// readLong reads the first part of everything, and the rest unless a peer hands it over.
func (h *host) readLong() {
	w, life := h.world, h.life
	w.calls += 2
	w.after(2*storeWay, func() {
		h.input(life, func() {
			wait, e := h.InitialReadDone(h.clock(), true, 800*time.Millisecond)
			h.do(e)
			w.after(wait, func() {
				h.input(life, func() {
					if h.complete {
						h.do(h.CancelRead(h.clock()))
						return
					}
					w.calls += longCalls
					revision := w.revision
					w.after(longRead, func() { h.input(life, func() { h.do(h.ReadDone(h.clock(), revision, nil)) }) })
				})
			})
		})
	})
}

// handOver hands everything to a peer that starts.
func (h *host) handOver(done func(d time.Duration, busy bool)) {
	if h.serving >= maxServing {
		done(0, true)
		return
	}
	h.serving++
	h.world.after(handOver, func() { h.serving-- })
	done(handOver, false)
}

func (h *host) beginWatch(call Watch) {
	w, life := h.world, h.life
	w.calls++
	h.ncalls++
	h.watch = &openWatch{after: call.After, deaf: w.deaf && (call.LongPoll || w.keeps)}
	h.watch.done = func(rev uint64, changed bool, err error) {
		h.input(life, func() { h.do(h.WatchDone(h.clock(), rev, changed, err)) })
	}
	own := h.watch
	w.after(storeWay, func() {
		if h.watch != own {
			return
		}
		if h.storePath() == refused {
			h.endWatch(0, false, errCall)
			return
		}
		h.wakeWatch()
		if h.watch == own && !call.LongPoll && h.storePath() == open {
			h.endWatch(w.revision, false, nil)
		}
	})
}

func (h *host) wakeWatch() {
	w := h.world
	if h.watch == nil || h.watch.deaf || h.storePath() != open {
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
	h.world.after(storeWay, func() { done(rev, changed, err) })
}

func (w *world) find(a netip.AddrPort) *host { return w.byAddress[a] }

func (h *host) ask(q PeerFetch) {
	w, life, began := h.world, h.life, h.clock()
	peer := w.find(q.Peer)
	fail := func(d time.Duration) {
		w.after(d, func() {
			h.input(life, func() { h.do(h.FetchDone(h.clock(), Host{Address: q.Peer}, Update{}, errCall)) })
		})
	}
	if h.peers != open || peer.peers != open || peer.paused {
		fail(askTimeout)
		return
	}
	w.after(peerWay, func() {
		n, ok := peer.Update(peer.clock())
		if !peer.alive || !ok {
			fail(peerWay)
			return
		}
		n.AsOf = began.Add(n.AsOf.Sub(peer.clock()))
		if !n.RecoveredAt.IsZero() {
			n.RecoveredAt = n.RecoveredAt.Add(h.clock().Sub(peer.clock()))
		}
		peer.busy = later(peer.busy, w.now).Add(w.askCost)
		waits := peer.busy.Sub(w.now)
		if waits > askTimeout {
			fail(askTimeout)
			return
		}
		if w.long && q.After == 0 {
			busy := false
			peer.handOver(func(d time.Duration, b bool) { waits, busy = waits+d, b })
			if busy {
				w.after(peerWay, func() {
					h.input(life, func() { h.do(h.FetchDone(h.clock(), Host{Address: q.Peer}, Update{}, ErrBusy)) })
				})
				return
			}
		}
		w.after(waits+peerWay, func() {
			h.input(life, func() {
				h.heardReturn(n, 0)
				h.do(h.FetchDone(h.clock(), peer.self, n, nil))
			})
		})
	})
}

// tell sends a message, with the changes in a share of them if it may carry any.
func (h *host) tell(to []netip.AddrPort, n Update, changes bool) {
	w := h.world
	sent, life := h.clock(), uint64(h.life)
	for _, a := range to {
		peer := w.find(a)
		w.sent++
		h.sent++
		h.sending = later(h.sending, w.now).Add(w.sendCost)
		if w.random.Float64() < w.loss || h.peers != open || peer.peers != open {
			continue
		}
		w.after(h.sending.Sub(w.now)+peerWay, func() {
			peer.input(peer.life, func() {
				own := n
				late := peer.delays.Delay(h.self.Address, life, sent.Sub(epoch), peer.clock())
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
				peer.heardReturn(n, peer.clock().Sub(sent))
				peer.do(peer.ApplyPeerUpdate(peer.clock(), h.self, own, known))
			})
		})
	}
}

func (h *host) heardReturn(n Update, way time.Duration) {
	if !n.RecoveredAt.IsZero() {
		h.do(h.ApplyPeerRecovery(h.clock(), n.RecoveredAt.Add(way)))
	}
}
