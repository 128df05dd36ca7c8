package notices

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	noticesv1 "github.com/dapplespindle/dapplespindle/api/notices/v1"
	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

var (
	ledger   = lifecycle.KeyOf("ledger", "caruaru-3")
	lots     = lifecycle.KeyOf("lots", "caruaru-4")
	known    = lifecycle.Notice{Key: ledger, DrainRevision: 7}
	received = lifecycle.Notice{Key: lots, MinActivation: 1}
)

// newBroadcaster returns a Broadcaster without peers that knows one notice, and
// the notices it has merged.
func newBroadcaster(t *testing.T) (*Broadcaster, *[]lifecycle.Notice) {
	t.Helper()
	var merged []lifecycle.Notice
	loop := control.NewLoop()
	s := New(Config{
		Loop:     loop,
		Server:   peer.NewServer("127.0.0.1:0", nil),
		Pool:     peer.NewPool(nil),
		Peers:    func() []string { return nil },
		Resuming: func() bool { return false },
		Known:    func(time.Time) []lifecycle.Notice { return []lifecycle.Notice{known} },
		Merge:    func(_ time.Time, n []lifecycle.Notice) { merged = append(merged, n...) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		loop.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s, &merged
}

func TestExchange(t *testing.T) {
	is := is.New(t)
	s, merged := newBroadcaster(t)
	s.markFetched(1)
	encoded := lifecycle.EncodeNotices([]lifecycle.Notice{received})
	for _, want := range []bool{false, true} {
		*merged = nil
		resp, err := s.Exchange(t.Context(), &noticesv1.ExchangeRequest{Notices: encoded, Want: want})
		is.NoErr(err)
		is.Equal(*merged, []lifecycle.Notice{received})
		got, err := lifecycle.DecodeNotices(resp.GetNotices())
		is.NoErr(err)
		is.Equal(len(got) == 1, want) // the response to a push has no notices
	}
}

// TestWakingHostDoesNotAnswer checks that a host that resumes from a pause merges
// notices but does not return its own, which may be incomplete.
func TestWakingHostDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	s, merged := newBroadcaster(t)
	s.conf.Resuming = func() bool { return true }
	encoded := lifecycle.EncodeNotices([]lifecycle.Notice{received})
	_, err := s.Exchange(t.Context(), &noticesv1.ExchangeRequest{Notices: encoded, Want: true})
	is.Equal(status.Code(err), codes.Unavailable)
	is.Equal(*merged, []lifecycle.Notice{received})
}

// TestHostThatHasNotFetchedDoesNotAnswer checks that a starting host does not
// return its notices, which may lack those that older peers know.
func TestHostThatHasNotFetchedDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	s, merged := newBroadcaster(t)
	encoded := lifecycle.EncodeNotices([]lifecycle.Notice{received})
	_, err := s.Exchange(t.Context(), &noticesv1.ExchangeRequest{Notices: encoded, Want: true})
	is.Equal(status.Code(err), codes.FailedPrecondition)
	is.Equal(*merged, []lifecycle.Notice{received})
	s.markFetched(1)
	_, err = s.Exchange(t.Context(), &noticesv1.ExchangeRequest{Notices: encoded, Want: true})
	is.NoErr(err)
}

func TestMalformedNoticesAreRefused(t *testing.T) {
	is := is.New(t)
	s, merged := newBroadcaster(t)
	_, err := s.Exchange(t.Context(), &noticesv1.ExchangeRequest{Notices: []byte{1, 2, 3}})
	is.True(err != nil)
	is.Equal(len(*merged), 0)
}

// TestBroadcastJoins checks that a push contains each upstream once, regardless
// of how many notices about it were broadcast.
func TestBroadcastJoins(t *testing.T) {
	is := is.New(t)
	s, _ := newBroadcaster(t)
	var pushed map[lifecycle.Key]lifecycle.Notice
	err := s.conf.Loop.Call(t.Context(), func() {
		for revision := range uint64(100) {
			s.Broadcast([]lifecycle.Notice{{Key: ledger, DrainRevision: revision}, {Key: ledger, MinActivation: 2}})
		}
		pushed = maps.Clone(s.pending)
	})
	is.NoErr(err)
	joined := lifecycle.Notice{Key: ledger, DrainRevision: 99, MinActivation: 2}
	is.Equal(pushed, map[lifecycle.Key]lifecycle.Notice{ledger: joined})
}

func TestChoose(t *testing.T) {
	is := is.New(t)
	is.Equal(len(choosePeers([]string{"a", "b", "c"}, 2)), 2)
	is.Equal(len(choosePeers([]string{"a"}, 2)), 1)
	is.Equal(len(choosePeers(nil, 2)), 0)
}

// TestOlderCallDoesNotLowerFetched checks that a call made before a pause that
// finishes after a newer one has no effect.
func TestOlderCallDoesNotLowerFetched(t *testing.T) {
	is := is.New(t)
	s, _ := newBroadcaster(t)
	s.markFetched(1)
	is.True(s.Fetched())
	s.epoch.Add(1)
	is.True(!s.Fetched())
	s.markFetched(2)
	s.markFetched(1)
	is.True(s.Fetched())
}

// TestFetching checks that a start proceeds without an older peer only when all
// calls have finished and at least one peer responded.
func TestFetching(t *testing.T) {
	starting := status.Error(codes.FailedPrecondition, "")
	failed := status.Error(codes.Unavailable, "")
	for name, test := range map[string]struct {
		ends []error
		done bool
	}{
		"all start":         {[]error{starting, starting, starting}, true},
		"some are down":     {[]error{starting, failed, failed}, true},
		"all are down":      {[]error{failed, failed, failed}, false},
		"one responds last": {[]error{failed, failed, starting}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fetchCalls{inProgress: len(test.ends)}
			for i, err := range test.ends {
				is.Equal(f.finished(err), test.done && i == len(test.ends)-1)
			}
		})
	}
}
