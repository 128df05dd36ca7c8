// Package peertransport exchanges messages between hosts: short messages in datagrams, and
// responses to fetches, which may be large, over HTTP. Both use one port number, which is the same
// on all hosts.
//
// It implements no policy; pkg/storesync does. Messages carry no signature: the network between
// the hosts is trusted. A message about the store is accepted only from the address that it names
// as its sender.
package peertransport

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/quotas"
	"github.com/dapplespindle/dapplespindle/internal/storewatch"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
	"github.com/dapplespindle/dapplespindle/pkg/quota"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
)

const (
	// maxDatagramBytes fits into an Ethernet frame.
	maxDatagramBytes = 1200
	// maxResponseBytes bounds a response: the full state of a store with some thousand
	// upstreams and a configuration of a megabyte.
	maxResponseBytes = 16 << 20
	// serveTimeout bounds serving one fetch.
	serveTimeout = time.Second
	// dialTimeout bounds connecting to a peer, which is a few milliseconds away.
	dialTimeout = 250 * time.Millisecond

	path       = "/v1/published"
	paramAfter = "after"
)

// Config configures a Transport.
type Config struct {
	// Address is the address at which peers reach this host, over UDP and TCP.
	Address netip.AddrPort
	// OnMessage receives a message about the store.
	OnMessage func(*storewatch.PeerMessage)
	// ServeFetch returns the response to a fetch of a peer.
	ServeFetch func(ctx context.Context, after uint64) (*storewatch.PeerMessage, error)
	// OnPoison receives a peer's report of crashes of upstreams and of requests that were
	// answered.
	OnPoison func(died []poison.Crash, answered []poison.Fingerprint)
	// Quarantines answers the question of a host that started: it returns crashes that show which
	// requests are refused, and whether this host knows what its peers refuse. Nil if nobody may
	// ask.
	Quarantines func(from netip.AddrPort) (crashes []poison.Crash, informed bool)
	// OnLimits receives a peer's known limits of upstreams.
	OnLimits func([]ratelimit.Update)
	// LendTimeSlot uses a time slot of this host at an upstream for another host. It reports
	// whether there was one.
	LendTimeSlot func(ratelimit.Server) bool
	// LendRetry withdraws an extra attempt to a service from this host's retry budget for
	// another host, and reports whether it did. It returns an error if the sender is not a
	// known host.
	LendRetry func(from netip.AddrPort, service string) (lent bool, err error)
	// GrantQuota handles another host's request for part of a customer's quota. It may block
	// for as long as requests to other hosts take, and runs on its own goroutine.
	GrantQuota func(from netip.AddrPort, q *quotas.Request) quota.Answer
	// OnAvailability receives a peer's reports of free slots, which are valid by themselves.
	// It returns an error if the peer may not send them; the message is then refused.
	OnAvailability func(from netip.AddrPort, reports []Availability) error
	// CallerNotes handles messages about callers that were refused; nil refuses them.
	CallerNotes CallerNotes
	// Relay serves CONNECT requests; nil rejects them.
	Relay http.Handler
	// Events receives an event for each refused message.
	Events event.Sink
}

// Transport implements storewatch.Peers.
type Transport struct {
	conf   Config
	server *http.Server
	client *http.Client
	// conn and listener are nil before Bind.
	conn     *net.UDPConn
	listener net.Listener

	borrows       pendingRequests[bool]
	retryBorrows  pendingRequests[lentRetry]
	quotaRequests pendingRequests[quota.Answer]
	noteQuestions pendingRequests[bool]

	quarantineQuestions pendingRequests[bool]
	quarantineAnswers   perSecond

	grantsInProgress atomic.Int64 // requests for quota that are being handled

	fetchSlots chan struct{} // holds an element for each fetch being served

	mu     sync.Mutex
	bodies bodyCache
}

// New returns a Transport without sockets.
func New(conf Config) *Transport {
	t := &Transport{
		conf:       conf,
		fetchSlots: make(chan struct{}, maxConcurrentFetches),
		// An idle connection may be dead, and fetches are rare.
		client: &http.Client{Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives: true,
		}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, t.serve)
	t.server = &http.Server{Handler: withRelay(conf.Relay, mux), ReadHeaderTimeout: serveTimeout, WriteTimeout: 2 * serveTimeout}
	return t
}

// withRelay passes CONNECT requests to relay, if there is one, and all others to next.
func withRelay(relay, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect && relay != nil {
			relay.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Bind opens the sockets.
func (t *Transport) Bind() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(t.conf.Address))
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", t.conf.Address.String())
	if err != nil {
		return errors.CombineErrors(err, conn.Close())
	}
	t.conn, t.listener = conn, ln
	return nil
}

// Unbind closes the sockets of a transport that was not started.
func (t *Transport) Unbind() {
	_ = t.conn.Close()
	_ = t.listener.Close()
}

