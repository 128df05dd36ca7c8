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

// runFunc sends a request and returns the answer or a refusal.
type runFunc func(ctx context.Context) *httpwire.Response

// space holds the tickets of one incarnation that this process executes.
type space struct {
	sealer *atmostonce.Sealer
	emit   func(event.Event)

	mu     sync.Mutex
	ledger *atmostonce.Ledger
	calls  map[uint64]*call // by sequence number
}

// call is an execution that others may wait for. Result is set before done is closed.
type call struct {
	done   chan struct{}
	result atmostonce.Result
}

func newSpace(sealer *atmostonce.Sealer, ledger *atmostonce.Ledger, emit func(event.Event)) *space {
	return &space{sealer: sealer, ledger: ledger, emit: emit, calls: make(map[uint64]*call)}
}

// issue returns the text of a new ticket.
func (s *space) issue(requestID string) (string, error) {
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

// execute runs the request unless its ticket was used, and returns what is
// known. The response is run's own when this call ran it, and otherwise nil.
func (s *space) execute(ctx context.Context, sequence uint64, req *httpwire.Request, run runFunc) (atmostonce.Result, *httpwire.Response) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return atmostonce.Failed(errkind.New(errkind.Internal, "no deadline")), nil
	}
	ask := atmostonce.Submission{
		Sequence: sequence,
		Digest:   atmostonce.DigestOf(req.Method, req.Target, req.Body),
		Deadline: deadline,
	}
	d, c := s.ask(ask)
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

func (s *space) emitDecision(d atmostonce.Decision, sequence uint64, id string) {
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

// ask decides, and finds or makes the call in the same step.
func (s *space) ask(ask atmostonce.Submission) (atmostonce.Decision, *call) {
	s.mu.Lock()
	d, err := s.ledger.Submit(clock.Now(), ask)
	c := s.calls[ask.Sequence]
	if d.Verdict == atmostonce.Execute {
		c = &call{done: make(chan struct{})}
		s.calls[ask.Sequence] = c
	}
	s.mu.Unlock()
	s.report(err)
	return d, c
}

// run executes on the calling goroutine. A caller that goes away does not
// cancel it, as others may ask for its result.
func (s *space) run(ctx context.Context, sequence uint64, c *call, run runFunc) (atmostonce.Result, *httpwire.Response) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	resp := run(withGate(ctx, &gate{space: s, sequence: sequence}))
	wanted := resultOf(resp)
	got := s.finish(sequence, c, wanted)
	if got.Kind != wanted.Kind {
		return got, nil
	}
	return got, resp
}

func (s *space) finish(sequence uint64, c *call, wanted atmostonce.Result) atmostonce.Result {
	s.mu.Lock()
	result, err := s.ledger.Finish(clock.Now(), sequence, wanted)
	delete(s.calls, sequence)
	s.mu.Unlock()
	c.result = result
	close(c.done)
	s.report(err)
	s.emit(event.Event{Code: event.ExecutionEnded, Reason: result.Outcome().String(), Value: int64(sequence)})
	return result
}

// wait waits for the result of an execution that another call started.
func (c *call) wait(ctx context.Context) atmostonce.Result {
	select {
	case <-c.done:
		return c.result
	case <-ctx.Done():
		return atmostonce.Failed(errkind.New(errkind.DeadlineAfterSend, "still executing"))
	}
}

func (s *space) send(sequence uint64) *errkind.Error {
	s.mu.Lock()
	denied, err := s.ledger.Send(clock.Now(), sequence)
	s.mu.Unlock()
	s.report(err)
	if denied != nil {
		s.emit(event.Event{Code: event.SendDenied, Reason: denied.Kind.String(), Value: int64(sequence)})
	}
	return denied
}

func (s *space) notRun(sequence uint64) {
	s.mu.Lock()
	err := s.ledger.NotRun(clock.Now(), sequence)
	s.mu.Unlock()
	s.report(err)
}

// report emits the event of a broken invariant.
func (s *space) report(err error) {
	var b *atmostonce.Violation
	if errors.As(err, &b) {
		s.emit(event.Event{Code: b.Code, Value: int64(b.Sequence)})
	}
}
