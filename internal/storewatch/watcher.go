package storewatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/storesync"
)

// Config configures a Watcher.
type Config struct {
	// Store is the store to watch.
	Store Store
	// Sync configures the synchronization.
	Sync storesync.Config
	// Self is this host, with the address at which its peers reach it.
	Self storesync.Host
	// Peers reaches the other hosts; nil for a host without peers.
	Peers Peers
	// OnRead receives the full state. Like OnChanges and OnRecovery it is called on the
	// goroutine of Run.
	OnRead func(*State)
	// OnInitialRead receives the initial part of the state, while a host without any state
	// reads the rest. It reports whether the host can serve requests with it.
	OnInitialRead func(*State) bool
	// FullReadSpread is the time over which hosts that serve with the initial part of the
	// state spread their reads of the rest.
	FullReadSpread time.Duration
	// OnChanges receives changes.
	OnChanges func(*Changes)
	// OnRecovery is called with the time of recovery when the store answers again after an
	// outage in which leases may have expired.
	OnRecovery func(at time.Time)
	// Events receives events about lost and restored connections and rejected items.
	Events event.Sink
	// WatchWait is how long one watch waits at the store for changes.
	WatchWait time.Duration
	// InitialReadTimeout bounds the call that reads the initial part of the state, and
	// FullReadTimeout the calls that read the rest.
	InitialReadTimeout, FullReadTimeout time.Duration
	// CheckTimeout bounds short calls to the store.
	CheckTimeout time.Duration
	// FetchTimeout bounds a fetch from a peer.
	FetchTimeout time.Duration
}

// inputQueueSize bounds the results and messages that wait for Run.
const inputQueueSize = 256

// Watcher keeps an entry host in sync with a store: it performs what storesync.Core decides.
type Watcher struct {
	conf    Config
	inputs  chan func()
	process uint64 // identifies this process
	asOf    atomic.Pointer[time.Time]
	started time.Time

	// The following fields are used only on the goroutine of Run.
	core                   *storesync.Core
	mirror                 *mirror
	delays                 storesync.DelayEstimator
	stopWatch              context.CancelFunc
	lastSent, previousSent uint64 // revisions of the last two updates sent
	ctx                    context.Context
}

// NewWatcher returns a Watcher without any state.
func NewWatcher(conf Config) *Watcher {
	now := clock.Now()
	f := &Watcher{
		conf:    conf,
		inputs:  make(chan func(), inputQueueSize),
		process: rand.Uint64(),
		started: now,
		core:    storesync.New(now, conf.Sync),
		mirror:  newMirror(),
	}
	f.asOf.Store(new(time.Time))
	return f
}

// AsOf returns the latest time for which this host knows every change, or the zero time while
// it has no state. It is safe for concurrent use.
func (w *Watcher) AsOf() time.Time { return *w.asOf.Load() }

// Run watches the store until ctx ends. Hosts set before Run are known from the start.
func (w *Watcher) Run(ctx context.Context) {
	w.ctx = ctx
	timer := time.NewTimer(0)
	defer timer.Stop()
	if w.conf.Peers == nil {
		w.do(w.core.SetHosts(clock.Now(), w.conf.Self, nil, true))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case input := <-w.inputs:
			input()
		case <-timer.C:
			w.do(w.core.Tick(clock.Now()))
		}
		if due, ok := w.core.NextTick(); ok {
			timer.Reset(clock.Until(due))
		} else {
			timer.Stop()
		}
	}
}

// post passes an input to the goroutine of Run, unless ctx ends first.
func (w *Watcher) post(ctx context.Context, input func()) {
	select {
	case w.inputs <- input:
	case <-ctx.Done():
	}
}

// do performs effects. Blocking calls run on their own goroutines and post their results.
func (w *Watcher) do(e storesync.Effects) {
	if asOf := w.core.AsOf(); !asOf.Equal(*w.asOf.Load()) {
		w.asOf.Store(&asOf)
	}
	for _, ev := range e.Events {
		w.emit(ev)
	}
	if !e.RecoveredAt.IsZero() {
		w.conf.OnRecovery(e.RecoveredAt)
	}
	ctx := w.ctx
	if e.Read {
		go w.read(ctx)
	}
	if e.Check {
		go w.check(ctx)
	}
	if e.Ping {
		go w.ping(ctx)
	}
	if e.StopWatch {
		w.stopWatch()
	}
	if e.Watch != nil {
		watchCtx, cancel := context.WithCancel(ctx)
		w.stopWatch = cancel
		go w.watch(ctx, watchCtx, *e.Watch)
	}
	if e.Fetch != nil {
		go w.fetch(ctx, *e.Fetch)
	}
	w.sendUpdate(clock.Now(), e.SendUpdate)
	w.sendOutageUpdate(clock.Now(), e.SendOutageUpdate)
}

