package peertransport

import (
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
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
// were answered later. A host that starts asks for those that are refused.
type poisonMessage struct {
	Crashes  []crashMessage       `json:"d,omitempty"`
	Answered []fingerprintMessage `json:"a,omitempty"`
	// Question is the ID of a question for the requests that are refused; 0 if it is none.
	Question uint64 `json:"q,omitempty"`
	// Answer is the ID of the question to which all crashes have been sent; 0 if it is no answer.
	Answer uint64 `json:"i,omitempty"`
	// Informed is set in an answer of a host that knows what its peers refuse.
	Informed bool `json:"k,omitempty"`
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
func (t *Transport) SendCrashes(to []netip.AddrPort, crashes []poison.Crash) {
	now := clock.Now()
	for part := range slices.Chunk(crashes, CrashesPerMessage) {
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

// AskQuarantines asks a host for the requests that are refused. The crashes that show it arrive as any
// others do; after them, whether the host is informed arrives on the channel. The caller must call
// cancel when it no longer waits for it.
func (t *Transport) AskQuarantines(to netip.AddrPort) (informed <-chan bool, cancel func()) {
	id, informed := t.quarantineQuestions.addTo(to)
	t.sendKind([]netip.AddrPort{to}, poisonKind, &poisonMessage{Question: id})
	return informed, func() { t.quarantineQuestions.remove(id) }
}

// maxQuarantineAnswers bounds the questions for quarantines that are answered in a second: with 16
// requests that are refused, each takes some 11 KB.
const maxQuarantineAnswers = 50

// answerQuarantines answers a question for quarantines, unless there are too many.
func (t *Transport) answerQuarantines(to netip.AddrPort, id uint64) {
	if t.conf.Quarantines == nil || !t.quarantineAnswers.allow(clock.Now(), maxQuarantineAnswers) {
		return
	}
	crashes, informed := t.conf.Quarantines(to)
	t.SendCrashes([]netip.AddrPort{to}, crashes)
	t.sendKind([]netip.AddrPort{to}, poisonKind, &poisonMessage{Answer: id, Informed: informed})
}

// perSecond counts events in the current second. It is safe for concurrent use.
type perSecond struct {
	mu    sync.Mutex
	since time.Time
	count int
}

// allow reports whether fewer than limit events were allowed in the current second.
func (p *perSecond) allow(now time.Time, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.since) >= time.Second {
		p.since, p.count = now, 0
	}
	p.count++
	return p.count <= limit
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
func (t *Transport) receivePoison(text []byte, from netip.AddrPort) error {
	sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
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
	if m.Question != 0 {
		t.answerQuarantines(sender, m.Question)
	}
	if m.Answer == 0 {
		return nil
	}
	if informed, ok := t.quarantineQuestions.removeFrom(m.Answer, sender); !ok {
		return errors.Newf("answer to another host's question from %s", sender)
	} else if informed != nil {
		informed <- m.Informed
	}
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
