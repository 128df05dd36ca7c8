// Package notices spreads notices about leaving upstreams between entry hosts:
// news is pushed at once to a few peers for a few rounds, and everything known
// is exchanged with one random peer each second. A starting host fetches the
// notices of a peer that has fetched them itself before it serves.
package notices

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	noticesv1 "github.com/dapplespindle/dapplespindle/api/notices/v1"
	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

// The schedule, as measured in docs/design/08-drain.md.
const (
	pushEvery     = 200 * time.Millisecond
	pushRounds    = 5
	pushFanOut    = 2
	exchangeEvery = time.Second
	callTimeout   = 500 * time.Millisecond
	refetchFanOut = 4
	// fetchFanOut bounds the peers that a starting host asks at a time: all the others
	// of the largest fleets today, which have 18 hosts.
	fetchFanOut = 17
)

// Config is what New needs. All fields are required.
type Config struct {
	// Loop is the control loop; New must be called before it runs.
	Loop *control.Loop
	// Server is where peers reach this host; New must be called before it serves.
	Server *peer.Server
	// Pool connects to peers.
	Pool *peer.Pool
	// Peers returns the addresses of the other entry hosts.
	Peers func() []string
	// Known returns the notices known here. It runs on the control goroutine.
	Known func(now time.Time) []lifecycle.Notice
	// Merge takes in notices of a peer. It runs on the control goroutine.
	Merge func(now time.Time, notices []lifecycle.Notice)
	// Waking reports whether this host was paused and may lack notices, so that
	// it must not answer for others. It runs on any goroutine.
	Waking func() bool
}

// Broadcaster spreads notices. Tell belongs to the control goroutine.
type Broadcaster struct {
	noticesv1.UnimplementedNoticesServer
	conf   Config
	news   map[lifecycle.Key]lifecycle.Notice // being pushed
	rounds int                                // pushes left
	// awake counts the starts and wakings of this process, and fetched is the
	// last of them after which a peer's notices were taken in.
	awake, fetched atomic.Uint64
}

// New registers a spreader with the loop and the peers' server.
func New(conf Config) *Broadcaster {
	s := &Broadcaster{conf: conf, news: make(map[lifecycle.Key]lifecycle.Notice)}
	s.awake.Store(1)
	noticesv1.RegisterNoticesServer(conf.Server, s)
	conf.Loop.Every(pushEvery, s.push)
	conf.Loop.Every(exchangeEvery, s.exchange)
	return s
}

// Fetched reports whether a peer's notices were taken in since the start, or
// since the last Refetch.
func (s *Broadcaster) Fetched() bool { return s.fetched.Load() == s.awake.Load() }

// Refetch asks several peers for their notices, since this process was paused.
// Answers to what was asked before do not count. It belongs to the control
// goroutine.
func (s *Broadcaster) Refetch() {
	s.awake.Add(1)
	s.ask(clock.Now(), refetchFanOut, func(error) {})
}

// Broadcast pushes news to peers in the next rounds. News about an upstream that is
// being pushed is joined with it, so that a push holds each upstream once.
func (s *Broadcaster) Broadcast(news []lifecycle.Notice) {
	if len(news) == 0 {
		return
	}
	if s.rounds == 0 {
		clear(s.news)
	}
	for _, n := range news {
		if old, ok := s.news[n.Key]; ok {
			n = old.Join(n)
		}
		s.news[n.Key] = n
	}
	s.rounds = pushRounds
	s.push(clock.Now())
}

func (s *Broadcaster) push(time.Time) {
	if s.rounds == 0 {
		return
	}
	s.rounds--
	text := lifecycle.EncodeNotices(slices.Collect(maps.Values(s.news)))
	for _, p := range choose(s.conf.Peers(), pushFanOut) {
		// A peer that is not reached hears it from others.
		go func() { _ = s.call(p, &noticesv1.ExchangeRequest{Notices: text}, s.awake.Load()) }()
	}
}

// exchange exchanges everything known with one peer, or fetches until that was
// done.
func (s *Broadcaster) exchange(now time.Time) {
	if s.Fetched() {
		s.ask(now, 1, func(error) {})
		return
	}
	s.fetch(now)
}

// fetch asks many peers: one that has just started too has nothing to tell. When
// each host asked a single one, and eight of thirteen were restarted together, one
// of them served without a notice that the five others had.
func (s *Broadcaster) fetch(now time.Time) {
	awake := s.awake.Load()
	f := fetching{left: min(fetchFanOut, len(s.conf.Peers()))}
	s.ask(now, f.left, func(err error) {
		if f.answered(err) {
			s.raiseFetched(awake)
		}
	})
}

// fetching is one question to many peers. It is safe for concurrent use.
type fetching struct {
	mu       sync.Mutex
	left     int // peers that have not answered yet
	starting int // of those that have, the ones without knowledge of their own
}

// answered takes in how one call ended. It reports true when it was the last one,
// and some peers answered that they have fetched nothing either: with none that
// has been there for longer, a fleet that starts must not wait for one. Without any
// answer nothing is known of the fleet.
func (f *fetching) answered(err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left--
	if status.Code(err) == codes.FailedPrecondition {
		f.starting++
	}
	return f.left == 0 && f.starting > 0
}

// ask exchanges everything known with n peers, and tells how each call ended.
func (s *Broadcaster) ask(now time.Time, n int, ended func(error)) {
	req := &noticesv1.ExchangeRequest{Notices: lifecycle.EncodeNotices(s.conf.Known(now)), Want: true}
	awake := s.awake.Load()
	for _, p := range choose(s.conf.Peers(), n) {
		go func() { ended(s.call(p, req, awake)) }()
	}
}

// call sends one message. A peer that does not answer hears it from another.
// Awake is when it was asked for.
func (s *Broadcaster) call(address string, req *noticesv1.ExchangeRequest, awake uint64) error {
	conn, err := s.conf.Pool.Conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := noticesv1.NewNoticesClient(conn).Exchange(ctx, req)
	if err != nil || !req.GetWant() {
		return err
	}
	if err := s.take(ctx, resp.GetNotices()); err != nil {
		return err
	}
	s.raiseFetched(awake)
	return nil
}

// raiseFetched records that notices asked for at awake were taken in. An older
// call that ends later changes nothing.
func (s *Broadcaster) raiseFetched(awake uint64) {
	for {
		known := s.fetched.Load()
		if known >= awake || s.fetched.CompareAndSwap(known, awake) {
			return
		}
	}
}

// Exchange implements noticesv1.NoticesServer.
func (s *Broadcaster) Exchange(ctx context.Context, req *noticesv1.ExchangeRequest) (*noticesv1.ExchangeResponse, error) {
	if err := s.take(ctx, req.GetNotices()); err != nil {
		return nil, err
	}
	resp := new(noticesv1.ExchangeResponse)
	if !req.GetWant() {
		return resp, nil
	}
	if s.conf.Waking() {
		return nil, status.Error(codes.Unavailable, "waking from a pause")
	}
	if !s.Fetched() {
		return nil, status.Error(codes.FailedPrecondition, "has not fetched notices itself")
	}
	err := s.conf.Loop.Call(ctx, func() {
		resp.Notices = lifecycle.EncodeNotices(s.conf.Known(clock.Now()))
	})
	return resp, err
}

func (s *Broadcaster) take(ctx context.Context, text []byte) error {
	list, err := lifecycle.DecodeNotices(text)
	if err != nil {
		return err
	}
	return s.conf.Loop.Call(ctx, func() { s.conf.Merge(clock.Now(), list) })
}

// choose returns up to n of the peers, at random.
func choose(peers []string, n int) []string {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}