// read reads the full state. A host that can serve with the initial part of it first leaves the
// store to others for a while: where all hosts start at once, the store's link is the
// bottleneck, and the part that each needs to start serving is small.
func (w *Watcher) read(ctx context.Context) {
	state, provided, err := w.readInitial(ctx)
	if provided {
		w.post(ctx, func() { w.do(w.core.CancelRead(clock.Now())) })
		return
	}
	if err == nil {
		state, err = w.readAll(ctx, state)
	}
	w.post(ctx, func() {
		var revision uint64
		if err == nil {
			w.reportRejected(state.Rejected)
			w.applyState(state)
			revision = state.Revision
		}
		w.do(w.core.ReadDone(clock.Now(), revision, err))
	})
}

// readInitial reads and applies the initial part of the state. It returns when the rest is due;
// provided is true if a peer has provided the rest by then.
func (w *Watcher) readInitial(ctx context.Context) (initial *State, provided bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, w.conf.InitialReadTimeout)
	defer cancel()
	initial, err = w.conf.Store.ReadInitial(callCtx)
	if err != nil {
		return nil, false, err
	}
	var wait time.Duration
	if err := w.runAndWait(ctx, func() { wait = w.applyInitial(initial) }); err != nil || wait == 0 {
		return initial, false, err
	}
	select {
	case <-ctx.Done():
		return nil, false, ctx.Err()
	case <-time.After(wait):
	}
	err = w.runAndWait(ctx, func() { provided = w.mirror.revision > 0 })
	return initial, provided, err
}

// runAndWait runs input on the goroutine of Run and waits until it has finished.
func (w *Watcher) runAndWait(ctx context.Context, input func()) error {
	done := make(chan struct{})
	w.post(ctx, func() {
		defer close(done)
		input()
	})
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-done:
		return nil
	}
}

func (w *Watcher) readAll(ctx context.Context, initial *State) (*State, error) {
	callCtx, cancel := context.WithTimeout(ctx, w.conf.FullReadTimeout)
	defer cancel()
	return w.conf.Store.ReadAll(callCtx, initial)
}

func (w *Watcher) check(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, w.conf.CheckTimeout)
	defer cancel()
	revision, err := w.conf.Store.Revision(callCtx)
	w.post(ctx, func() { w.do(w.core.CheckDone(clock.Now(), revision, err)) })
}

func (w *Watcher) ping(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, w.conf.CheckTimeout)
	defer cancel()
	err := w.conf.Store.Ping(callCtx)
	w.post(ctx, func() { w.do(w.core.PingDone(clock.Now(), err)) })
}

// shortWait is the wait of a watch that only fetches existing changes.
const shortWait = time.Millisecond

// watch makes a watch call. The call uses watchCtx, which may be canceled early.
func (w *Watcher) watch(ctx, watchCtx context.Context, call storesync.Watch) {
	wait, timeout := shortWait, w.conf.CheckTimeout
	if call.LongPoll {
		wait, timeout = w.conf.WatchWait, w.conf.WatchWait+w.conf.InitialReadTimeout
	}
	callCtx, cancel := context.WithTimeout(watchCtx, timeout)
	defer cancel()
	changes, err := w.conf.Store.Watch(callCtx, call.After, wait)
	w.post(ctx, func() {
		var revision uint64
		changed := false
		if err == nil && changes.Items > 0 {
			revision, changed = changes.Revision, true
			w.reportRejected(changes.Rejected)
			w.applyChanges(changes)
		}
		w.do(w.core.WatchDone(clock.Now(), revision, changed, err))
	})
}

// applyState applies the full state, unless a newer one is known: the answer to a read may arrive after
// the newer state of a peer, and the other way round.
func (w *Watcher) applyState(s *State) {
	if !w.mirror.replace(s) {
		w.emit(event.Event{Code: event.StoreStateOld, Value: int64(s.Revision)})
		return
	}
	w.conf.OnRead(s)
}

// applyInitial applies the initial part of the state on a host without any state. It returns how
// long to wait before reading the rest; 0 means at once.
func (w *Watcher) applyInitial(s *State) time.Duration {
	if w.mirror.revision != 0 || !w.conf.OnInitialRead(s) {
		return 0
	}
	wait, effects := w.core.InitialReadDone(clock.Now(), s.Large, w.conf.FullReadSpread)
	w.do(effects)
	return wait
}

// applyChanges applies the changes that are newer than what is known.
func (w *Watcher) applyChanges(c *Changes) {
	newer := w.mirror.apply(c)
	if newer != nil && (len(newer.Configurations) > 0 || len(newer.Events) > 0) {
		w.conf.OnChanges(newer)
	}
}

func (w *Watcher) reportRejected(list []Rejected) {
	for _, r := range list {
		w.emit(event.Event{Code: event.StoreItemRejected, Reason: r.Item, Detail: r.Reason, Value: int64(r.Revision)})
	}
}

func (w *Watcher) emit(e event.Event) {
	e.At = time.Now()
	w.conf.Events.Emit(e)
}
