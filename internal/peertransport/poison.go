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

// poisonKind is the first byte of a datagram about requests that crash upstreams. Datagrams
// about the store begin with the opening brace of a JSON object.
const poisonKind = 'p'

// CrashesPerMessage is the number of crashes that fit into a datagram.
const CrashesPerMessage = 5

// poisonMessage reports requests during which upstreams crashed, and requests of that kind that
// were answered later.
type poisonMessage struct {
	Crashes  []crashMessage       `json:"d,omitempty"`
	Answered []fingerprintMessage `json:"a,omitempty"`
}

// crashMessage is a crash; times are ages in microseconds at the time of sending.
type crashMessage struct {
	Request  fingerprintMessage `json:"r"`
	Upstream uint64             `json:"u"`
	Host     uint64             `json:"h"`
	SentUs   int64              `json:"b"`
	EndedUs  int64              `json:"e"`
}

// fingerprintMessage holds the target, content and caller of a fingerprint.
type fingerprintMessage [3]uint64

func encodeFingerprint(f poison.Fingerprint) fingerprintMessage {
	return fingerprintMessage{f.Target, f.Content, f.Caller}
}

func (m fingerprintMessage) decode() poison.Fingerprint {
	return poison.Fingerprint{Target: m[0], Content: m[1], Caller: m[2]}
}

// SendCrashes sends crashes of upstreams to each of the hosts, in as many messages as needed.
func (t *Transport) SendCrashes(to []netip.AddrPort, deaths []poison.Crash) {
	now := clock.Now()
	for part := range slices.Chunk(deaths, CrashesPerMessage) {
		var m poisonMessage
		for _, d := range part {
			m.Crashes = append(m.Crashes, crashMessage{
				Request:  encodeFingerprint(d.Request),
				Upstream: d.Upstream,
				Host:     d.Host,
				SentUs:   now.Sub(d.SentAt).Microseconds(),
				EndedUs:  now.Sub(d.EndedAt).Microseconds(),
			})
		}
		t.sendKind(to, poisonKind, &m)
	}
}

// SendAnswered tells each of the hosts that a request during which upstreams crashed was
// answered.
func (t *Transport) SendAnswered(to []netip.AddrPort, f poison.Fingerprint) {
	t.sendKind(to, poisonKind, &poisonMessage{Answered: []fingerprintMessage{encodeFingerprint(f)}})
}

// sendKind sends a message with the given first byte. A message that can't be sent is treated as
// lost.
func (t *Transport) sendKind(to []netip.AddrPort, kind byte, m any) {
	text, err := json.Marshal(m)
	if err != nil {
		t.reportRefused(err)
		return
	}
	t.send(to, append([]byte{kind}, text...))
}

// receivePoison handles a datagram without its first byte.
func (t *Transport) receivePoison(text []byte) error {
	var m poisonMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "poison message")
	}
	now := clock.Now()
	var crashes []poison.Crash
	for _, d := range m.Crashes {
		death, err := d.decode(now)
		if err != nil {
			return err
		}
		crashes = append(crashes, death)
	}
	var answered []poison.Fingerprint
	for _, f := range m.Answered {
		answered = append(answered, f.decode())
	}
	t.conf.OnPoison(crashes, answered)
	return nil
}

func (m *crashMessage) decode(now time.Time) (poison.Crash, error) {
	began, ended, ok := poison.ParseTimes(now, m.SentUs, m.EndedUs)
	if !ok {
		return poison.Crash{}, errors.Newf("invalid times: crash %d us ago of a request sent %d us ago", m.EndedUs, m.SentUs)
	}
	return poison.Crash{
		Request:  m.Request.decode(),
		Upstream: m.Upstream,
		Host:     m.Host,
		SentAt:   began,
		EndedAt:  ended,
	}, nil
}
