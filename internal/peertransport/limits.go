package peertransport

import (
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
)

// limitsKind is the first byte of a datagram with limits of upstreams.
const limitsKind = 'l'

// LimitsPerMessage is the number of limits that fit into a datagram.
const LimitsPerMessage = 10

// limitMessage is the known limit of one upstream.
type limitMessage struct {
	Upstream  uint64  `json:"u"`
	Born      int64   `json:"b,omitempty"`
	PerSecond float64 `json:"r,omitempty"`
	Ended     bool    `json:"e,omitempty"`
	AgeUs     int64   `json:"a"` // at the time of sending
}

// SendLimits sends known limits to each of the hosts, in as many messages as needed.
func (t *Transport) SendLimits(to []netip.AddrPort, limits []ratelimit.Update) {
	for part := range slices.Chunk(limits, LimitsPerMessage) {
		var messages []limitMessage
		for _, n := range part {
			messages = append(messages, limitMessage{
				Upstream:  n.Server.IDHash,
				Born:      n.Server.StartedAt,
				PerSecond: n.PerSecond,
				Ended:     n.Ended,
				AgeUs:     n.Age.Microseconds(),
			})
		}
		t.sendKind(to, limitsKind, messages)
	}
}

// receiveLimits handles a datagram without its first byte.
func (t *Transport) receiveLimits(text []byte) error {
	var messages []limitMessage
	if err := json.Unmarshal(text, &messages); err != nil {
		return errors.Wrap(err, "limits message")
	}
	var limits []ratelimit.Update
	for _, m := range messages {
		n := ratelimit.Update{
			Server:    ratelimit.Server{IDHash: m.Upstream, StartedAt: m.Born},
			PerSecond: m.PerSecond,
			Ended:     m.Ended,
			Age:       ratelimit.ParseAge(m.AgeUs),
		}
		if err := n.Validate(); err != nil {
			return err
		}
		limits = append(limits, n)
	}
	t.conf.OnLimits(limits)
	return nil
}
