package poisonsync

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	poisonv1 "github.com/dapplespindle/dapplespindle/api/poison/v1"
	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
)

// heard is one message that a host took in.
type heard struct {
	died     []poison.Crash
	answered []poison.Fingerprint
}

// begin starts a host that tells those whose addresses are given. Its repeats begin
// with its loop.
func begin(t *testing.T, recent []poison.Crash, peers ...string) (*Broadcaster, string, chan heard, *control.Loop) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	server := peer.NewServer(ln.Addr().String(), nil)
	messages := make(chan heard, 16)
	loop := control.NewLoop()
	teller := New(Config{
		Loop:     loop,
		Server:   server,
		Pool:     peer.NewPool(nil),
		Peers:    func() []string { return append([]string(nil), peers...) },
		Recent:   func(time.Time, time.Duration) []poison.Crash { return recent },
		OnUpdate: func(d []poison.Crash, a []poison.Fingerprint) { messages <- heard{d, a} },
	})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	return teller, ln.Addr().String(), messages, loop
}

func death() poison.Crash {
	now := time.Now()
	return poison.Crash{
		Request:  poison.FingerprintOf("GET", "shop", "/", nil, "caller"),
		Upstream: 1<<64 - 1, Host: 7,
		SentAt: now.Add(-2 * time.Second), EndedAt: now.Add(-time.Second),
	}
}

// TestTold: an end, an answer, and what is repeated to a host that missed it.
func TestTold(t *testing.T) {
	is := is.New(t)
	_, address, messages, _ := begin(t, nil)
	want := death()
	teller, _, _, loop := begin(t, []poison.Crash{want}, address)
	check := func(got heard) {
		is.Equal(len(got.died), 1)
		d := got.died[0]
		is.Equal(d.Request, want.Request)
		is.Equal([]uint64{d.Upstream, d.Host}, []uint64{want.Upstream, want.Host})
		is.Equal(d.EndedAt.Sub(d.SentAt), time.Second)
	}
	teller.NotifyCrash(want)
	check(<-messages)
	teller.NotifyAnswer(want.Request)
	is.Equal((<-messages).answered, []poison.Fingerprint{want.Request})
	go loop.Run(t.Context())
	check(<-messages)
}

// TestRefusedMessages: ages that no host tells.
func TestRefusedMessages(t *testing.T) {
	teller, _, messages, _ := begin(t, nil)
	for _, d := range []*poisonv1.Death{
		{BeganAgeUs: 1, EndedAgeUs: 2},
		{BeganAgeUs: -1, EndedAgeUs: -2},
		{BeganAgeUs: 1 << 62},
	} {
		is := is.New(t)
		_, err := teller.Tell(t.Context(), &poisonv1.TellRequest{Died: []*poisonv1.Death{d}})
		is.Equal(status.Code(err), codes.InvalidArgument)
		is.Equal(len(messages), 0)
	}
}
