package peertransport

import (
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
)

// limitsKind is the first byte of a datagram that tells of the limits of upstreams.
const limitsKind = 'l'

// LimitsPerMessage is how many limits fit a datagram.
const LimitsPerMessage = 10

// limitMessage is what a host knows of the limit of one upstream.
type limitMessage struct {
	Upstream  uint64  `json:"u"`
	Born      int64   `json:"b,omitempty"`
	PerSecond float64 `json:"r,omitempty"`
	Ended     bool    `json:"e,omitempty"`
	AgeUs     int64   `json:"a"` // when it was sent
}

// SendLimits sends what is known of limits to each of the hosts, in as many messages as it
// takes.
func (t *Transport) SendLimits(to []netip.AddrPort, told []ratelimit.Update) {
	for part := range slices.Chunk(told, LimitsPerMessage) {
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
		t.tellKind(to, limitsKind, messages)
	}
}

// heardLimits takes in a datagram behind its first byte.
func (t *Transport) heardLimits(text []byte) error {
	var messages []limitMessage
	if err := json.Unmarshal(text, &messages); err != nil {
		return errors.Wrap(err, "message of limits")
	}
	var told []ratelimit.Update
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
		told = append(told, n)
	}
	t.conf.OnLimits(told)
	return nil
}
