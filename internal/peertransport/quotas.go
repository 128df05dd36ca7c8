package peertransport

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/quotas"
	"github.com/dapplespindle/dapplespindle/pkg/quota"
)

const (
	// roomKind and grantKind are the first bytes of datagrams that ask for room of a
	// customer's quota, and that answer.
	roomKind  = 'q'
	grantKind = 'g'
	// askRoomAgain is when a question is sent again whose message may be lost.
	askRoomAgain = 20 * time.Millisecond
	// maxRelays bounds the questions of others that are answered at the same time.
	maxRelays = 1024
)

// roomMessage asks for room.
type roomMessage struct {
	Question  uint64         `json:"q"`
	Customer  string         `json:"c"`
	PerSecond float64        `json:"r"`
	Burst     float64        `json:"b,omitempty"`
	Must      int            `json:"m,omitempty"`
	Ahead     int            `json:"a,omitempty"`
	Used      int            `json:"u,omitempty"`
	Role      quotas.Role    `json:"o,omitempty"`
	Charged   netip.AddrPort `json:"h,omitzero"`
	Sure      bool           `json:"s,omitempty"`
}

// grantMessage answers.
type grantMessage struct {
	Question uint64 `json:"q"`
	Granted  int    `json:"g,omitempty"`
	WaitUs   int64  `json:"w,omitempty"`
	Nobody   bool   `json:"n,omitempty"`
}

// RequestQuota implements quotas.Peers. A question whose answer is lost is asked again once; room
// that is granted twice is lost.
func (t *Transport) RequestQuota(ctx context.Context, host netip.AddrPort, q quotas.Request) (quota.Answer, bool) {
	number, answer := t.rooms.ask()
	defer t.rooms.take(number)
	m := roomMessage{
		Question: number, Customer: q.Customer, PerSecond: q.Limit.PerSecond, Burst: q.Limit.Burst,
		Must: q.Required, Ahead: q.Prefetch, Used: q.Used, Role: q.Role, Charged: q.Coordinator, Sure: q.Confident,
	}
	t.tellKind([]netip.AddrPort{host}, roomKind, &m)
	again := time.NewTimer(askRoomAgain)
	defer again.Stop()
	for {
		select {
		case a := <-answer:
			return a, true
		case <-again.C:
			t.tellKind([]netip.AddrPort{host}, roomKind, &m)
		case <-ctx.Done():
			return quota.Answer{}, false
		}
	}
}

// heardRoom answers a question for room, beside what comes next: it may have to be passed on.
func (t *Transport) heardRoom(text []byte, from netip.AddrPort) error {
	var m roomMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "question for room")
	}
	q := &quotas.Request{
		Request: quota.Request{
			Customer: m.Customer,
			Limit:    quota.Limit{PerSecond: m.PerSecond, Burst: m.Burst},
			Required: m.Must, Prefetch: m.Ahead, Used: m.Used,
		},
		Role: m.Role, Coordinator: m.Charged, Confident: m.Sure,
	}
	if err := q.Validate(); err != nil {
		return err
	}
	asker := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if t.relays.Add(1) > maxRelays {
		t.relays.Add(-1)
		return errors.New("question for room: too many at once")
	}
	go func() {
		defer t.relays.Add(-1)
		t.grant(m.Question, from, t.conf.GrantQuota(asker, q))
	}()
	return nil
}

func (t *Transport) grant(question uint64, to netip.AddrPort, a quota.Answer) {
	m := grantMessage{Question: question, Granted: a.Granted, WaitUs: a.Wait.Microseconds(), Nobody: a.Unavailable}
	t.tellKind([]netip.AddrPort{to}, grantKind, &m)
}

// heardGrant takes in the answer to a question for room.
func (t *Transport) heardGrant(text []byte) error {
	var m grantMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "answer to a question for room")
	}
	a := quota.Answer{Granted: m.Granted, Wait: time.Duration(m.WaitUs) * time.Microsecond, Unavailable: m.Nobody}
	if err := a.Validate(); err != nil {
		return err
	}
	if answer := t.rooms.take(m.Question); answer != nil {
		answer <- a
	}
	return nil
}
