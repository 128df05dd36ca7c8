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

// TickInterval is how often the core is told of the time.
const TickInterval = 100 * time.Millisecond

// membersEvery is how often the list of members is taken over.
const membersEvery = time.Second

// Config is what a Feed is made of. All fields but Options are required.
type Config struct {
	// Host names this entry host in events, "IP:port".
	Host string
	// Options tune the core. Self is required; a nil Rand is seeded by the
	// operating system.
	Options configsync.Options
	// Loop is the control goroutine.
	Loop *control.Loop
	// Server takes messages from peers. It must not have been started.
	Server *peer.Server
	// Pool connects to peers.
	Pool *peer.Pool
	// Platform is the configuration service.
	Platform *platform.Client
	// Members returns the present entry hosts, and false while no list was read
	// yet. It is called on the control goroutine and must not block.
	Members func() ([]configsync.Member, bool)
	// Events takes decisions.
	Events event.Sink
	// OnChange is called on the control goroutine with the state after each
	// change of the documents in force, of Ready or of Learning. It must not
	// keep Snapshot.InForce's slice to change it.
	OnChange func(Snapshot)
}

// Snapshot is the configuration part of a host at one moment.
type Snapshot struct {
	// InForce are the documents in force, ordered by name.
	InForce []configsync.Document
	// Frontier is the revision up to which no change is missing.
	Frontier uint64
	// Ready is true when the host may serve.
	Ready bool
	// CatchingUp is true between waking from a pause and hearing from a peer.
	CatchingUp bool
}

// Feed keeps the configuration of one entry host. Its methods may be called
// from any goroutine, unless they say otherwise.
type Feed struct {
	conf      Config
	node      *configsync.Node
	ctx       context.Context
	sender    *sender
	nextList  time.Time
	watermark atomic.Pointer[configsync.Watermark]
	learning  atomic.Bool
	calls     atomic.Int64
}

// New registers a feed with conf.Loop and conf.Server, neither of which may be
// running. The feed works until ctx ends.
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

// Watermark returns what this host publishes in its membership metadata.
func (f *Feed) Watermark() configsync.Watermark { return *f.watermark.Load() }

// CatchingUp reports whether this host woke from a pause and has not yet heard
// from a peer.
func (f *Feed) CatchingUp() bool { return f.learning.Load() }

// PlatformCalls returns the number of calls made to the platform's
// configuration service.
func (f *Feed) PlatformCalls() int64 { return f.calls.Load() }

// Progress reports how far revision of key has come over members.
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
	if !now.Before(f.nextList) {
		f.nextList = now.Add(membersEvery)
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
	f.learning.Store(f.node.CatchingUp())
}

func (f *Feed) emit(ev event.Event) {
	ev.At = time.Now()
	ev.EntryHost = f.conf.Host
	f.conf.Events.Emit(ev)
}

// answerSlack is added to the wait of a watch before the call is given up.
const answerSlack = 5 * time.Second

// read makes one call of the platform and hands the outcome to the core.
func (f *Feed) read(r configsync.Read) {
	f.calls.Add(1)
	ctx, cancel := context.WithTimeout(f.ctx, r.Wait+answerSlack)
	defer cancel()
	changes, err := f.conf.Platform.Watch(ctx, r.After, r.Wait)
	var answer configsync.ReadResult
	if err == nil {
		answer = answerOf(changes)
	}
	_ = f.conf.Loop.Call(f.ctx, func() {
		now := clock.Now()
		if err != nil {
			f.apply(f.node.ReadFailed(now, err))
			return
		}
		f.apply(f.node.ReadDone(now, answer))
	})
}

func answerOf(c *platform.Changes) configsync.ReadResult {
	out := configsync.ReadResult{Revision: c.Revision}
	for _, ch := range c.Changes {
		out.Versions = append(out.Versions, configsync.NewVersion(ch.Key, ch.Revision, ch.Deleted, ch.Value))
	}
	return out
}
