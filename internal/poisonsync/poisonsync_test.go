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

// update is one update that a host received.
type update struct {
	crashes  []poison.Crash
	answered []poison.Fingerprint
}

// startHost starts a host that sends updates to the given addresses. It sends recent crashes
// again only while its loop runs.
func startHost(t *testing.T, recent []poison.Crash, peers ...string) (*Broadcaster, string, chan update, *control.Loop) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	server := peer.NewServer(ln.Addr().String(), nil)
	updates := make(chan update, 16)
	loop := control.NewLoop()
	broadcaster := New(Config{
		Loop:     loop,
		Server:   server,
		Pool:     peer.NewPool(nil),
		Peers:    func() []string { return append([]string(nil), peers...) },
		Recent:   func(time.Time, time.Duration) []poison.Crash { return recent },
		OnUpdate: func(c []poison.Crash, a []poison.Fingerprint) { updates <- update{c, a} },
	})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	return broadcaster, ln.Addr().String(), updates, loop
}

func crash() poison.Crash {
	now := time.Now()
	return poison.Crash{
		Request:  poison.FingerprintOf("GET", "shop", "/", nil, "caller"),
		Upstream: 1<<64 - 1, Host: 7,
		SentAt: now.Add(-2 * time.Second), EndedAt: now.Add(-time.Second),
	}
}

// TestUpdates: a crash and an answer reach the other host, and a recent crash is sent again.
func TestUpdates(t *testing.T) {
	is := is.New(t)
	_, address, updates, _ := startHost(t, nil)
	want := crash()
	broadcaster, _, _, loop := startHost(t, []poison.Crash{want}, address)
	check := func(got update) {
		is.Equal(len(got.crashes), 1)
		c := got.crashes[0]
		is.Equal(c.Request, want.Request)
		is.Equal([]uint64{c.Upstream, c.Host}, []uint64{want.Upstream, want.Host})
		is.Equal(c.EndedAt.Sub(c.SentAt), time.Second)
	}
	broadcaster.NotifyCrash(want)
	check(<-updates)
	broadcaster.NotifyAnswer(want.Request)
	is.Equal((<-updates).answered, []poison.Fingerprint{want.Request})
	go loop.Run(t.Context())
	check(<-updates)
}

// TestInvalidAges: a message with ages out of range is refused.
func TestInvalidAges(t *testing.T) {
	broadcaster, _, updates, _ := startHost(t, nil)
	for _, d := range []*poisonv1.Death{
		{BeganAgeUs: 1, EndedAgeUs: 2},
		{BeganAgeUs: -1, EndedAgeUs: -2},
		{BeganAgeUs: 1 << 62},
	} {
		is := is.New(t)
		_, err := broadcaster.Tell(t.Context(), &poisonv1.TellRequest{Died: []*poisonv1.Death{d}})
		is.Equal(status.Code(err), codes.InvalidArgument)
		is.Equal(len(updates), 0)
	}
}
