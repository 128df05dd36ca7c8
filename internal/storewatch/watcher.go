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

// Config holds what a Watcher needs.
type Config struct {
	// Store is what is followed.
	Store Store
	// Follow bounds the decisions.
	Follow storesync.Config
	// Self is this host, as the others reach it.
	Self storesync.Host
	// Peers reaches the other hosts; nil for a host that has none.
	Peers Peers
	// OnRead takes in everything that is published. Like Changed and Returned it is
	// called on the follower's goroutine.
	OnRead func(*State)
	// OnInitialRead takes in a part of everything, while a host that knows nothing yet reads the
	// rest. It reports whether the host serves with it.
	OnInitialRead func(*State) bool
	// FullReadSpread is the time over which the hosts that serve with a part spread their
	// reads of the rest.
	FullReadSpread time.Duration
	// OnChanges takes in changes.
	OnChanges func(*Changes)
	// OnRecovery is told since when the store answers again after an outage in which
	// leases may have run out.
	OnRecovery func(at time.Time)
	// Events receives what was lost, regained and refused.
	Events event.Sink
	// WatchWait is how long one watch waits at the store.
	WatchWait time.Duration
	// InitialReadTimeout bounds a call that reads a part of everything, and RestTimeout the calls
	// that read the rest.
	InitialReadTimeout, FullReadTimeout time.Duration
	// CheckTimeout is the silence after which a short call has failed.
	CheckTimeout time.Duration
	// FetchTimeout is the silence after which a question to a peer has failed.
	FetchTimeout time.Duration
}

// inputsLength bounds the results and messages that wait for the follower.
const inputsLength = 256

// Watcher keeps an entry host in step with a store: it carries out what
// storesync.Core decides.
type Watcher struct {
	conf    Config
	inputs  chan func()
	process uint64 // names this process
	fresh   atomic.Pointer[time.Time]
	started time.Time

	// What follows belongs to Run's goroutine.
	core                 *storesync.Core
	mirror               *mirror
	delays               storesync.DelayEstimator
	stopWatch            context.CancelFunc
	toldLast, toldBefore uint64 // revisions told last and before
	ctx                  context.Context
}

// NewWatcher returns a follower that has read nothing.
func NewWatcher(conf Config) *Watcher {
	now := clock.Now()
	f := &Watcher{
		conf:    conf,
		inputs:  make(chan func(), inputsLength),
		process: rand.Uint64(),
		started: now,
		core:    storesync.New(now, conf.Follow),
		mirror:  newMirror(),
	}
	f.fresh.Store(new(time.Time))
	return f
}

// AsOf returns the newest moment of which this host knows every change; zero while it knows
// nothing. It may be called on any goroutine.
func (f *Watcher) AsOf() time.Time { return *f.fresh.Load() }

// Run follows the store until ctx ends. Hosts that were set before are known from
// the start.
func (f *Watcher) Run(ctx context.Context) {
	f.ctx = ctx
	timer := time.NewTimer(0)
	defer timer.Stop()
	if f.conf.Peers == nil {
		f.do(f.core.SetHosts(clock.Now(), f.conf.Self, nil, true))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case input := <-f.inputs:
			input()
		case <-timer.C:
			f.do(f.core.Tick(clock.Now()))
		}
		if due, ok := f.core.NextTick(); ok {
			timer.Reset(clock.Until(due))
		} else {
			timer.Stop()
		}
	}
}

// post hands work to Run's goroutine, unless ctx ends first.
func (f *Watcher) post(ctx context.Context, input func()) {
	select {
	case f.inputs <- input:
	case <-ctx.Done():
	}
}

// do carries out effects; what takes time runs beside and posts its result.
func (f *Watcher) do(e storesync.Effects) {
	if fresh := f.core.AsOf(); !fresh.Equal(*f.fresh.Load()) {
		f.fresh.Store(&fresh)
	}
	for _, ev := range e.Events {
		f.emit(ev)
	}
	if !e.RecoveredAt.IsZero() {
		f.conf.OnRecovery(e.RecoveredAt)
	}
	ctx := f.ctx
	if e.Read {
		go f.read(ctx)
	}
	if e.Check {
		go f.check(ctx)
	}
	if e.Ping {
		go f.look(ctx)
	}
	if e.StopWatch {
		f.stopWatch()
	}
	if e.Watch != nil {
		watchCtx, cancel := context.WithCancel(ctx)
		f.stopWatch = cancel
		go f.watch(ctx, watchCtx, *e.Watch)
	}
	if e.Fetch != nil {
		go f.ask(ctx, *e.Fetch)
	}
	f.tell(clock.Now(), e.SendUpdate)
	f.warn(clock.Now(), e.SendOutageUpdate)
}

