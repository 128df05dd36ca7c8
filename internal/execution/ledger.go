package execution

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// runFunc sends a request to an upstream and returns its response or an error response.
type runFunc func(ctx context.Context) *httpwire.Response

// ticketLedger is the ledger of one incarnation whose tickets this process executes:
// its own, or one that it adopted.
type ticketLedger struct {
	sealer *atmostonce.Sealer
	emit   func(event.Event)

	mu     sync.Mutex
	ledger *atmostonce.Ledger
	calls  map[uint64]*call // by sequence number
}

// call is a running execution that repeated requests wait for. Result is set before
// done is closed.
type call struct {
	done   chan struct{}
	result atmostonce.Result
}

func newTicketLedger(sealer *atmostonce.Sealer, ledger *atmostonce.Ledger, emit func(event.Event)) *ticketLedger {
	return &ticketLedger{sealer: sealer, ledger: ledger, emit: emit, calls: make(map[uint64]*call)}
}

// issue returns a new ticket, encoded.
func (s *ticketLedger) issue(requestID string) (string, error) {
	s.mu.Lock()
	sequence, err := s.ledger.Issue(clock.Now())
	s.mu.Unlock()
	if err != nil {
		s.emit(event.Event{Code: event.TicketRefused, Request: requestID, Reason: err.Error()})
		return "", err
	}
	s.emit(event.Event{Code: event.TicketIssued, Request: requestID, Value: int64(sequence)})
	return s.sealer.Seal(sequence).String(), nil
}

// execute runs the request unless its ticket was already used, and returns the
// result. The response is that of run if this call ran the request, and nil
// otherwise.
func (s *ticketLedger) execute(ctx context.Context, sequence uint64, req *httpwire.Request, run runFunc) (atmostonce.Result, *httpwire.Response) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return atmostonce.Failed(errkind.New(errkind.Internal, "no deadline")), nil
	}
	ask := atmostonce.Submission{
		Sequence: sequence,
		Digest:   atmostonce.DigestOf(req.Method, req.Target, req.Body),
		Deadline: deadline,
	}
	d, c := s.decide(ask)
	s.emitDecision(d, sequence, req.Header.Get(headerRequestID))
	switch d.Verdict {
	case atmostonce.Execute:
		return s.run(ctx, sequence, c, run)
	case atmostonce.Join:
		return c.wait(ctx), nil
	default:
		return d.Result, nil
	}
}

func (s *ticketLedger) emitDecision(d atmostonce.Decision, sequence uint64, id string) {
	e := event.Event{Request: id, Value: int64(sequence)}
	switch {
	case d.Verdict == atmostonce.Execute:
		e.Code = event.ExecutionStarted
	case d.Verdict == atmostonce.Join:
		e.Code = event.ExecutionJoined
	case d.Replayed:
		e.Code = event.ExecutionReplayed
		e.Reason = d.Result.Outcome().String()
	default:
		e.Code = event.TicketDenied
		e.Reason = d.Result.Kind.String()
	}
	s.emit(e)
}

// decide asks the ledger for a decision, and looks up or creates the call under the same
// lock.
func (s *ticketLedger) decide(ask atmostonce.Submission) (atmostonce.Decision, *call) {
	s.mu.Lock()
	d, err := s.ledger.Submit(clock.Now(), ask)
	c := s.calls[ask.Sequence]
	if d.Verdict == atmostonce.Execute {
		c = &call{done: make(chan struct{})}
		s.calls[ask.Sequence] = c
	}
	s.mu.Unlock()
	s.emitViolation(err)
	return d, c
}

// run executes the request on the calling goroutine. It is not cancelled when the
// caller disconnects, because repeated requests may need its result.
func (s *ticketLedger) run(ctx context.Context, sequence uint64, c *call, run runFunc) (atmostonce.Result, *httpwire.Response) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	resp := run(withSendGuard(ctx, &sendGuard{ledger: s, sequence: sequence}))
	reported := resultFromResponse(resp)
	recorded := s.finish(sequence, c, reported)
	if recorded.Kind != reported.Kind {
		return recorded, nil
	}
	return recorded, resp
}

func (s *ticketLedger) finish(sequence uint64, c *call, reported atmostonce.Result) atmostonce.Result {
	s.mu.Lock()
	result, err := s.ledger.Finish(clock.Now(), sequence, reported)
	delete(s.calls, sequence)
	s.mu.Unlock()
	c.result = result
	close(c.done)
	s.emitViolation(err)
	s.emit(event.Event{Code: event.ExecutionEnded, Reason: result.Outcome().String(), Value: int64(sequence)})
	return result
}

// wait waits for the result of an execution that another request started.
func (c *call) wait(ctx context.Context) atmostonce.Result {
	select {
	case <-c.done:
		return c.result
	case <-ctx.Done():
		return atmostonce.Failed(errkind.New(errkind.DeadlineAfterSend, "still executing"))
	}
}

func (s *ticketLedger) send(sequence uint64) *errkind.Error {
	s.mu.Lock()
	denied, err := s.ledger.Send(clock.Now(), sequence)
	s.mu.Unlock()
	s.emitViolation(err)
	if denied != nil {
		s.emit(event.Event{Code: event.SendDenied, Reason: denied.Kind.String(), Value: int64(sequence)})
	}
	return denied
}

func (s *ticketLedger) notRun(sequence uint64) {
	s.mu.Lock()
	err := s.ledger.NotRun(clock.Now(), sequence)
	s.mu.Unlock()
	s.emitViolation(err)
}

// emitViolation emits the event of a violated invariant.
func (s *ticketLedger) emitViolation(err error) {
	var b *atmostonce.Violation
	if errors.As(err, &b) {
		s.emit(event.Event{Code: b.Code, Value: int64(b.Sequence)})
	}
}
