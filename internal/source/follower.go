package source

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Config bounds a Follower.
type Config struct {
	// Store is what is followed.
	Store Store
	// Read takes in everything that is published. Like Changed and Returned it is
	// called on the follower's goroutine.
	Read func(*State)
	// Changed takes in changes.
	Changed func(*Changes)
	// Returned is told that the store answers again after an outage in which
	// leases may have run out.
	Returned func()
	// Events receives what was lost, regained and refused.
	Events event.Sink
	// WatchWait is how long one watch waits at the store.
	WatchWait time.Duration
	// ReadTimeout bounds reading everything.
	ReadTimeout time.Duration
	// CheckEvery is the pause between two checks, while a watch waits, that the
	// store answers and that the watch has not missed a change.
	CheckEvery time.Duration
	// CheckTimeout is the silence after which a check has failed.
	CheckTimeout time.Duration
	// WatchSlack is how long a watch may take to tell of a change that a check
	// has seen.
	WatchSlack time.Duration
	// SettleMin and SettleMax bound the pause before the next watch, so that a
	// burst of changes costs few calls: it doubles while changes keep coming.
	SettleMin, SettleMax time.Duration
	// MinOutage is the shortest time without answers that counts as an outage.
	MinOutage time.Duration
	// RetryMin and RetryMax bound the pause before a failed call is made again;
	// it doubles from one to the other.
	RetryMin, RetryMax time.Duration
}

// Follower keeps an entry host in step with a store.
type Follower struct {
	conf     Config
	revision uint64
	known    bool      // everything was read, and nothing was missed since
	away     time.Time // when the first of the calls that failed in a row did; zero if none
	failures int
	settle   time.Duration
}

// NewFollower returns a follower that has read nothing.
func NewFollower(conf Config) *Follower { return &Follower{conf: conf} }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		changed, err := f.step(ctx)
		pause := time.Duration(0)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryLost):
			f.known = false
			f.emit(event.Event{Code: event.StoreHistoryLost, Value: int64(f.revision)})
		case err != nil:
			f.lost(err)
			pause = f.backoff()
		case changed:
			pause = f.settleAfter(time.Since(began))
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// settleAfter returns the pause after changes that took a watch some time.
func (f *Follower) settleAfter(watched time.Duration) time.Duration {
	if watched > f.conf.SettleMax {
		f.settle = 0
	}
	f.settle = min(max(2*f.settle, f.conf.SettleMin), f.conf.SettleMax)
	return f.settle
}

// step reads everything, or what has changed. It reports whether anything has.
// While the store is away the cheapest call looks whether it is back.
func (f *Follower) step(ctx context.Context) (bool, error) {
	if !f.away.IsZero() {
		if err := f.ask(ctx); err != nil {
			return false, err
		}
		f.regained()
	}
	if !f.known {
		return true, f.read(ctx)
	}
	return f.watch(ctx)
}

func (f *Follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.conf.ReadTimeout)
	defer cancel()
	state, err := f.conf.Store.Read(ctx)
	if err != nil {
		return err
	}
	f.regained()
	f.reject(state.Rejected)
	f.conf.Read(state)
	f.known = true
	f.revision = state.Revision
	return nil
}

// errWatchBehind says that a watch did not tell of a change.
var errWatchBehind = errors.New("the watch missed a change")

// watch waits for changes. Meanwhile it checks that the store answers and that
// the watch has not missed any: one at a store that went silent, or whose end
// was lost, would wait in vain.
func (f *Follower) watch(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, f.conf.WatchWait+f.conf.ReadTimeout)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		failed <- f.check(ctx)
		cancel()
	}()
	changes, err := f.conf.Store.Watch(ctx, f.revision, f.conf.WatchWait)
	cancel()
	cause := <-failed
	if err != nil && cause != nil {
		err = cause
	}
	if errors.Is(err, errWatchBehind) {
		f.emit(event.Event{Code: event.StoreWatchBehind, Value: int64(f.revision)})
		return false, nil // the next watch begins where this one did
	}
	if err != nil {
		return false, err
	}
	f.regained()
	f.reject(changes.Rejected)
	f.revision = max(f.revision, changes.Revision)
	if len(changes.Configurations) == 0 && len(changes.Events) == 0 {
		return false, nil
	}
	f.conf.Changed(changes)
	return true, nil
}

// ask looks whether the store answers.
func (f *Follower) ask(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.conf.CheckTimeout)
	defer cancel()
	return f.conf.Store.Alive(ctx)
}

// revisionNow asks for the newest revision: an older one would hide a change
// that the watch has missed.
func (f *Follower) revisionNow(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.conf.CheckTimeout)
	defer cancel()
	return f.conf.Store.Revision(ctx)
}

// check returns the first failed check, or nil when ctx ends.
func (f *Follower) check(ctx context.Context) error {
	for sleep(ctx, f.conf.CheckEvery) {
		revision, err := f.revisionNow(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return errors.Wrap(err, "check during a watch")
		case revision > f.revision && sleep(ctx, f.conf.WatchSlack):
			return errWatchBehind
		}
	}
	return nil
}

func (f *Follower) lost(err error) {
	f.failures++
	if f.away.IsZero() {
		f.away = time.Now()
		f.emit(event.Event{Code: event.StoreLost, Detail: err.Error(), Value: int64(f.revision)})
	}
}

func (f *Follower) regained() {
	f.failures = 0
	if f.away.IsZero() {
		return
	}
	outage := time.Since(f.away)
	f.away = time.Time{}
	f.emit(event.Event{Code: event.StoreRegained, Value: outage.Milliseconds()})
	if outage >= f.conf.MinOutage {
		f.conf.Returned()
	}
}

// backoff spreads the hosts' calls over the pause.
func (f *Follower) backoff() time.Duration {
	pause := f.conf.RetryMin
	for range f.failures - 1 {
		pause = min(2*pause, f.conf.RetryMax)
	}
	return pause/2 + rand.N(pause/2+1)
}

func (f *Follower) reject(list []Rejected) {
	for _, r := range list {
		f.emit(event.Event{Code: event.StoreItemRejected, Reason: r.Item, Detail: r.Reason, Value: int64(r.Revision)})
	}
}

func (f *Follower) emit(e event.Event) {
	e.At = time.Now()
	f.conf.Events.Emit(e)
}

// sleep reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
