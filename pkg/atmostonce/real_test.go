package atmostonce_test

import (
	"net/netip"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// ledgerProtocol runs the ledgers of this package.
type ledgerProtocol struct{ conf atmostonce.Config }

var testConfig = atmostonce.Config{
	Lifetime:       time.Second,
	Retention:      2 * time.Second,
	MaxTickets:     24,
	MaxAnswerBytes: 8,
	MaxStoredBytes: 16,
}

// longConfig keeps every record for longer than a schedule lasts.
var longConfig = atmostonce.Config{
	Lifetime:       time.Hour,
	Retention:      time.Hour,
	MaxTickets:     scheduleSteps,
	MaxAnswerBytes: 64,
	MaxStoredBytes: 1 << 20,
}

const testDeadline = 2 * time.Second

func address(host int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(host)}), 7400)
}

func (p ledgerProtocol) start(f *fleet, host int) member {
	var secret atmostonce.Secret
	for i := range secret {
		secret[i] = byte(f.random.Uint32())
	}
	own := &incarnationLedger{
		sealer: atmostonce.NewSealer(address(host), atmostonce.Incarnation(f.random.Uint64()), secret),
		ledger: atmostonce.New(p.conf, f.clock(host)),
	}
	return &ledgerMember{
		fleet:    f,
		host:     host,
		conf:     p.conf,
		own:      own,
		ledgers:  map[atmostonce.Incarnation]*incarnationLedger{own.sealer.Incarnation(): own},
		forwards: make(map[int]pendingForward),
	}
}

func (ledgerProtocol) key(f *fleet, host int) (string, bool) {
	own := f.hosts[host].member.(*ledgerMember).own
	sequence, err := own.ledger.Issue(f.clock(host))
	if err != nil {
		return "", false
	}
	return own.sealer.Seal(sequence).String(), true
}

// incarnationLedger holds the tickets of one incarnation. If moved is set, they were
// handed over to the host with the index to.
type incarnationLedger struct {
	sealer *atmostonce.Sealer
	ledger *atmostonce.Ledger
	moved  bool
	to     int
}

// handOver is the message from a host that is shutting down to one incarnation of its
// successor.
type handOver struct {
	successor atmostonce.Incarnation
	sealer    *atmostonce.Sealer
	snapshot  atmostonce.Snapshot
}

// waiter waits for a result: a caller, or a forwarding host if from is set.
type waiter struct {
	action int
	from   *message
}

type execution struct {
	ledger    *atmostonce.Ledger
	sequence  uint64
	action    int
	startedAt time.Duration
	sending   bool
	waiters   []waiter
}

// pendingForward is a forwarded request that waits for the reply of its issuer.
type pendingForward struct {
	waiter    waiter
	startedAt time.Duration
}

type ledgerMember struct {
	fleet      *fleet
	host       int
	conf       atmostonce.Config
	own        *incarnationLedger
	ledgers    map[atmostonce.Incarnation]*incarnationLedger
	executions []*execution
	forwards   map[int]pendingForward
	nextID     int
}

func (r *ledgerMember) receive(m message) {
	switch m.kind {
	case requestMessage:
		r.request(m, waiter{action: m.action})
	case forwardMessage:
		r.request(m, waiter{action: m.action, from: &m})
	case replyMessage:
		if fw, ok := r.forwards[m.forward]; ok {
			delete(r.forwards, m.forward)
			r.reply(fw.waiter, m.result)
		}
	case adoptMessage:
		r.adopt(m.handOver)
	case ranMessage:
		r.ran(m)
	case refusedMessage:
		r.refused(m)
	}
}

func (r *ledgerMember) request(m message, w waiter) {
	ticket, err := atmostonce.ParseTicket(m.key)
	if err != nil {
		r.reply(w, outcomeNotRun)
		return
	}
	held := r.ledgers[ticket.Incarnation]
	issuer := int(ticket.Issuer.Addr().As4()[3])
	switch {
	case held != nil && held.moved:
		r.forward(m, held.to, w)
	case held != nil && held.sealer.Owner(ticket) == atmostonce.Local:
		r.submit(held.ledger, ticket.Sequence, m, w)
	case held != nil:
		r.reply(w, outcomeNotRun)
	case issuer == r.host || m.kind == forwardMessage:
		r.reply(w, outcomeUnknown)
	default:
		r.forward(m, issuer, w)
	}
}

func (r *ledgerMember) forward(m message, to int, w waiter) {
	r.nextID++
	r.forwards[r.nextID] = pendingForward{w, r.fleet.now}
	r.fleet.enqueue(message{kind: forwardMessage, from: r.host, to: to, key: m.key, action: m.action, forward: r.nextID})
}

// handOver freezes the ledger and sends it to the current incarnation of a successor.
func (r *ledgerMember) handOver(to int) {
	snapshot, err := r.own.ledger.Freeze(r.fleet.clock(r.host))
	if err != nil || to == r.host {
		return
	}
	r.own.moved, r.own.to = true, to
	target := r.fleet.hosts[to].member.(*ledgerMember).own.sealer.Incarnation()
	r.fleet.enqueue(message{kind: adoptMessage, from: r.host, to: to, handOver: &handOver{target, r.own.sealer, snapshot}})
}

