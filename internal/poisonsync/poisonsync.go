// Package poisonsync tells the other entry hosts, over gRPC, of requests under which
// upstreams end, as pkg/poison asks for.
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
	// maxDeaths bounds the ends of one message; 50 KB.
	maxDeaths = 1024
	// callTimeout bounds one call. What it would have told is repeated.
	callTimeout = 500 * time.Millisecond
)

// Config is what New needs. All fields are required.
type Config struct {
	// Loop is the control loop; New must be called before it runs.
	Loop *control.Loop
	// Server is where peers reach this host; New must be called before it serves.
	Server *peer.Server
	// Pool connects to peers.
	Pool *peer.Pool
	// Peers returns the addresses of the other entry hosts. It runs on any goroutine.
	Peers func() []string
	// Recent returns the ends that a host which missed them should hear of.
	Recent func(now time.Time, within time.Duration) []poison.Crash
	// OnUpdate takes in what a peer tells. It runs on any goroutine.
	OnUpdate func(died []poison.Crash, answered []poison.Fingerprint)
}

// Broadcaster implements proxy.PoisonNotifier.
type Broadcaster struct {
	poisonv1.UnimplementedPoisonServer
	conf Config
}

// New registers a teller with the loop and the peers' server.
func New(conf Config) *Broadcaster {
	t := &Broadcaster{conf: conf}
	poisonv1.RegisterPoisonServer(conf.Server, t)
	conf.Loop.Every(gossip.RepeatInterval, t.repeat)
	return t
}

// NotifyCrash implements proxy.PoisonNotifier.
func (t *Broadcaster) NotifyCrash(d poison.Crash) {
	t.tell(t.conf.Peers(), &poisonv1.TellRequest{Died: encodeDeaths(clock.Now(), []poison.Crash{d})})
}

// NotifyAnswer implements proxy.PoisonNotifier.
func (t *Broadcaster) NotifyAnswer(f poison.Fingerprint) {
	t.tell(t.conf.Peers(), &poisonv1.TellRequest{Answered: []*poisonv1.Fingerprint{encodeFingerprint(f)}})
}

// repeat tells a few hosts what they may have missed.
func (t *Broadcaster) repeat(now time.Time) {
	deaths := t.conf.Recent(now, poison.RebroadcastPeriod)
	if len(deaths) == 0 {
		return
	}
	told := encodeDeaths(now, gossip.Sample(deaths, maxDeaths, rand.IntN))
	t.tell(gossip.Sample(t.conf.Peers(), gossip.RepeatFanOut, rand.IntN), &poisonv1.TellRequest{Died: told})
}

// tell sends a message to each of the hosts, beside the caller. One that is not reached
// hears it again.
func (t *Broadcaster) tell(peers []string, req *poisonv1.TellRequest) {
	t.conf.Pool.Broadcast(peers, callTimeout, func(ctx context.Context, c *grpc.ClientConn) error {
		_, err := poisonv1.NewPoisonClient(c).Tell(ctx, req)
		return err
	})
}

// Tell implements poisonv1.PoisonServer.
func (t *Broadcaster) Tell(_ context.Context, req *poisonv1.TellRequest) (*poisonv1.TellResponse, error) {
	now := clock.Now()
	var died []poison.Crash
	for _, m := range req.GetDied() {
		d, ok := decodeDeath(now, m)
		if !ok {
			return nil, status.Error(codes.InvalidArgument, "an end before its request was sent, or in the future")
		}
		died = append(died, d)
	}
	var answered []poison.Fingerprint
	for _, m := range req.GetAnswered() {
		answered = append(answered, decodeFingerprint(m))
	}
	t.conf.OnUpdate(died, answered)
	return new(poisonv1.TellResponse), nil
}

func encodeDeaths(now time.Time, deaths []poison.Crash) []*poisonv1.Death {
	var out []*poisonv1.Death
	for _, d := range deaths {
		out = append(out, &poisonv1.Death{
			Request:    encodeFingerprint(d.Request),
			Upstream:   d.Upstream,
			Host:       d.Host,
			BeganAgeUs: now.Sub(d.SentAt).Microseconds(),
			EndedAgeUs: now.Sub(d.EndedAt).Microseconds(),
		})
	}
	return out
}

func decodeDeath(now time.Time, m *poisonv1.Death) (poison.Crash, bool) {
	began, ended, ok := poison.ParseTimes(now, m.GetBeganAgeUs(), m.GetEndedAgeUs())
	return poison.Crash{
		Request:  decodeFingerprint(m.GetRequest()),
		Upstream: m.GetUpstream(),
		Host:     m.GetHost(),
		SentAt:   began,
		EndedAt:  ended,
	}, ok
}

func encodeFingerprint(f poison.Fingerprint) *poisonv1.Fingerprint {
	return &poisonv1.Fingerprint{Target: f.Target, Content: f.Content, Caller: f.Caller}
}

func decodeFingerprint(m *poisonv1.Fingerprint) poison.Fingerprint {
	return poison.Fingerprint{Target: m.GetTarget(), Content: m.GetContent(), Caller: m.GetCaller()}
}
