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
	arriving = lifecycle.Notice{Key: lots, MinActivation: 1}
)

// newSpreader returns a spreader without peers that knows one notice, and what
// it has merged.
func newSpreader(t *testing.T) (*Broadcaster, *[]lifecycle.Notice) {
	t.Helper()
	var merged []lifecycle.Notice
	loop := control.NewLoop()
	s := New(Config{
		Loop:   loop,
		Server: peer.NewServer("127.0.0.1:0", nil),
		Pool:   peer.NewPool(nil),
		Peers:  func() []string { return nil },
		Waking: func() bool { return false },
		Known:  func(time.Time) []lifecycle.Notice { return []lifecycle.Notice{known} },
		Merge:  func(_ time.Time, n []lifecycle.Notice) { merged = append(merged, n...) },
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
	s, merged := newSpreader(t)
	s.raiseFetched(1)
	text := lifecycle.EncodeNotices([]lifecycle.Notice{arriving})
	for _, want := range []bool{false, true} {
		*merged = nil
		resp, err := s.Exchange(t.Context(), &noticesv1.ExchangeRequest{Notices: text, Want: want})
		is.NoErr(err)
		is.Equal(*merged, []lifecycle.Notice{arriving})
		got, err := lifecycle.DecodeNotices(resp.GetNotices())
		is.NoErr(err)
		is.Equal(len(got) == 1, want) // a push gets no answer
	}
}

// TestWakingHostDoesNotAnswer: it takes notices in but must not be taken for a
// host that knows all.
func TestWakingHostDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	s, merged := newSpreader(t)
	s.conf.Waking = func() bool { return true }
	text := lifecycle.EncodeNotices([]lifecycle.Notice{arriving})
	_, err := s.Exchange(t.Context(), &noticesv1.ExchangeRequest{Notices: text, Want: true})
	is.Equal(status.Code(err), codes.Unavailable)
	is.Equal(*merged, []lifecycle.Notice{arriving})
}

// TestHostThatHasNotFetchedDoesNotAnswer: it may lack what older peers know, and
// must not be taken for a host that knows all.
func TestHostThatHasNotFetchedDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	s, merged := newSpreader(t)
	text := lifecycle.EncodeNotices([]lifecycle.Notice{arriving})
	_, err := s.Exchange(t.Context(), &noticesv1.ExchangeRequest{Notices: text, Want: true})
	is.Equal(status.Code(err), codes.FailedPrecondition)
	is.Equal(*merged, []lifecycle.Notice{arriving})
	s.raiseFetched(1)
	_, err = s.Exchange(t.Context(), &noticesv1.ExchangeRequest{Notices: text, Want: true})
	is.NoErr(err)
}

func TestMalformedNoticesAreRefused(t *testing.T) {
	is := is.New(t)
	s, merged := newSpreader(t)
	_, err := s.Exchange(t.Context(), &noticesv1.ExchangeRequest{Notices: []byte{1, 2, 3}})
	is.True(err != nil)
	is.Equal(len(*merged), 0)
}

// TestTellJoins: a push holds each upstream once, however often it is told.
func TestTellJoins(t *testing.T) {
	is := is.New(t)
	s, _ := newSpreader(t)
	var pushed map[lifecycle.Key]lifecycle.Notice
	err := s.conf.Loop.Call(t.Context(), func() {
		for revision := range uint64(100) {
			s.Broadcast([]lifecycle.Notice{{Key: ledger, DrainRevision: revision}, {Key: ledger, MinActivation: 2}})
		}
		pushed = maps.Clone(s.news)
	})
	is.NoErr(err)
	joined := lifecycle.Notice{Key: ledger, DrainRevision: 99, MinActivation: 2}
	is.Equal(pushed, map[lifecycle.Key]lifecycle.Notice{ledger: joined})
}

func TestChoose(t *testing.T) {
	is := is.New(t)
	is.Equal(len(choose([]string{"a", "b", "c"}, 2)), 2)
	is.Equal(len(choose([]string{"a"}, 2)), 1)
	is.Equal(len(choose(nil, 2)), 0)
}

// TestOlderCallDoesNotTakeBack: a call that was made before a pause may end
// after one that was made since.
func TestOlderCallDoesNotTakeBack(t *testing.T) {
	is := is.New(t)
	s, _ := newSpreader(t)
	s.raiseFetched(1)
	is.True(s.Fetched())
	s.awake.Add(1)
	is.True(!s.Fetched())
	s.raiseFetched(2)
	s.raiseFetched(1)
	is.True(s.Fetched())
}

// TestFetching: a start goes on without any older peer only when all peers that
// were asked have answered or failed, and at least one answered.
func TestFetching(t *testing.T) {
	starting := status.Error(codes.FailedPrecondition, "")
	failed := status.Error(codes.Unavailable, "")
	for name, test := range map[string]struct {
		ends []error
		done bool
	}{
		"all start":           {[]error{starting, starting, starting}, true},
		"some are down":       {[]error{starting, failed, failed}, true},
		"all are down":        {[]error{failed, failed, failed}, false},
		"one answers at last": {[]error{failed, failed, starting}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fetching{left: len(test.ends)}
			for i, err := range test.ends {
				is.Equal(f.answered(err), test.done && i == len(test.ends)-1)
			}
		})
	}
}
