package execution

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	executionv1 "github.com/dapplespindle/dapplespindle/api/execution/v1"
	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

const (
	// maxAdopted bounds the ledgers that a process takes over in its life.
	maxAdopted = 8
	// maxMoved bounds the hand-overs that a process remembers.
	maxMoved = 1024
)

var (
	errOtherLife   = errors.New("the hand-over is for another incarnation")
	errAdopted     = errors.New("adopted before")
	errTooMany     = errors.New("too many hand-overs")
	errBadSnapshot = errors.New("malformed hand-over")
)

// Adopt takes over the tickets of a stopping host.
func (v *server) Adopt(_ context.Context, m *executionv1.AdoptRequest) (*executionv1.AdoptResponse, error) {
	if err := v.service.adopt(m); err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &executionv1.AdoptResponse{}, nil
}

// Moved learns where the tickets of a stopping host are executed.
func (v *server) Moved(_ context.Context, m *executionv1.MovedRequest) (*executionv1.MovedResponse, error) {
	to, err := netip.ParseAddrPort(m.GetSuccessor())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	v.service.learnMoved(atmostonce.Incarnation(m.GetIncarnation()), to)
	return &executionv1.MovedResponse{}, nil
}

// learnMoved never overrides what this process executes itself.
func (s *Service) learnMoved(i atmostonce.Incarnation, to netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, mine := s.adopted[i]
	if mine || i == s.own.sealer.Incarnation() || to == s.conf.Address || len(s.moved) >= maxMoved {
		return
	}
	s.moved[i] = to
}

// adopt is bound to this life of the process, and works once for a source: a
// late copy of the hand-over carries an old state.
func (s *Service) adopt(m *executionv1.AdoptRequest) error {
	if m.GetSuccessor() != uint64(s.own.sealer.Incarnation()) {
		return errOtherLife
	}
	sealer, err := decodeSealer(m)
	if err != nil {
		return err
	}
	snapshot, err := decodeSnapshot(m)
	if err != nil {
		return err
	}
	ledger, err := atmostonce.Adopt(s.conf.Ledger, clock.Now(), snapshot)
	if err != nil {
		return err
	}
	if err := s.addAdopted(newSpace(sealer, ledger, s.emit)); err != nil {
		return err
	}
	s.emit(event.Event{Code: event.TicketsAdopted, Detail: m.GetIssuer(), Value: int64(len(snapshot.Slots))})
	return nil
}

func (s *Service) addAdopted(sp *space) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := sp.sealer.Incarnation()
	if _, twice := s.adopted[i]; twice || i == s.own.sealer.Incarnation() {
		return errAdopted
	}
	if len(s.adopted) >= maxAdopted {
		return errTooMany
	}
	s.adopted[i] = sp
	delete(s.moved, i)
	return nil
}

func decodeSealer(m *executionv1.AdoptRequest) (*atmostonce.Sealer, error) {
	issuer, err := netip.ParseAddrPort(m.GetIssuer())
	if err != nil || len(m.GetSecret()) != atmostonce.SecretBytes {
		return nil, errBadSnapshot
	}
	return atmostonce.NewSealer(issuer, atmostonce.Incarnation(m.GetIncarnation()), atmostonce.Secret(m.GetSecret())), nil
}

func decodeSnapshot(m *executionv1.AdoptRequest) (atmostonce.Snapshot, error) {
	snapshot := atmostonce.Snapshot{Oldest: m.GetOldest(), Slots: make([]atmostonce.SavedSlot, 0, len(m.GetSlots()))}
	if snapshot.Oldest+uint64(len(m.GetSlots())) < snapshot.Oldest {
		return snapshot, errBadSnapshot
	}
	for _, slot := range m.GetSlots() {
		saved := atmostonce.SavedSlot{Remaining: time.Duration(slot.GetLeftUs()) * time.Microsecond}
		switch len(slot.GetDigest()) {
		case 0:
		case len(saved.Digest):
			saved.Used = true
			saved.Digest = atmostonce.Digest(slot.GetDigest())
			saved.Result = resultFrom(slot.GetResult())
		default:
			return snapshot, errBadSnapshot
		}
		snapshot.Slots = append(snapshot.Slots, saved)
	}
	return snapshot, nil
}