// read reads everything. A host that can serve with the first part of it leaves the
// store to others for a while: where all hosts start at once, the store's link is the
// narrowest, and what each needs to begin is a small part of everything.
func (f *Watcher) read(ctx context.Context) {
	state, spared, err := f.begin(ctx)
	if spared {
		f.post(ctx, func() { f.do(f.core.CancelRead(clock.Now())) })
		return
	}
	if err == nil {
		state, err = f.rest(ctx, state)
	}
	f.post(ctx, func() {
		var revision uint64
		if err == nil {
			f.reject(state.Rejected)
			f.takeAll(state)
			revision = state.Revision
		}
		f.do(f.core.ReadDone(clock.Now(), revision, err))
	})
}

// begin reads the first part and puts it in force. It returns when the rest is due, or
// spared if a peer has handed it over by then.
func (f *Watcher) begin(ctx context.Context) (begun *State, spared bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, f.conf.InitialReadTimeout)
	defer cancel()
	begun, err = f.conf.Store.ReadInitial(callCtx)
	if err != nil {
		return nil, false, err
	}
	var wait time.Duration
	if err := f.runOnce(ctx, func() { wait = f.takePart(begun) }); err != nil || wait == 0 {
		return begun, false, err
	}
	select {
	case <-ctx.Done():
		return nil, false, ctx.Err()
	case <-time.After(wait):
	}
	err = f.runOnce(ctx, func() { spared = f.mirror.revision > 0 })
	return begun, spared, err
}

// runOnce runs input on Run's goroutine and waits for its end.
func (f *Watcher) runOnce(ctx context.Context, input func()) error {
	done := make(chan struct{})
	f.post(ctx, func() {
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

func (f *Watcher) rest(ctx context.Context, begun *State) (*State, error) {
	callCtx, cancel := context.WithTimeout(ctx, f.conf.FullReadTimeout)
	defer cancel()
	return f.conf.Store.ReadAll(callCtx, begun)
}

func (f *Watcher) check(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, f.conf.CheckTimeout)
	defer cancel()
	revision, err := f.conf.Store.Revision(callCtx)
	f.post(ctx, func() { f.do(f.core.CheckDone(clock.Now(), revision, err)) })
}

func (f *Watcher) look(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, f.conf.CheckTimeout)
	defer cancel()
	err := f.conf.Store.Ping(callCtx)
	f.post(ctx, func() { f.do(f.core.PingDone(clock.Now(), err)) })
}

// shortWait is the wait of a watch that only fetches what is there already.
const shortWait = time.Millisecond

// watch calls with watchCtx, which may be ended early.
func (f *Watcher) watch(ctx, watchCtx context.Context, call storesync.Watch) {
	wait, timeout := shortWait, f.conf.CheckTimeout
	if call.LongPoll {
		wait, timeout = f.conf.WatchWait, f.conf.WatchWait+f.conf.InitialReadTimeout
	}
	callCtx, cancel := context.WithTimeout(watchCtx, timeout)
	defer cancel()
	changes, err := f.conf.Store.Watch(callCtx, call.After, wait)
	f.post(ctx, func() {
		var revision uint64
		changed := false
		if err == nil && changes.Items > 0 {
			revision, changed = changes.Revision, true
			f.reject(changes.Rejected)
			f.take(changes)
		}
		f.do(f.core.WatchDone(clock.Now(), revision, changed, err))
	})
}

// takeAll puts everything in force.
func (f *Watcher) takeAll(s *State) {
	f.mirror.replace(s)
	f.conf.OnRead(s)
}

// takePart lets a host that knows nothing serve with a part. It returns how long to wait for
// the rest; 0 if it is to be read at once.
func (f *Watcher) takePart(s *State) time.Duration {
	if f.mirror.revision != 0 || !f.conf.OnInitialRead(s) {
		return 0
	}
	wait, effects := f.core.InitialReadDone(clock.Now(), s.Large, f.conf.FullReadSpread)
	f.do(effects)
	return wait
}

// take puts changes in force. Those that are known already change nothing.
func (f *Watcher) take(c *Changes) {
	f.mirror.apply(c)
	if len(c.Configurations) > 0 || len(c.Events) > 0 {
		f.conf.OnChanges(c)
	}
}

func (f *Watcher) reject(list []Rejected) {
	for _, r := range list {
		f.emit(event.Event{Code: event.StoreItemRejected, Reason: r.Item, Detail: r.Reason, Value: int64(r.Revision)})
	}
}

func (f *Watcher) emit(e event.Event) {
	e.At = time.Now()
	f.conf.Events.Emit(e)
}