func (r *ledgerMember) adopt(h *handOver) {
	source := h.sealer.Incarnation()
	if h.successor != r.own.sealer.Incarnation() || r.ledgers[source] != nil {
		return
	}
	ledger, err := atmostonce.Adopt(r.conf, r.fleet.clock(r.host), h.snapshot)
	r.check(err)
	r.ledgers[source] = &incarnationLedger{sealer: h.sealer, ledger: ledger}
}

func (r *ledgerMember) submit(l *atmostonce.Ledger, sequence uint64, m message, w waiter) {
	now := r.fleet.clock(r.host)
	d, err := l.Submit(now, atmostonce.Submission{
		Sequence: sequence,
		Digest:   atmostonce.DigestOf("POST", m.key, nil),
		Deadline: now.Add(testDeadline),
	})
	r.check(err)
	switch d.Verdict {
	case atmostonce.Execute:
		r.executions = append(r.executions, &execution{ledger: l, sequence: sequence, action: m.action, startedAt: r.fleet.now, waiters: []waiter{w}})
	case atmostonce.Join:
		if x := r.find(m.action); x != nil {
			x.waiters = append(x.waiters, w)
		}
	case atmostonce.Final:
		r.reply(w, outcomeOf(d.Result))
	}
}

// send starts the attempt of an admitted execution.
func (r *ledgerMember) send(pick int) {
	if len(r.executions) == 0 {
		return
	}
	x := r.executions[pick%len(r.executions)]
	if x.sending {
		return
	}
	denied, err := x.ledger.Send(r.fleet.clock(r.host), x.sequence)
	r.check(err)
	if denied != nil {
		r.finish(x, atmostonce.Failed(denied))
		return
	}
	x.sending = true
	r.fleet.enqueue(message{kind: runMessage, from: r.host, key: x.key(r.fleet), action: x.action})
}

// ran finishes an execution. The response to every fifth action is incomplete,
// unless outcomes are being measured.
func (r *ledgerMember) ran(m message) {
	x := r.find(m.action)
	switch {
	case x == nil:
	case m.action%5 == 0 && !r.fleet.waitForDeadline:
		r.finish(x, atmostonce.Failed(errkind.New(errkind.UpstreamBroken, "")))
	default:
		r.finish(x, atmostonce.Ran(&atmostonce.Answer{Status: 200, Body: make([]byte, m.action%10)}))
	}
}

// refused makes another attempt possible, or gives up on every third action.
func (r *ledgerMember) refused(m message) {
	x := r.find(m.action)
	if x == nil {
		return
	}
	r.check(x.ledger.NotRun(r.fleet.clock(r.host), x.sequence))
	x.sending = false
	if x.action%3 == 0 {
		r.finish(x, atmostonce.Failed(errkind.New(errkind.UpstreamRefused, "")))
	}
}

// timeout ends one wait, either for an upstream or for an issuer.
func (r *ledgerMember) timeout(pick int) {
	if n := len(r.executions); pick%2 == 0 && n > 0 {
		if x := r.executions[pick%n]; r.mayTimeOut(x.startedAt) {
			r.timeoutExecution(x)
		}
		return
	}
	for id := range r.nextID + 1 {
		if fw, ok := r.forwards[id]; ok && r.mayTimeOut(fw.startedAt) {
			delete(r.forwards, id)
			r.reply(fw.waiter, outcomeUnknown)
			return
		}
	}
}

// mayTimeOut reports whether a wait may end. Tests of safety end it at any moment;
// measurements of outcome shares end it at the deadline.
func (r *ledgerMember) mayTimeOut(since time.Duration) bool {
	return !r.fleet.waitForDeadline || r.fleet.now-since >= testDeadline
}

// timeoutExecution ends the wait of all waiters. The attempt continues, like one
// that was paused: it may still be sent, and its response may arrive late.
func (r *ledgerMember) timeoutExecution(x *execution) {
	result, err := x.ledger.Withdraw(r.fleet.clock(r.host), x.sequence)
	r.check(err)
	r.replyAll(x, result)
}

func (r *ledgerMember) replyAll(x *execution, result atmostonce.Result) {
	for _, w := range x.waiters {
		r.reply(w, outcomeOf(result))
	}
	x.waiters = nil
}

func (r *ledgerMember) finish(x *execution, result atmostonce.Result) {
	result, err := x.ledger.Finish(r.fleet.clock(r.host), x.sequence, result)
	r.check(err)
	for i, e := range r.executions {
		if e == x {
			r.executions = append(r.executions[:i], r.executions[i+1:]...)
			break
		}
	}
	r.replyAll(x, result)
}

func (r *ledgerMember) reply(w waiter, o outcome) {
	if w.from == nil {
		r.fleet.reportOutcome(w.action, o)
		return
	}
	r.fleet.enqueue(message{kind: replyMessage, from: r.host, to: w.from.from, epoch: w.from.epoch, forward: w.from.forward, result: o})
}

func (r *ledgerMember) find(action int) *execution {
	for _, x := range r.executions {
		if x.action == action {
			return x
		}
	}
	return nil
}

func (r *ledgerMember) check(err error) {
	if err != nil {
		r.fleet.violation = err.Error()
	}
}

func (x *execution) key(f *fleet) string { return f.actions[x.action].key }

func outcomeOf(r atmostonce.Result) outcome { return outcome(r.Outcome()) }
