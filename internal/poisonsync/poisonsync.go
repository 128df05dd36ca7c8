// Package poisonsync sends the crashes of upstreams, and the requests that were answered
// since, to the other entry hosts over gRPC; see pkg/poison.
package poisonsync

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	poisonv1 "github.com/dapplespindle/dapplespindle/api/poison/v1"
	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/pkg/gossip"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
)

const (
	// maxCrashes bounds the number of crashes in one message, which is then at most 50 KB.
	maxCrashes = 1024
	// callTimeout bounds one call. The crashes of a call that fails are sent again.
	callTimeout = 500 * time.Millisecond
)

// Config is what New needs. All fields are required.
type Config struct {
	// Loop is the control loop; New must be called before it runs.
	Loop *control.Loop
	// Server is the gRPC server for peers; New must be called before it serves.
	Server *peer.Server
	// Pool holds the connections to peers.
	Pool *peer.Pool
	// Peers returns the addresses of the other entry hosts. It may be called from any
	// goroutine.
	Peers func() []string
	// Recent returns the crashes to rebroadcast; see poison.Table.RecentCrashes.
	Recent func(now time.Time, within time.Duration) []poison.Crash
	// OnUpdate is called with the update of a peer. It may be called from any goroutine.
	OnUpdate func(crashes []poison.Crash, answered []poison.Fingerprint)
}

// Broadcaster sends updates to peers and receives theirs. It implements proxy.PoisonNotifier.
type Broadcaster struct {
	poisonv1.UnimplementedPoisonServer
	conf Config
}

// New returns a Broadcaster that is registered with the control loop and the server for peers.
func New(conf Config) *Broadcaster {
	b := &Broadcaster{conf: conf}
	poisonv1.RegisterPoisonServer(conf.Server, b)
	conf.Loop.Every(gossip.RepeatInterval, b.repeat)
	return b
}

// NotifyCrash implements proxy.PoisonNotifier.
func (b *Broadcaster) NotifyCrash(c poison.Crash) {
	b.send(b.conf.Peers(), &poisonv1.TellRequest{Died: encodeCrashes(clock.Now(), []poison.Crash{c})})
}

// NotifyAnswer implements proxy.PoisonNotifier.
func (b *Broadcaster) NotifyAnswer(f poison.Fingerprint) {
	b.send(b.conf.Peers(), &poisonv1.TellRequest{Answered: []*poisonv1.Fingerprint{encodeFingerprint(f)}})
}

// repeat sends recent crashes again to a few hosts, which may have missed them.
func (b *Broadcaster) repeat(now time.Time) {
	crashes := b.conf.Recent(now, poison.RebroadcastPeriod)
	if len(crashes) == 0 {
		return
	}
	encoded := encodeCrashes(now, gossip.Sample(crashes, maxCrashes, rand.IntN))
	b.send(gossip.Sample(b.conf.Peers(), gossip.RepeatFanOut, rand.IntN), &poisonv1.TellRequest{Died: encoded})
}

// send sends an update to each of the hosts, without waiting for them. A host that can't be
// reached receives crashes again by repeat.
func (b *Broadcaster) send(peers []string, req *poisonv1.TellRequest) {
	b.conf.Pool.Broadcast(peers, callTimeout, func(ctx context.Context, c *grpc.ClientConn) error {
		_, err := poisonv1.NewPoisonClient(c).Tell(ctx, req)
		return err
	})
}

// Tell implements poisonv1.PoisonServer.
func (b *Broadcaster) Tell(_ context.Context, req *poisonv1.TellRequest) (*poisonv1.TellResponse, error) {
	now := clock.Now()
	var crashes []poison.Crash
	for _, m := range req.GetDied() {
		c, ok := decodeCrash(now, m)
		if !ok {
			return nil, status.Error(codes.InvalidArgument, "an end before its request was sent, or in the future")
		}
		crashes = append(crashes, c)
	}
	var answered []poison.Fingerprint
	for _, m := range req.GetAnswered() {
		answered = append(answered, decodeFingerprint(m))
	}
	b.conf.OnUpdate(crashes, answered)
	return new(poisonv1.TellResponse), nil
}

func encodeCrashes(now time.Time, crashes []poison.Crash) []*poisonv1.Death {
	var out []*poisonv1.Death
	for _, c := range crashes {
		out = append(out, &poisonv1.Death{
			Request:    encodeFingerprint(c.Request),
			Upstream:   c.Upstream,
			Host:       c.Host,
			BeganAgeUs: now.Sub(c.SentAt).Microseconds(),
			EndedAgeUs: now.Sub(c.EndedAt).Microseconds(),
		})
	}
	return out
}

func decodeCrash(now time.Time, m *poisonv1.Death) (poison.Crash, bool) {
	sentAt, endedAt, ok := poison.ParseTimes(now, m.GetBeganAgeUs(), m.GetEndedAgeUs())
	return poison.Crash{
		Request:  decodeFingerprint(m.GetRequest()),
		Upstream: m.GetUpstream(),
		Host:     m.GetHost(),
		SentAt:   sentAt,
		EndedAt:  endedAt,
	}, ok
}

func encodeFingerprint(f poison.Fingerprint) *poisonv1.Fingerprint {
	return &poisonv1.Fingerprint{Target: f.Target, Content: f.Content, Caller: f.Caller}
}

func decodeFingerprint(m *poisonv1.Fingerprint) poison.Fingerprint {
	return poison.Fingerprint{Target: m.GetTarget(), Content: m.GetContent(), Caller: m.GetCaller()}
}
