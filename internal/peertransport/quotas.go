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
	// quotaKind and grantKind are the first bytes of datagrams that request part of a
	// customer's quota, and of the responses.
	quotaKind = 'q'
	grantKind = 'g'
	// quotaRetryDelay is the delay before a request is sent again, since its message may be
	// lost.
	quotaRetryDelay = 20 * time.Millisecond
	// maxGrantsInProgress bounds the requests of other hosts that are handled concurrently.
	maxGrantsInProgress = 1024
)

// quotaMessage requests quota.
type quotaMessage struct {
	RequestID   uint64         `json:"q"`
	Customer    string         `json:"c"`
	PerSecond   float64        `json:"r"`
	Burst       float64        `json:"b,omitempty"`
	Required    int            `json:"m,omitempty"`
	Prefetch    int            `json:"a,omitempty"`
	Used        int            `json:"u,omitempty"`
	Role        quotas.Role    `json:"o,omitempty"`
	Coordinator netip.AddrPort `json:"h,omitzero"`
	Confident   bool           `json:"s,omitempty"`
}

// grantMessage is the response to a quotaMessage.
type grantMessage struct {
	RequestID   uint64 `json:"q"`
	Granted     int    `json:"g,omitempty"`
	WaitUs      int64  `json:"w,omitempty"`
	Unavailable bool   `json:"n,omitempty"`
}

// RequestQuota implements quotas.Peers. A request without a response is sent once more; quota that is
// granted twice for it is lost.
func (t *Transport) RequestQuota(ctx context.Context, host netip.AddrPort, q quotas.Request) (quota.Answer, bool) {
	id, response := t.quotaRequests.add()
	defer t.quotaRequests.remove(id)
	m := quotaMessage{
		RequestID: id, Customer: q.Customer, PerSecond: q.Limit.PerSecond, Burst: q.Limit.Burst,
		Required: q.Required, Prefetch: q.Prefetch, Used: q.Used, Role: q.Role, Coordinator: q.Coordinator, Confident: q.Confident,
	}
	t.sendKind([]netip.AddrPort{host}, quotaKind, &m)
	retry := time.NewTimer(quotaRetryDelay)
	defer retry.Stop()
	for {
		select {
		case a := <-response:
			return a, true
		case <-retry.C:
			t.sendKind([]netip.AddrPort{host}, quotaKind, &m)
		case <-ctx.Done():
			return quota.Answer{}, false
		}
	}
}

// receiveQuotaRequest handles a request for quota. It does so on a new goroutine, because the
// request may have to be forwarded to another host.
func (t *Transport) receiveQuotaRequest(text []byte, from netip.AddrPort) error {
	var m quotaMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "quota request")
	}
	q := &quotas.Request{
		Request: quota.Request{
			Customer: m.Customer,
			Limit:    quota.Limit{PerSecond: m.PerSecond, Burst: m.Burst},
			Required: m.Required, Prefetch: m.Prefetch, Used: m.Used,
		},
		Role: m.Role, Coordinator: m.Coordinator, Confident: m.Confident,
	}
	if err := q.Validate(); err != nil {
		return err
	}
	sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if t.grantsInProgress.Add(1) > maxGrantsInProgress {
		t.grantsInProgress.Add(-1)
		return errors.New("quota request: too many concurrent requests")
	}
	go func() {
		defer t.grantsInProgress.Add(-1)
		t.sendGrant(m.RequestID, from, t.conf.GrantQuota(sender, q))
	}()
	return nil
}

func (t *Transport) sendGrant(requestID uint64, to netip.AddrPort, a quota.Answer) {
	m := grantMessage{RequestID: requestID, Granted: a.Granted, WaitUs: a.Wait.Microseconds(), Unavailable: a.Unavailable}
	t.sendKind([]netip.AddrPort{to}, grantKind, &m)
}

// receiveGrant handles the response to a request for quota.
func (t *Transport) receiveGrant(text []byte) error {
	var m grantMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "quota response")
	}
	a := quota.Answer{Granted: m.Granted, Wait: time.Duration(m.WaitUs) * time.Microsecond, Unavailable: m.Unavailable}
	if err := a.Validate(); err != nil {
		return err
	}
	if response := t.quotaRequests.remove(m.RequestID); response != nil {
		response <- a
	}
	return nil
}
