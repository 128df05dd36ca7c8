// Package notices distributes notices about leaving upstreams among entry hosts:
// new notices are pushed immediately to a few peers for a few rounds, and all
// known notices are exchanged with one random peer each second. Before it serves,
// a starting host fetches the notices of a peer that has already fetched them
// itself.
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

// Intervals and fan-outs; docs/design/08-drain.md has the measurements for them.
const (
	pushInterval     = 200 * time.Millisecond
	pushRounds       = 5
	pushFanOut       = 2
	exchangeInterval = time.Second
	callTimeout      = 500 * time.Millisecond
	refetchFanOut    = 4
	// fetchFanOut is the maximum number of peers that a starting host contacts at a
	// time: all others in the largest fleets today, which have 18 hosts.
	fetchFanOut = 17
)

// Config configures a Broadcaster. All fields are required.
type Config struct {
	// Loop is the control loop; New must be called before it runs.
	Loop *control.Loop
	// Server serves the calls of peers; New must be called before it serves.
	Server *peer.Server
	// Pool connects to peers.
	Pool *peer.Pool
	// Peers returns the addresses of the other entry hosts.
	Peers func() []string
	// Known returns the notices known to this host. It runs on the control
	// goroutine.
	Known func(now time.Time) []lifecycle.Notice
	// Merge merges the notices of a peer. It runs on the control goroutine.
	Merge func(now time.Time, notices []lifecycle.Notice)
	// Resuming reports whether this host was paused and may lack notices, so that
	// it must not return its notices to peers. It runs on any goroutine.
	Resuming func() bool
}

// Broadcaster distributes notices. Broadcast must be called on the control
// goroutine.
type Broadcaster struct {
	noticesv1.UnimplementedNoticesServer
	conf            Config
	pending         map[lifecycle.Key]lifecycle.Notice // being pushed
	remainingRounds int                                // remaining push rounds
	// epoch counts the start and the resumptions of this process. fetchedEpoch is
	// the last epoch in which a peer's notices were requested and then merged.
	epoch, fetchedEpoch atomic.Uint64
}

// New registers a Broadcaster with the loop and the peer server.
func New(conf Config) *Broadcaster {
	s := &Broadcaster{conf: conf, pending: make(map[lifecycle.Key]lifecycle.Notice)}
	s.epoch.Store(1)
	noticesv1.RegisterNoticesServer(conf.Server, s)
	conf.Loop.Every(pushInterval, s.push)
	conf.Loop.Every(exchangeInterval, s.exchange)
	return s
}

// Fetched reports whether a peer's notices were merged since the start, or since
// the last Refetch. It is also true if all peers that responded are starting too;
// see fetchCalls.finished.
func (s *Broadcaster) Fetched() bool { return s.fetchedEpoch.Load() == s.epoch.Load() }

// Refetch requests the notices of several peers after this process was paused.
// Responses to earlier requests do not count as fetched. It must be called on the
// control goroutine.
func (s *Broadcaster) Refetch() {
	s.epoch.Add(1)
	s.exchangeWith(clock.Now(), refetchFanOut, func(error) {})
}

// Broadcast pushes notices to peers at once and in the next rounds. Notices about
// the same upstream are joined, so that a push contains each upstream once.
func (s *Broadcaster) Broadcast(notices []lifecycle.Notice) {
	if len(notices) == 0 {
		return
	}
	if s.remainingRounds == 0 {
		clear(s.pending)
	}
	for _, n := range notices {
		if old, ok := s.pending[n.Key]; ok {
			n = old.Join(n)
		}
		s.pending[n.Key] = n
	}
	s.remainingRounds = pushRounds
	s.push(clock.Now())
}

func (s *Broadcaster) push(time.Time) {
	if s.remainingRounds == 0 {
		return
	}
	s.remainingRounds--
	encoded := lifecycle.EncodeNotices(slices.Collect(maps.Values(s.pending)))
	for _, p := range choosePeers(s.conf.Peers(), pushFanOut) {
		// A failed push is not retried: the peer gets the notices from others.
		go func() { _ = s.call(p, &noticesv1.ExchangeRequest{Notices: encoded}, s.epoch.Load()) }()
	}
}

// exchange exchanges all known notices with one peer once this host has fetched;
// until then it fetches.
func (s *Broadcaster) exchange(now time.Time) {
	if s.Fetched() {
		s.exchangeWith(now, 1, func(error) {})
		return
	}
	s.fetch(now)
}

// fetch requests the notices of many peers, because a peer that has just started
// too has none. When each starting host asked only one peer and eight of thirteen
// hosts were restarted together, one of them served without a notice that the
// five others had.
func (s *Broadcaster) fetch(now time.Time) {
	epoch := s.epoch.Load()
	f := fetchCalls{inProgress: min(fetchFanOut, len(s.conf.Peers()))}
	s.exchangeWith(now, f.inProgress, func(err error) {
		if f.finished(err) {
			s.markFetched(epoch)
		}
	})
}

// fetchCalls tracks the calls of one fetch. It is safe for concurrent use.
type fetchCalls struct {
	mu         sync.Mutex
	inProgress int // calls in progress
	starting   int // finished calls to peers that have not fetched either
}

// finished records the result of one call. It reports true after the last call if
// at least one peer responded that it has not fetched either: when a whole fleet
// starts, no peer has been running for longer, and waiting for one would never
// end. If no peer responded, nothing is known about the fleet.
func (f *fetchCalls) finished(err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inProgress--
	if status.Code(err) == codes.FailedPrecondition {
		f.starting++
	}
	return f.inProgress == 0 && f.starting > 0
}

// exchangeWith exchanges all known notices with up to n random peers and calls
// ended with the result of each call.
func (s *Broadcaster) exchangeWith(now time.Time, n int, ended func(error)) {
	req := &noticesv1.ExchangeRequest{Notices: lifecycle.EncodeNotices(s.conf.Known(now)), Want: true}
	epoch := s.epoch.Load()
	for _, p := range choosePeers(s.conf.Peers(), n) {
		go func() { ended(s.call(p, req, epoch)) }()
	}
}

// call sends one request and merges the notices in the response. A failed call is
// not retried: the peer gets the notices from others. Epoch is the value of
// s.epoch when the request was made.
func (s *Broadcaster) call(address string, req *noticesv1.ExchangeRequest, epoch uint64) error {
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
	if err := s.merge(ctx, resp.GetNotices()); err != nil {
		return err
	}
	s.markFetched(epoch)
	return nil
}

// markFetched records that notices requested at epoch were merged. An older call
// that finishes later has no effect.
func (s *Broadcaster) markFetched(epoch uint64) {
	for {
		known := s.fetchedEpoch.Load()
		if known >= epoch || s.fetchedEpoch.CompareAndSwap(known, epoch) {
			return
		}
	}
}

// Exchange implements noticesv1.NoticesServer.
func (s *Broadcaster) Exchange(ctx context.Context, req *noticesv1.ExchangeRequest) (*noticesv1.ExchangeResponse, error) {
	if err := s.merge(ctx, req.GetNotices()); err != nil {
		return nil, err
	}
	resp := new(noticesv1.ExchangeResponse)
	if !req.GetWant() {
		return resp, nil
	}
	if s.conf.Resuming() {
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

func (s *Broadcaster) merge(ctx context.Context, encoded []byte) error {
	list, err := lifecycle.DecodeNotices(encoded)
	if err != nil {
		return err
	}
	return s.conf.Loop.Call(ctx, func() { s.conf.Merge(clock.Now(), list) })
}

// choosePeers returns up to n random peers. It shuffles peers in place.
func choosePeers(peers []string, n int) []string {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}
