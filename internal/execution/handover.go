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

// freezePollInterval is how often HandOver checks whether all executions have
// finished.
const freezePollInterval = 5 * time.Millisecond

// maxSlotBytes is the size in one message, in bytes, up to which slots include the
// stored responses. The rest of the message is reserved for slots without a response.
const maxSlotBytes = peer.MaxMessageBytes / 2

// StopIssuing stops issuing tickets. Requests that already have one still execute.
func (s *Service) StopIssuing() {
	s.own.mu.Lock()
	defer s.own.mu.Unlock()
	s.own.ledger.Stop()
}

// HandOver waits until this host's executions have finished, transfers its tickets to
// one peer and notifies the others. It succeeds at most once, and must be called
// after the host has stopped accepting requests from callers. If ctx ends before the
// ledger is frozen, only the issue of tickets has stopped. After the freeze this
// process executes no ticket of its own again. If the successor does not confirm the
// transfer, no other peer is tried, because the successor may have adopted the
// tickets. Tickets that this host adopted are not handed over again.
func (s *Service) HandOver(ctx context.Context, successor netip.AddrPort, others []netip.AddrPort) error {
	s.StopIssuing()
	client, err := s.client(successor)
	if err != nil {
		return err
	}
	identity, err := client.Identify(ctx, &executionv1.IdentifyRequest{})
	if err != nil {
		return errors.Wrap(err, "identify successor")
	}
	snapshot, err := s.freeze(ctx, successor)
	if err != nil {
		return err
	}
	n := int64(len(snapshot.Slots))
	if _, err := client.Adopt(ctx, encodeSnapshot(identity.GetIncarnation(), s.own.sealer, snapshot)); err != nil {
		s.emit(event.Event{Code: event.HandOverUnknown, Detail: err.Error(), Value: n})
		return errors.Wrap(err, "hand over tickets")
	}
	s.emit(event.Event{Code: event.TicketsHandedOver, Detail: successor.String(), Value: n})
	s.announceSuccessor(ctx, successor, others)
	return nil
}

// freeze waits until all executions have finished and freezes the ledger. From then
// on, requests are forwarded to the successor.
func (s *Service) freeze(ctx context.Context, successor netip.AddrPort) (atmostonce.Snapshot, error) {
	for {
		snapshot, err := s.tryFreeze(successor)
		if !errors.Is(err, atmostonce.ErrRunning) {
			return snapshot, err
		}
		select {
		case <-ctx.Done():
			return snapshot, err
		case <-time.After(freezePollInterval):
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
		s.successors[s.own.sealer.Incarnation()] = successor
	}
	return snapshot, err
}

// announceSuccessor tells the other peers where the tickets are executed. It is best
// effort: a host that misses the announcement forwards to the old address and reports
// "unknown".
func (s *Service) announceSuccessor(ctx context.Context, successor netip.AddrPort, others []netip.AddrPort) {
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
	remaining := maxSlotBytes
	for _, saved := range snapshot.Slots {
		slot := encodeSlot(saved, remaining)
		remaining -= proto.Size(slot)
		m.Slots = append(m.Slots, slot)
	}
	return m
}

// encodeSlot omits a response whose body exceeds the remaining size. The state of the
// ticket is always included.
func encodeSlot(saved atmostonce.SavedSlot, remaining int) *executionv1.Slot {
	m := &executionv1.Slot{LeftUs: saved.Remaining.Microseconds()}
	if a := saved.Result.Answer; a != nil && len(a.Body) > remaining {
		saved.Result = atmostonce.Failed(errkind.New(errkind.AnswerNotKept, "the answer was too large to hand over"))
	}
	if saved.Used {
		m.Digest = saved.Digest[:]
		m.Result = encodeResult(saved.Result)
	}
	return m
}