// Start serves in the background. It opens the sockets unless Bind has.
func (t *Transport) Start() error {
	if t.conn == nil {
		if err := t.Bind(); err != nil {
			return errors.Wrap(err, "peer transport")
		}
	}
	go t.read()
	go func() {
		if err := t.server.Serve(t.listener); !errors.Is(err, http.ErrServerClosed) {
			t.reportRefused(err)
		}
	}()
	return nil
}

// Stop closes the sockets.
func (t *Transport) Stop() {
	if t.conn == nil {
		return
	}
	_ = t.conn.Close() // it buffers no unsent data
	_ = t.server.Close()
}

// Send implements storewatch.Peers. A message that can't be sent is treated as lost.
func (t *Transport) Send(to []netip.AddrPort, message *storewatch.PeerMessage) {
	datagram, err := encodeDatagram(message)
	if err != nil {
		t.reportRefused(err)
		return
	}
	t.send(to, datagram)
}

func (t *Transport) send(to []netip.AddrPort, datagram []byte) {
	for _, a := range to {
		_, _ = t.conn.WriteToUDPAddrPort(datagram, a)
	}
}

// encodeDatagram encodes a message, without its changes if they don't fit.
func encodeDatagram(message *storewatch.PeerMessage) ([]byte, error) {
	datagram, err := json.Marshal(message)
	if err != nil || len(datagram) <= maxDatagramBytes {
		return datagram, err
	}
	short := *message
	short.After, short.Changes = 0, nil
	return json.Marshal(&short)
}

// read handles datagrams until the socket is closed.
func (t *Transport) read() {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // for example the ICMP error of a peer whose port is closed
		}
		if handle := t.handler(buffer[:n]); handle != nil {
			if err := handle(buffer[1:n], from); err != nil {
				t.reportRefused(err)
			}
			continue
		}
		message, err := decodeDatagram(buffer[:n])
		if err != nil {
			t.reportRefused(err)
			continue
		}
		if sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()); message.From.Address != sender {
			t.reportRefused(errors.Newf("message from %s names %s as its sender", sender, message.From.Address))
			continue
		}
		t.conf.OnMessage(message)
	}
}

// handler returns the handler of a datagram without its first byte; nil if the datagram is about
// the store.
func (t *Transport) handler(datagram []byte) func(text []byte, from netip.AddrPort) error {
	if len(datagram) == 0 {
		return nil
	}
	switch datagram[0] {
	case poisonKind:
		return t.receivePoison
	case limitsKind:
		return ignoreSender(t.receiveLimits)
	case lentKind:
		return ignoreSender(t.receiveLent)
	case borrowKind:
		return t.receiveBorrow
	case borrowRetryKind:
		return t.receiveBorrowRetry
	case lentRetryKind:
		return t.receiveLentRetry
	case quotaKind:
		return t.receiveQuotaRequest
	case grantKind:
		return ignoreSender(t.receiveGrant)
	case availabilityKind:
		return t.receiveAvailability
	case noteKind:
		return t.fromNeighbor(t.receiveNote)
	case noteQuestionKind:
		return t.fromNeighbor(t.receiveNoteQuestion)
	case noteAnswerKind:
		return t.fromNeighbor(t.receiveNoteAnswer)
	default:
		return nil
	}
}

// ignoreSender returns a handler for datagrams whose sender does not matter.
func ignoreSender(handle func([]byte) error) func([]byte, netip.AddrPort) error {
	return func(text []byte, _ netip.AddrPort) error { return handle(text) }
}

func decodeDatagram(datagram []byte) (*storewatch.PeerMessage, error) {
	message := new(storewatch.PeerMessage)
	if err := json.Unmarshal(datagram, message); err != nil {
		return nil, errors.Wrap(err, "message")
	}
	return message, validate(message)
}

// validate checks a message, which another version of the product may have written differently.
func validate(message *storewatch.PeerMessage) error {
	switch {
	case message.Revision == 0:
		return errors.New("revision: is 0")
	case message.Age < 0:
		return errors.Newf("age: %s is negative", message.Age)
	case message.ReturnedAge < 0:
		return errors.Newf("returned age: %s is negative", message.ReturnedAge)
	case !validFailedCalls(message.Unanswered):
		return errors.New("unanswered calls: too many, without a host or with a negative age")
	case message.State != nil && message.State.Configuration != nil:
		return message.State.Configuration.Validate()
	case message.Changes != nil:
		return validateChanges(message.Changes)
	}
	return nil
}

// maxFailedCalls bounds the failed calls in one message; hosts of this version send at most five.
const maxFailedCalls = 16

func validFailedCalls(calls []storewatch.FailedCall) bool {
	return len(calls) <= maxFailedCalls && !slices.ContainsFunc(calls, func(u storewatch.FailedCall) bool {
		return !u.Host.IsValid() || u.Age < 0
	})
}

func validateChanges(c *storewatch.Changes) error {
	for _, next := range c.Configurations {
		if next == nil {
			return errors.New("configuration: is missing")
		}
		if err := next.Validate(); err != nil {
			return err
		}
	}
	return nil
}

func (t *Transport) reportRefused(err error) {
	t.conf.Events.Emit(event.Event{Code: event.StorePeerNewsRefused, Detail: err.Error()})
}
