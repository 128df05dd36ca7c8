package execution

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	executionv1 "github.com/dapplespindle/dapplespindle/api/execution/v1"
	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// freezePoll is how often a stopping host looks whether its executions ended.
const freezePoll = 5 * time.Millisecond

// handOverBytes is the room for slots with their answers in one message, in
// bytes. The rest of the message's bound is for slots without an answer.
const handOverBytes = peer.MaxMessageBytes / 2

// StopIssuing ends the offer of tickets. Requests with a ticket still execute.
func (s *Service) StopIssuing() {
	s.own.mu.Lock()
	defer s.own.mu.Unlock()
	s.own.ledger.Stop()
}

// HandOver gives this host's tickets to one peer when its executions have
// ended, and tells the others. It works once; it must be called when no more
// callers are accepted. When ctx ends before the freeze nothing has changed.
// After the freeze this process never executes again, and if the successor
// does not confirm nobody else is asked: the tickets may be its own or nobody's.
// Tickets that were adopted here are not handed on.
func (s *Service) HandOver(ctx context.Context, successor netip.AddrPort, others []netip.AddrPort) error {
	s.StopIssuing()
	client, err := s.client(successor)
	if err != nil {
		return err
	}
	identity, err := client.Identify(ctx, &executionv1.IdentifyRequest{})
	if err != nil {
		return errors.Wrap(err, "identify the successor")
	}
	snapshot, err := s.freeze(ctx, successor)
	if err != nil {
		return err
	}
	n := int64(len(snapshot.Slots))
	if _, err := client.Adopt(ctx, encodeSnapshot(identity.GetIncarnation(), s.own.sealer, snapshot)); err != nil {
		s.emit(event.Event{Code: event.HandOverUnknown, Detail: err.Error(), Value: n})
		return errors.Wrap(err, "adopt")
	}
	s.emit(event.Event{Code: event.TicketsHandedOver, Detail: successor.String(), Value: n})
	s.announce(ctx, successor, others)
	return nil
}

// freeze waits for the executions, ends the ledger, and forwards from then on.
func (s *Service) freeze(ctx context.Context, successor netip.AddrPort) (atmostonce.Snapshot, error) {
	for {
		snapshot, err := s.tryFreeze(successor)
		if !errors.Is(err, atmostonce.ErrRunning) {
			return snapshot, err
		}
		select {
		case <-ctx.Done():
			return snapshot, err
		case <-time.After(freezePoll):
		}
	}
}

func (s *Service) tryFreeze(successor netip.AddrPort) (atmostonce.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.mu.Lock()
	defer s.own.mu.Unlock()
	snapshot, err := s.own.ledger.Freeze(clock.Now())
	if err == nil {
		s.moved[s.own.sealer.Incarnation()] = successor
	}
	return snapshot, err
}

// announce is a courtesy: a host that misses it forwards to the old address
// and answers "unknown".
func (s *Service) announce(ctx context.Context, successor netip.AddrPort, others []netip.AddrPort) {
	m := &executionv1.MovedRequest{Incarnation: uint64(s.own.sealer.Incarnation()), Successor: successor.String()}
	for _, to := range others {
		if to == successor {
			continue
		}
		if client, err := s.client(to); err == nil {
			_, _ = client.Moved(ctx, m)
		}
	}
}

func encodeSnapshot(successor uint64, sealer *atmostonce.Sealer, snapshot atmostonce.Snapshot) *executionv1.AdoptRequest {
	secret := sealer.Secret()
	m := &executionv1.AdoptRequest{
		Successor:   successor,
		Issuer:      sealer.Issuer().String(),
		Incarnation: uint64(sealer.Incarnation()),
		Secret:      secret[:],
		Oldest:      snapshot.Oldest,
		Slots:       make([]*executionv1.Slot, 0, len(snapshot.Slots)),
	}
	room := handOverBytes
	for _, saved := range snapshot.Slots {
		slot := encodeSlot(saved, room)
		room -= proto.Size(slot)
		m.Slots = append(m.Slots, slot)
	}
	return m
}

// encodeSlot leaves out an answer that is over the room; what became of the
// ticket is always told.
func encodeSlot(saved atmostonce.SavedSlot, room int) *executionv1.Slot {
	m := &executionv1.Slot{LeftUs: saved.Remaining.Microseconds()}
	if a := saved.Result.Answer; a != nil && len(a.Body) > room {
		saved.Result = atmostonce.Failed(errkind.New(errkind.AnswerNotKept, "the answer was too large to hand over"))
	}
	if saved.Used {
		m.Digest = saved.Digest[:]
		m.Result = encodeResult(saved.Result)
	}
	return m
}
