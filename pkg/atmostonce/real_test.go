package atmostonce_test

import (
	"net/netip"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// real runs the product's ledgers.
type real struct{ conf atmostonce.Config }

var testConfig = atmostonce.Config{
	Lifetime:       time.Second,
	Retention:      2 * time.Second,
	MaxTickets:     24,
	MaxAnswerBytes: 8,
	MaxKeptBytes:   16,
}

// longConfig outlives a schedule, so that no record is forgotten.
var longConfig = atmostonce.Config{
	Lifetime:       time.Hour,
	Retention:      time.Hour,
	MaxTickets:     scheduleSteps,
	MaxAnswerBytes: 64,
	MaxKeptBytes:   1 << 20,
}

const testDeadline = 2 * time.Second

func address(host int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(host)}), 7400)
}

func (p real) start(f *fleet, host int) member {
	var secret atmostonce.Secret
	for i := range secret {
		secret[i] = byte(f.random.Uint32())
	}
	own := &space{
		sealer: atmostonce.NewSealer(address(host), atmostonce.Incarnation(f.random.Uint64()), secret),
		ledger: atmostonce.New(p.conf, f.clock(host)),
	}
	return &realMember{
		fleet:    f,
		host:     host,
		conf:     p.conf,
		own:      own,
		spaces:   map[atmostonce.Incarnation]*space{own.sealer.Incarnation(): own},
		forwards: make(map[int]forwarded),
	}
}

func (real) key(f *fleet, host int) (string, bool) {
	own := f.hosts[host].member.(*realMember).own
	sequence, err := own.ledger.Issue(f.clock(host))
	if err != nil {
		return "", false
	}
	return own.sealer.Seal(sequence).String(), true
}

// space holds the tickets of one incarnation; moved is set when they were
// handed over to another host.
type space struct {
	sealer *atmostonce.Sealer
	ledger *atmostonce.Ledger
	moved  bool
	to     int
}

// handOver is what a stopping host sends to one life of its successor.
type handOver struct {
	successor atmostonce.Incarnation
	sealer    *atmostonce.Sealer
	snapshot  atmostonce.Snapshot
}

// waiter is an asker: a caller, or a forwarding host.
type waiter struct {
	action int
	from   *message
}

type execution struct {
	ledger   *atmostonce.Ledger
	sequence uint64
	action   int
	since    time.Duration
	sending  bool
	waiters  []waiter
}

// forwarded is a request that waits for its issuer.
type forwarded struct {
	waiter waiter
	since  time.Duration
}

type realMember struct {
	fleet      *fleet
	host       int
	conf       atmostonce.Config
	own        *space
	spaces     map[atmostonce.Incarnation]*space
	executions []*execution
	forwards   map[int]forwarded
	nextID     int
}

func (r *realMember) receive(m message) {
	switch m.kind {
	case askMessage:
		r.ask(m, waiter{action: m.action})
	case forwardMessage:
		r.ask(m, waiter{action: m.action, from: &m})
	case replyMessage:
		if fw, ok := r.forwards[m.forward]; ok {
			delete(r.forwards, m.forward)
			r.reply(fw.waiter, m.answer)
		}
	case adoptMessage:
		r.adopt(m.handOver)
	case ranMessage:
		r.ran(m)
	case refusedMessage:
		r.refused(m)
	}
}

func (r *realMember) ask(m message, w waiter) {
	ticket, err := atmostonce.ParseTicket(m.key)
	if err != nil {
		r.reply(w, answeredNotRun)
		return
	}
	sp := r.spaces[ticket.Incarnation]
	issuer := int(ticket.Issuer.Addr().As4()[3])
	switch {
	case sp != nil && sp.moved:
		r.forward(m, sp.to, w)
	case sp != nil && sp.sealer.Owner(ticket) == atmostonce.Local:
		r.asked(sp.ledger, ticket.Sequence, m, w)
	case sp != nil:
		r.reply(w, answeredNotRun)
	case issuer == r.host || m.kind == forwardMessage:
		r.reply(w, answeredUnknown)
	default:
		r.forward(m, issuer, w)
	}
}

func (r *realMember) forward(m message, to int, w waiter) {
	r.nextID++
	r.forwards[r.nextID] = forwarded{w, r.fleet.now}
	r.fleet.post(message{kind: forwardMessage, from: r.host, to: to, key: m.key, action: m.action, forward: r.nextID})
}

