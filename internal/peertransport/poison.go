package peertransport

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
)

// poisonKind is the first byte of a datagram that tells of ends of upstreams. Those that
// tell of the store begin with the brace of a JSON object.
const poisonKind = 'p'

// DeathsPerMessage is how many ends fit a datagram.
const DeathsPerMessage = 5

// poisonMessage is what a host tells of requests under which upstreams ended.
type poisonMessage struct {
	Died     []deathMessage       `json:"d,omitempty"`
	Answered []fingerprintMessage `json:"a,omitempty"`
}

// deathMessage is an end; times are ages, in microseconds, when it was sent.
type deathMessage struct {
	Request  fingerprintMessage `json:"r"`
	Upstream uint64             `json:"u"`
	Host     uint64             `json:"h"`
	Began    int64              `json:"b"`
	Ended    int64              `json:"e"`
}

// fingerprintMessage is target, content and caller of a fingerprint.
type fingerprintMessage [3]uint64

func encodeFingerprint(f poison.Fingerprint) fingerprintMessage {
	return fingerprintMessage{f.Target, f.Content, f.Caller}
}

func (m fingerprintMessage) decode() poison.Fingerprint {
	return poison.Fingerprint{Target: m[0], Content: m[1], Caller: m[2]}
}

// SendDeaths sends ends of upstreams to each of the hosts, in as many messages as it
// takes.
func (t *Transport) SendDeaths(to []netip.AddrPort, deaths []poison.Crash) {
	now := clock.Now()
	for part := range slices.Chunk(deaths, DeathsPerMessage) {
		var m poisonMessage
		for _, d := range part {
			m.Died = append(m.Died, deathMessage{
				Request:  encodeFingerprint(d.Request),
				Upstream: d.Upstream,
				Host:     d.Host,
				Began:    now.Sub(d.SentAt).Microseconds(),
				Ended:    now.Sub(d.EndedAt).Microseconds(),
			})
		}
		t.tellKind(to, poisonKind, &m)
	}
}

// SendAnswered tells each of the hosts that a request under which upstreams ended was
// answered.
func (t *Transport) SendAnswered(to []netip.AddrPort, f poison.Fingerprint) {
	t.tellKind(to, poisonKind, &poisonMessage{Answered: []fingerprintMessage{encodeFingerprint(f)}})
}

// tellKind sends a message of a kind. One that can't be sent is as one that is lost.
func (t *Transport) tellKind(to []netip.AddrPort, kind byte, m any) {
	text, err := json.Marshal(m)
	if err != nil {
		t.refused(err)
		return
	}
	t.send(to, append([]byte{kind}, text...))
}

// heardPoison takes in a datagram behind its first byte.
func (t *Transport) heardPoison(text []byte) error {
	var m poisonMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "message of ends")
	}
	now := clock.Now()
	var died []poison.Crash
	for _, d := range m.Died {
		death, err := d.decode(now)
		if err != nil {
			return err
		}
		died = append(died, death)
	}
	var answered []poison.Fingerprint
	for _, f := range m.Answered {
		answered = append(answered, f.decode())
	}
	t.conf.OnPoison(died, answered)
	return nil
}

func (m *deathMessage) decode(now time.Time) (poison.Crash, error) {
	began, ended, ok := poison.ParseTimes(now, m.Began, m.Ended)
	if !ok {
		return poison.Crash{}, errors.Newf("an end %d us ago of a request sent %d us ago", m.Ended, m.Began)
	}
	return poison.Crash{
		Request:  m.Request.decode(),
		Upstream: m.Upstream,
		Host:     m.Host,
		SentAt:   began,
		EndedAt:  ended,
	}, nil
}
