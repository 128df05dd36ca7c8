package gateway

import (
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/membership/rendezvous"
	"github.com/dapplespindle/dapplespindle/pkg/returning"
)

const (
	// maxNotesPerSecond, maxNoteQuestionsPerSecond and maxNoteAnswersPerSecond bound the
	// messages that a host sends about callers that were refused. At 40, 51 and 36 bytes they
	// take at most 5.5 KB/s, which leaves 2.4 of 8 KB/s for reports of free slots. A host that keeps the notes of one large customer is asked by all
	// hosts of its failure domain: without the last bound, 65 hosts cause 94 KB/s of answers.
	maxNotesPerSecond         = 50
	maxNoteQuestionsPerSecond = 40
	maxNoteAnswersPerSecond   = 40
)

// callerNotes implements proxy.CallerNotes for the gateway's requests, and
// peertransport.CallerNotes for those of other hosts. The notes of a caller are kept by one
// host of this host's failure domain. Hosts whose views of the fleet differ may select
// different ones; the caller then counts as new.
type callerNotes struct {
	ledger    *returning.Ledger
	notes     *returning.Rate
	questions *returning.Rate
	answers   *returning.Rate
	transport noteTransport // nil without peers
	neighbors atomic.Pointer[neighbors]
}

// noteTransport is the part of peertransport.Transport that callerNotes uses.
type noteTransport interface {
	SendNote(to netip.AddrPort, caller uint64, wait time.Duration)
	AskNote(to netip.AddrPort, caller uint64) (answer <-chan bool, cancel func())
}

// neighbors are the known hosts of this host's failure domain, including this host.
type neighbors struct {
	self    netip.AddrPort // for membership
	members []membership.Member
	port    uint16 // of the peer transport
}

func newCallerNotes() *callerNotes {
	n := &callerNotes{
		ledger:    returning.NewLedger(),
		notes:     returning.NewRate(maxNotesPerSecond),
		questions: returning.NewRate(maxNoteQuestionsPerSecond),
		answers:   returning.NewRate(maxNoteAnswersPerSecond),
	}
	n.neighbors.Store(new(neighbors))
	return n
}

// setHosts applies the known hosts. It runs on the control goroutine.
func (n *callerNotes) setHosts(s *membership.Snapshot, port uint16) {
	next := &neighbors{self: s.Self.Address, port: port}
	for i := range s.Members {
		m := &s.Members[i]
		if m.State != membership.Dead && m.FailureDomain == s.Self.FailureDomain {
			next.members = append(next.members, *m)
		}
	}
	n.neighbors.Store(next)
}

// keeper returns the transport address of the host that keeps the notes of a caller, or false
// if it is this host.
func (n *callerNotes) keeper(caller uint64) (netip.AddrPort, bool) {
	hosts := n.neighbors.Load()
	m, ok := rendezvous.First(strconv.FormatUint(caller, 16), hosts.members)
	if !ok || m.Address == hosts.self || n.transport == nil {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(m.Address.Addr(), hosts.port), true
}

// RecordRefusal implements proxy.CallerNotes.
func (n *callerNotes) RecordRefusal(caller uint64, wait time.Duration) {
	if !returning.ValidWait(wait) {
		return
	}
	keeper, remote := n.keeper(caller)
	switch {
	case !remote:
		n.Refused(caller, wait)
	case n.notes.Allow(clock.Now()):
		n.transport.SendNote(keeper, caller, wait)
	}
}

// Ask implements proxy.CallerNotes.
func (n *callerNotes) Ask(caller uint64) (answer <-chan bool, cancel func()) {
	keeper, remote := n.keeper(caller)
	if remote && n.questions.Allow(clock.Now()) {
		return n.transport.AskNote(keeper, caller)
	}
	local := make(chan bool, 1)
	local <- !remote && n.Take(caller)
	return local, func() {}
}

// Accepts implements peertransport.CallerNotes.
func (n *callerNotes) Accepts(from netip.AddrPort) bool {
	hosts := n.neighbors.Load()
	if from.Port() != hosts.port {
		return false
	}
	for i := range hosts.members {
		if hosts.members[i].Address.Addr() == from.Addr() {
			return true
		}
	}
	return false
}

// Refused implements peertransport.CallerNotes.
func (n *callerNotes) Refused(caller uint64, wait time.Duration) {
	n.ledger.Refused(caller, clock.Now().Add(wait))
}

// AllowAnswer implements peertransport.CallerNotes.
func (n *callerNotes) AllowAnswer() bool { return n.answers.Allow(clock.Now()) }

// Take implements peertransport.CallerNotes.
func (n *callerNotes) Take(caller uint64) bool { return n.ledger.Take(clock.Now(), caller) }

// droppedNotes returns the notes, questions and answers that were not sent because of their
// bounds.
func (n *callerNotes) droppedNotes() int64 {
	return n.notes.Dropped() + n.questions.Dropped() + n.answers.Dropped()
}
