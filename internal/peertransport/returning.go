package peertransport

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/returning"
)

// The first bytes of datagrams about callers that were refused: a note for the host that keeps
// the notes of that caller, a question whether the caller has a note that is due, and the
// answer.
const (
	noteKind         = 'r'
	noteQuestionKind = 'w'
	noteAnswerKind   = 'k'
)

// CallerNotes handles the messages of other hosts about callers that were refused.
type CallerNotes interface {
	// Accepts reports whether a host may send such messages: a live host of this host's
	// failure domain.
	Accepts(from netip.AddrPort) bool
	// Refused records that a caller was told to come back after wait.
	Refused(caller uint64, wait time.Duration)
	// AllowAnswer reports whether another question may be answered now. If not, the question
	// is dropped.
	AllowAnswer() bool
	// Take reports whether the caller has a note that is due, and consumes the note.
	Take(caller uint64) bool
}

// noteMessage states that a caller was refused.
type noteMessage struct {
	Caller uint64 `json:"c"`
	DueUs  *int64 `json:"d"` // time until the note is due, when the message is sent
}

// noteQuestion asks whether a caller has a note that is due.
type noteQuestion struct {
	RequestID uint64 `json:"q"`
	Caller    uint64 `json:"c"`
}

// noteAnswer is the answer to a noteQuestion.
type noteAnswer struct {
	RequestID uint64 `json:"q"`
	Returning *bool  `json:"r"`
}

// SendNote tells a host that a caller was refused and told to come back after wait.
func (t *Transport) SendNote(to netip.AddrPort, caller uint64, wait time.Duration) {
	due := wait.Microseconds()
	t.sendKind([]netip.AddrPort{to}, noteKind, &noteMessage{caller, &due})
}

// AskNote asks a host whether a caller has a note that is due. The answer, if any, arrives on
// the channel. The caller must call cancel when it no longer waits for it.
func (t *Transport) AskNote(to netip.AddrPort, caller uint64) (answer <-chan bool, cancel func()) {
	id, answer := t.noteQuestions.add()
	t.sendKind([]netip.AddrPort{to}, noteQuestionKind, &noteQuestion{id, caller})
	return answer, func() { t.noteQuestions.remove(id) }
}

// fromNeighbor returns a handler for datagrams that are accepted only from live hosts of this
// host's failure domain.
func (t *Transport) fromNeighbor(handle func([]byte, netip.AddrPort) error) func([]byte, netip.AddrPort) error {
	return func(text []byte, from netip.AddrPort) error {
		sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if t.conf.CallerNotes == nil {
			return errors.New("caller note: not kept by this host")
		}
		if !t.conf.CallerNotes.Accepts(sender) {
			return errors.Newf("caller note: %s is not a live host of this failure domain", sender)
		}
		return handle(text, from)
	}
}

func (t *Transport) receiveNote(text []byte, _ netip.AddrPort) error {
	var m noteMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "caller note")
	}
	// Compared before the conversion, which may overflow.
	if m.Caller == 0 || m.DueUs == nil || *m.DueUs < 0 || *m.DueUs > returning.MaxWait.Microseconds() {
		return errors.New("caller note: no caller, no time, or a time out of range")
	}
	t.conf.CallerNotes.Refused(m.Caller, time.Duration(*m.DueUs)*time.Microsecond)
	return nil
}

func (t *Transport) receiveNoteQuestion(text []byte, from netip.AddrPort) error {
	var m noteQuestion
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "caller note question")
	}
	if m.RequestID == 0 || m.Caller == 0 {
		return errors.New("caller note question: no ID or no caller")
	}
	if !t.conf.CallerNotes.AllowAnswer() { // before Take, which consumes the note
		return nil
	}
	waited := t.conf.CallerNotes.Take(m.Caller)
	t.sendKind([]netip.AddrPort{from}, noteAnswerKind, &noteAnswer{m.RequestID, &waited})
	return nil
}

func (t *Transport) receiveNoteAnswer(text []byte, _ netip.AddrPort) error {
	var m noteAnswer
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "caller note answer")
	}
	if m.RequestID == 0 || m.Returning == nil {
		return errors.New("caller note answer: no ID or no answer")
	}
	if answer := t.noteQuestions.remove(m.RequestID); answer != nil {
		answer <- *m.Returning
	}
	return nil
}
