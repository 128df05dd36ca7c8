package execution_test

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/execution"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// host is an entry host whose upstream counts the requests that ran.
type host struct {
	*execution.Service
	address netip.AddrPort
	server  *peer.Server
	runs    *atomic.Int64
	block   chan struct{}
}

func freeAddress(t testing.TB) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = ln.Close() }()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func newHost(t testing.TB, runs *atomic.Int64) *host {
	pool := peer.NewPool(nil)
	t.Cleanup(pool.Close)
	h := &host{address: freeAddress(t), runs: runs}
	var err error
	h.Service, err = execution.New(execution.Config{
		Address: h.address,
		Ledger:  atmostonce.DefaultConfig(),
		Local:   func(ctx context.Context, _ *httpwire.Request) *httpwire.Response { return h.run(ctx) },
		Pool:    pool,
		Events:  event.Discard{},
	}, rand.Reader)
	is.New(t).NoErr(err)
	h.server = peer.NewServer(h.address.String(), nil)
	h.Register(h.server)
	is.New(t).NoErr(h.server.Start())
	t.Cleanup(h.server.Stop)
	return h
}

func (h *host) run(ctx context.Context) *httpwire.Response {
	if h.block != nil {
		<-h.block
	}
	if err := execution.BeforeSend(ctx); err != nil {
		return &httpwire.Response{Status: 500, Header: http.Header{
			"Dapplespindle-Outcome": {err.Kind.Answer().Outcome.String()}, "Dapplespindle-Error": {err.Kind.String()}}}
	}
	h.runs.Add(1)
	return &httpwire.Response{Status: 201, Header: http.Header{"Dapplespindle-Outcome": {"ran"}}, Body: []byte("sold")}
}

func (h *host) send(ticket, body string) *httpwire.Response {
	req := &httpwire.Request{Method: "POST", Target: "/sales", Path: "/sales", Header: http.Header{}, Body: []byte(body)}
	if ticket != "" {
		req.Header[execution.HeaderKey] = []string{ticket}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return h.Execute(ctx, req, nil, h.run)
}

func ticketOf(r *httpwire.Response) string { return r.Header.Get(execution.HeaderTicket) }

func kindOf(r *httpwire.Response) string { return r.Header.Get("Dapplespindle-Error") }

func TestRepeatsThroughManyHostsRunOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	issuer, other := newHost(t, &runs), newHost(t, &runs)
	required := issuer.send("", "lot 7")
	is.Equal(required.Status, http.StatusPreconditionRequired)
	ticket := ticketOf(required)
	issuer.block = make(chan struct{})
	var wait sync.WaitGroup
	for i := range 20 {
		wait.Go(func() {
			h := []*host{issuer, other}[i%2]
			resp := h.send(ticket, "lot 7")
			is.Equal(resp.Status, 201)
			is.Equal(string(resp.Body), "sold")
			is.True(ticketOf(resp) != "")
		})
	}
	close(issuer.block)
	wait.Wait()
	is.Equal(runs.Load(), int64(1))
	is.Equal(kindOf(other.send(ticket, "lot 8")), errkind.TicketMismatch.String())
	is.Equal(kindOf(other.send(ticket+"A", "lot 7")), errkind.TicketRequired.String())
}

func TestUnreachableIssuer(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	issuer, other := newHost(t, &runs), newHost(t, &runs)
	ticket := ticketOf(issuer.send("", ""))
	issuer.server.Stop()
	resp := other.send(ticket, "")
	is.Equal(kindOf(resp), errkind.IssuerUnreachable.String())
	is.Equal(resp.Header.Get("Dapplespindle-Outcome"), "unknown")
	is.Equal(runs.Load(), int64(0))
}

func TestHandOver(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	old, successor, other := newHost(t, &runs), newHost(t, &runs), newHost(t, &runs)
	used, fresh := ticketOf(old.send("", "")), ticketOf(old.send("", ""))
	is.Equal(old.send(used, "lot 7").Status, 201)
	is.NoErr(old.HandOver(context.Background(), successor.address, []netip.AddrPort{other.address}))
	is.Equal(old.send(used, "lot 7").Status, 201)
	is.Equal(runs.Load(), int64(1))
	old.server.Stop()
	for range 2 {
		is.Equal(other.send(used, "lot 7").Status, 201)
		is.Equal(other.send(fresh, "lot 8").Status, 201)
		is.Equal(successor.send(fresh, "lot 8").Status, 201)
	}
	is.Equal(runs.Load(), int64(2))
	is.True(old.HandOver(context.Background(), other.address, nil) != nil)
}

func TestUndecidedRequest(t *testing.T) {
	var runs atomic.Int64
	ticket := ticketOf(newHost(t, &runs).send("", ""))
	for name, c := range map[string]struct {
		keys []string
		want errkind.Kind
	}{
		"no key":      {nil, errkind.NotReady},
		"own key":     {[]string{"order-7"}, errkind.NotReady},
		"ticket":      {[]string{ticket}, errkind.IssuerNotAsked},
		"two tickets": {[]string{ticket, ticket}, errkind.IssuerNotAsked},
	} {
		t.Run(name, func(t *testing.T) {
			h := http.Header{execution.HeaderKey: c.keys}
			is.New(t).Equal(execution.RefusalBeforeExecute(h, errkind.New(errkind.NotReady, "")).Kind, c.want)
		})
	}
}

// BenchmarkExecute compares a request sent directly with one that has a ticket, sent
// to its issuer and through another host on loopback.
func BenchmarkExecute(b *testing.B) {
	var runs atomic.Int64
	issuer, other := newHost(b, &runs), newHost(b, &runs)
	b.Run("direct", func(b *testing.B) {
		for b.Loop() {
			issuer.run(b.Context())
		}
	})
	b.Run("ticket-required", func(b *testing.B) {
		for b.Loop() {
			issuer.send("", "lot 7")
		}
	})
	for name, h := range map[string]*host{"issuer": issuer, "forwarded": other} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				ticket := ticketOf(issuer.send("", ""))
				b.StartTimer()
				h.send(ticket, "lot 7")
			}
		})
	}
}