// handOver freezes the ledger and sends it to the present life of a successor.
func (r *realMember) handOver(to int) {
	snapshot, err := r.own.ledger.Freeze(r.fleet.clock(r.host))
	if err != nil || to == r.host {
		return
	}
	r.own.moved, r.own.to = true, to
	life := r.fleet.hosts[to].member.(*realMember).own.sealer.Incarnation()
	r.fleet.post(message{kind: adoptMessage, from: r.host, to: to, handOver: &handOver{life, r.own.sealer, snapshot}})
}

func (r *realMember) adopt(h *handOver) {
	source := h.sealer.Incarnation()
	if h.successor != r.own.sealer.Incarnation() || r.spaces[source] != nil {
		return
	}
	ledger, err := atmostonce.Adopt(r.conf, r.fleet.clock(r.host), h.snapshot)
	r.check(err)
	r.spaces[source] = &space{sealer: h.sealer, ledger: ledger}
}

func (r *realMember) asked(l *atmostonce.Ledger, sequence uint64, m message, w waiter) {
	now := r.fleet.clock(r.host)
	d, err := l.Submit(now, atmostonce.Submission{
		Sequence: sequence,
		Digest:   atmostonce.DigestOf("POST", m.key, nil),
		Deadline: now.Add(testDeadline),
	})
	r.check(err)
	switch d.Verdict {
	case atmostonce.Execute:
		r.executions = append(r.executions, &execution{ledger: l, sequence: sequence, action: m.action, since: r.fleet.now, waiters: []waiter{w}})
	case atmostonce.Join:
		if x := r.find(m.action); x != nil {
			x.waiters = append(x.waiters, w)
		}
	case atmostonce.Final:
		r.reply(w, outcomeOf(d.Result))
	}
}

// send starts the attempt of one admitted execution.
func (r *realMember) send(pick int) {
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
	r.fleet.post(message{kind: runMessage, from: r.host, key: x.key(r.fleet), action: x.action})
}

// ran ends an execution. On each fifth action the answer is broken.
func (r *realMember) ran(m message) {
	x := r.find(m.action)
	switch {
	case x == nil:
	case m.action%5 == 0 && !r.fleet.patient:
		r.finish(x, atmostonce.Failed(errkind.New(errkind.UpstreamBroken, "")))
	default:
		r.finish(x, atmostonce.Ran(&atmostonce.Answer{Status: 200, Body: make([]byte, m.action%10)}))
	}
}

// refused tries again, or gives up on each third action.
func (r *realMember) refused(m message) {
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

// timeout ends one wait: for an upstream, or for the issuer.
func (r *realMember) timeout(pick int) {
	if n := len(r.executions); pick%2 == 0 && n > 0 {
		if x := r.executions[pick%n]; r.waited(x.since) {
			r.timeoutExecution(x)
		}
		return
	}
	for id := range r.nextID + 1 {
		if fw, ok := r.forwards[id]; ok && r.waited(fw.since) {
			delete(r.forwards, id)
			r.reply(fw.waiter, answeredUnknown)
			return
		}
	}
}

// waited reports whether a wait may end. Where safety is tested it may end at
// any moment; where shares are measured it ends with the deadline.
func (r *realMember) waited(since time.Duration) bool {
	return !r.fleet.patient || r.fleet.now-since >= testDeadline
}

// timeoutExecution ends the askers' wait. The attempt goes on, like one that
// was paused: it may ask to send, and its answer may come late.
func (r *realMember) timeoutExecution(x *execution) {
	result, err := x.ledger.Withdraw(r.fleet.clock(r.host), x.sequence)
	r.check(err)
	r.replyAll(x, result)
}

func (r *realMember) replyAll(x *execution, result atmostonce.Result) {
	for _, w := range x.waiters {
		r.reply(w, outcomeOf(result))
	}
	x.waiters = nil
}

func (r *realMember) finish(x *execution, result atmostonce.Result) {
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

func (r *realMember) reply(w waiter, o outcome) {
	if w.from == nil {
		r.fleet.answer(w.action, o)
		return
	}
	r.fleet.post(message{kind: replyMessage, from: r.host, to: w.from.from, epoch: w.from.epoch, forward: w.from.forward, answer: o})
}

func (r *realMember) find(action int) *execution {
	for _, x := range r.executions {
		if x.action == action {
			return x
		}
	}
	return nil
}

func (r *realMember) check(err error) {
	if err != nil {
		r.fleet.breach = err.Error()
	}
}

func (x *execution) key(f *fleet) string { return f.actions[x.action].key }

func outcomeOf(r atmostonce.Result) outcome { return outcome(r.Outcome()) }
