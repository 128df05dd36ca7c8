// Package peertransport moves what hosts tell one another of the store: short messages in
// datagrams, and answers to questions, which may be large, over HTTP. Both use
// one port number, which is the same on all hosts.
//
// It decides nothing; pkg/storesync does. Messages carry no signature: the network
// among the hosts is trusted, and a message counts only from the address that it
// names as its sender.
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
	// maxDatagramBytes fits an Ethernet frame.
	maxDatagramBytes = 1200
	// maxAnswerBytes bounds an answer: everything of a store of some thousand
	// upstreams and a configuration of a megabyte.
	maxAnswerBytes = 16 << 20
	// answerTimeout bounds answering one question.
	answerTimeout = time.Second
	// dialTimeout bounds a connection to a peer, a few milliseconds away.
	dialTimeout = 250 * time.Millisecond

	path       = "/v1/published"
	paramAfter = "after"
)

// Config holds what a Transport needs.
type Config struct {
	// Address is where peers reach this host, over UDP and TCP.
	Address netip.AddrPort
	// OnMessage takes in a message.
	OnMessage func(*storewatch.PeerMessage)
	// ServeFetch answers a question of a peer.
	ServeFetch func(ctx context.Context, after uint64) (*storewatch.PeerMessage, error)
	// OnPoison takes in what a peer tells of ends of upstreams.
	OnPoison func(died []poison.Crash, answered []poison.Fingerprint)
	// OnLimits takes in what a peer tells of the limits of upstreams.
	OnLimits func([]ratelimit.Update)
	// LendTimeSlot uses a turn of this host at an upstream for another host. It reports whether
	// there was one.
	LendTimeSlot func(ratelimit.Server) bool
	// GrantQuota answers a host's question for room of a customer's quota. It may take as long
	// as asking hosts does, and runs on a goroutine of its own.
	GrantQuota func(from netip.AddrPort, q *quotas.Request) quota.Answer
	// Events receives what was refused.
	Events event.Sink
}

// Transport implements storewatch.Peers.
type Transport struct {
	conf   Config
	conn   *net.UDPConn
	server *http.Server
	client *http.Client

	borrowing questions[bool]
	rooms     questions[quota.Answer]
	relays    atomic.Int64 // questions for room that are being answered

	answering chan struct{} // has an element for each answer under way

	mu     sync.Mutex
	packed packedKinds
}

// New returns a transport without sockets.
func New(conf Config) *Transport {
	t := &Transport{
		conf:      conf,
		answering: make(chan struct{}, maxAnswering),
		// A kept connection may have gone silent, and questions are rare.
		client: &http.Client{Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives: true,
		}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, t.serve)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: answerTimeout, WriteTimeout: 2 * answerTimeout}
	return t
}

// Start opens the sockets and serves in the background.
func (t *Transport) Start() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(t.conf.Address))
	if err != nil {
		return errors.Wrap(err, "news socket")
	}
	ln, err := net.Listen("tcp", t.conf.Address.String())
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "news listener"), conn.Close())
	}
	t.conn = conn
	go t.read()
	go func() {
		if err := t.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			t.refused(err)
		}
	}()
	return nil
}

// Stop closes the sockets.
func (t *Transport) Stop() {
	if t.conn == nil {
		return
	}
	_ = t.conn.Close() // it holds nothing that is not sent
	_ = t.server.Close()
}

// Send implements storewatch.Peers. A message that can't be sent is as one that is
// lost.
func (t *Transport) Send(to []netip.AddrPort, told *storewatch.PeerMessage) {
	datagram, err := encodeDatagram(told)
	if err != nil {
		t.refused(err)
		return
	}
	t.send(to, datagram)
}

func (t *Transport) send(to []netip.AddrPort, datagram []byte) {
	for _, a := range to {
		_, _ = t.conn.WriteToUDPAddrPort(datagram, a)
	}
}

// encodeDatagram leaves the changes out if they don't fit.
func encodeDatagram(told *storewatch.PeerMessage) ([]byte, error) {
	datagram, err := json.Marshal(told)
	if err != nil || len(datagram) <= maxDatagramBytes {
		return datagram, err
	}
	short := *told
	short.After, short.Changes = 0, nil
	return json.Marshal(&short)
}

// read takes datagrams until the socket is closed.
func (t *Transport) read() {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as an answer of a peer's machine that the port is closed
		}
		if heard := t.kind(buffer[:n]); heard != nil {
			if err := heard(buffer[1:n], from); err != nil {
				t.refused(err)
			}
			continue
		}
		told, err := decodeDatagram(buffer[:n])
		if err != nil {
			t.refused(err)
			continue
		}
		if sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()); told.From.Address != sender {
			t.refused(errors.Newf("%s says that it is %s", sender, told.From.Address))
			continue
		}
		t.conf.OnMessage(told)
	}
}

// kind returns what takes in a datagram behind its first byte; nil if it tells of the store.
func (t *Transport) kind(datagram []byte) func(text []byte, from netip.AddrPort) error {
	if len(datagram) == 0 {
		return nil
	}
	switch datagram[0] {
	case poisonKind:
		return fromAnyone(t.heardPoison)
	case limitsKind:
		return fromAnyone(t.heardLimits)
	case lentKind:
		return fromAnyone(t.heardLent)
	case borrowKind:
		return t.heardBorrow
	case roomKind:
		return t.heardRoom
	case grantKind:
		return fromAnyone(t.heardGrant)
	default:
		return nil
	}
}

// fromAnyone takes in a datagram whose sender does not matter.
func fromAnyone(heard func([]byte) error) func([]byte, netip.AddrPort) error {
	return func(text []byte, _ netip.AddrPort) error { return heard(text) }
}

func decodeDatagram(datagram []byte) (*storewatch.PeerMessage, error) {
	told := new(storewatch.PeerMessage)
	if err := json.Unmarshal(datagram, told); err != nil {
		return nil, errors.Wrap(err, "message")
	}
	return told, validate(told)
}

// validate checks what another version of the product may write otherwise.
func validate(told *storewatch.PeerMessage) error {
	switch {
	case told.Revision == 0:
		return errors.New("revision: is 0")
	case told.Age < 0:
		return errors.Newf("age: %s is negative", told.Age)
	case told.ReturnedAge < 0:
		return errors.Newf("returned age: %s is negative", told.ReturnedAge)
	case !validUnanswered(told.Unanswered):
		return errors.New("unanswered calls: too many, without a host or with a negative age")
	case told.State != nil && told.State.Configuration != nil:
		return told.State.Configuration.Validate()
	case told.Changes != nil:
		return validateChanges(told.Changes)
	}
	return nil
}

// maxUnanswered bounds the calls of one message; hosts of this version name three.
const maxUnanswered = 16

func validUnanswered(calls []storewatch.FailedCall) bool {
	return len(calls) <= maxUnanswered && !slices.ContainsFunc(calls, func(u storewatch.FailedCall) bool {
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

func (t *Transport) refused(err error) {
	t.conf.Events.Emit(event.Event{Code: event.StorePeerNewsRefused, Detail: err.Error()})
}
