package configfeed

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	pb "github.com/dapplespindle/dapplespindle/api/configsync/v1"
	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/internal/platform"
	"github.com/dapplespindle/dapplespindle/pkg/configsync"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// TickInterval is the interval of configsync.Node.Tick.
const TickInterval = 100 * time.Millisecond

// membersInterval is how often the member list is read from Config.Members.
const membersInterval = time.Second

// Config configures a Feed. All fields but Options are required.
type Config struct {
	// Host identifies this entry host in events, "IP:port".
	Host string
	// Options configure the replication. Self is required; a nil Rand is seeded by
	// the operating system.
	Options configsync.Options
	// Loop is the control goroutine.
	Loop *control.Loop
	// Server receives messages from peers. It must not have been started.
	Server *peer.Server
	// Pool provides connections to peers.
	Pool *peer.Pool
	// Platform is the client of the platform's configuration service.
	Platform *platform.Client
	// Members returns the current entry hosts, or false if no list has been read
	// yet. It is called on the control goroutine and must not block.
	Members func() ([]configsync.Member, bool)
	// Events receives the events.
	Events event.Sink
	// OnChange is called on the control goroutine after each change of the current
	// documents, Ready or CatchingUp. It must not modify the slice Snapshot.InForce.
	OnChange func(Snapshot)
}

// Snapshot is a snapshot of a host's configuration.
type Snapshot struct {
	// InForce are the current documents, ordered by name.
	InForce []configsync.Document
	// Frontier is the revision up to which the host has every change.
	Frontier uint64
	// Ready is true when the host may serve.
	Ready bool
	// CatchingUp is true from the end of a pause until the state is confirmed with
	// a peer.
	CatchingUp bool
}

// Feed maintains the configuration of one entry host. Its methods may be called
// from any goroutine, unless stated otherwise.
type Feed struct {
	conf        Config
	node        *configsync.Node
	ctx         context.Context
	sender      *sender
	nextMembers time.Time
	watermark   atomic.Pointer[configsync.Watermark]
	catchingUp  atomic.Bool
	calls       atomic.Int64
}

// New registers a feed with conf.Loop and conf.Server, neither of which may be
// running yet. The feed runs until ctx is done.
func New(ctx context.Context, conf Config) *Feed {
	if conf.Options.Rand == nil {
		conf.Options.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	f := &Feed{conf: conf, ctx: ctx, node: configsync.NewNode(clock.Now(), conf.Options)}
	f.sender = newSender(f)
	f.publish()
	pb.RegisterConfigSyncServer(conf.Server, &service{feed: f})
	conf.Loop.Every(TickInterval, f.tick)
	return f
}

// Watermark returns the watermark for this host's membership metadata.
func (f *Feed) Watermark() configsync.Watermark { return *f.watermark.Load() }

// CatchingUp reports whether this host resumed after a pause and has not yet
// confirmed its state with a peer.
func (f *Feed) CatchingUp() bool { return f.catchingUp.Load() }

// PlatformCalls returns the number of calls made to the platform's
// configuration service.
func (f *Feed) PlatformCalls() int64 { return f.calls.Load() }

// Progress reports the rollout of revision of key over members.
func (f *Feed) Progress(ctx context.Context, key string, revision uint64, members []configsync.MemberWatermark) (configsync.Progress, error) {
	var out configsync.Progress
	err := f.conf.Loop.Call(ctx, func() { out = f.node.Progress(key, revision, members) })
	if err != nil {
		return configsync.Progress{}, err
	}
	return out, nil
}

// tick runs on the control goroutine.
func (f *Feed) tick(time.Time) {
	now := clock.Now()
	if !now.Before(f.nextMembers) {
		f.nextMembers = now.Add(membersInterval)
		if members, ok := f.conf.Members(); ok {
			f.apply(f.node.SetMembers(now, members))
		}
	}
	f.apply(f.node.Tick(now))
}

// apply carries out effects. It runs on the control goroutine.
func (f *Feed) apply(e configsync.Effects) {
	for _, ev := range e.Events {
		f.emit(ev)
	}
	f.publish()
	if e.InForce {
		f.conf.OnChange(Snapshot{
			InForce:    f.node.InForce(),
			Frontier:   f.node.State().Frontier(),
			Ready:      f.node.Ready(),
			CatchingUp: f.node.CatchingUp(),
		})
	}
	for _, out := range e.Send {
		f.sender.send(out)
	}
	if e.Read != nil {
		go f.read(*e.Read)
	}
}

func (f *Feed) publish() {
	w := f.node.Watermark()
	f.watermark.Store(&w)
	f.catchingUp.Store(f.node.CatchingUp())
}

func (f *Feed) emit(ev event.Event) {
	ev.At = time.Now()
	ev.EntryHost = f.conf.Host
	f.conf.Events.Emit(ev)
}

// responseMargin is added to the wait of a watch to get the timeout of the call.
const responseMargin = 5 * time.Second

// read makes one call of the platform and passes the outcome to the node.
func (f *Feed) read(r configsync.Read) {
	f.calls.Add(1)
	ctx, cancel := context.WithTimeout(f.ctx, r.Wait+responseMargin)
	defer cancel()
	changes, err := f.conf.Platform.Watch(ctx, r.After, r.Wait)
	var result configsync.ReadResult
	if err == nil {
		result = readResult(changes)
	}
	_ = f.conf.Loop.Call(f.ctx, func() {
		now := clock.Now()
		if err != nil {
			f.apply(f.node.ReadFailed(now, err))
			return
		}
		f.apply(f.node.ReadDone(now, result))
	})
}

func readResult(c *platform.Changes) configsync.ReadResult {
	out := configsync.ReadResult{Revision: c.Revision}
	for _, ch := range c.Changes {
		out.Versions = append(out.Versions, configsync.NewVersion(ch.Key, ch.Revision, ch.Deleted, ch.Value))
	}
	return out
}
