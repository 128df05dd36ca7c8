package peertransport

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpget"
	"github.com/dapplespindle/dapplespindle/internal/storewatch"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/discovery"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
	"github.com/dapplespindle/dapplespindle/pkg/storesync"
	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

// host is a transport with what it heard and refused.
type host struct {
	*Transport
	address netip.AddrPort
	heard   chan *storewatch.PeerMessage
	mu      sync.Mutex
	events  []event.Event
	told    *storewatch.PeerMessage // its answer; nil knows nothing
	poison  chan poisonHeard
	limits  chan []ratelimit.Update
	book    *ratelimit.Registry
}

// poisonHeard is one message on ends of upstreams.
type poisonHeard struct {
	died     []poison.Crash
	answered []poison.Fingerprint
}

func (h *host) Emit(e event.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

func (h *host) refusals() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.events)
}

// freeAddress returns an address whose port is free over UDP and TCP.
func freeAddress(t *testing.T) netip.AddrPort {
	for range 50 {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
		ln, err := net.Listen("tcp", address.String())
		_ = conn.Close()
		if err == nil {
			_ = ln.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

func begin(t *testing.T) *host {
	address := freeAddress(t)
	h := &host{address: address, heard: make(chan *storewatch.PeerMessage, 8), poison: make(chan poisonHeard, 8),
		limits: make(chan []ratelimit.Update, 8), book: ratelimit.NewRegistry(timeslot.Single())}
	h.Transport = New(Config{
		Address:   address,
		OnMessage: func(told *storewatch.PeerMessage) { h.heard <- told },
		ServeFetch: func(context.Context, uint64) (*storewatch.PeerMessage, error) {
			if h.told == nil {
				return nil, storewatch.ErrNoState
			}
			return h.told, nil
		},
		Events: h,

		OnLimits:     func(told []ratelimit.Update) { h.limits <- told },
		LendTimeSlot: func(s ratelimit.Server) bool { return h.book.Lend(time.Now(), s) },
		OnPoison: func(died []poison.Crash, answered []poison.Fingerprint) {
			h.poison <- poisonHeard{died, answered}
		},
	})
	if err := h.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Stop)
	return h
}

func (h *host) message(upstreams int) *storewatch.PeerMessage {
	out := &storewatch.PeerMessage{
		From:     storesync.Host{Address: h.address, FailureDomain: "a"},
		Revision: 7,
		Age:      40 * time.Millisecond,
		After:    5,
		Changes:  &storewatch.Changes{Revision: 7},
	}
	for i := range upstreams {
		u := &discovery.Upstream{ID: fmt.Sprint("i-", i), Service: "ledger", Address: "10.1.2.3:80", Slots: 3}
		out.Changes.Events = append(out.Changes.Events, storewatch.Event{Upstream: u, Revision: 6})
	}
	return out
}

func (h *host) hears(t *testing.T) *storewatch.PeerMessage {
	t.Helper()
	select {
	case told := <-h.heard:
		return told
	case <-time.After(10 * time.Second):
		t.Fatal("heard nothing")
		return nil
	}
}

func TestTellCarriesChangesThatFit(t *testing.T) {
	is := is.New(t)
	a, b := begin(t), begin(t)
	a.Send([]netip.AddrPort{b.address}, a.message(2))
	got := b.hears(t)
	is.Equal(got, a.message(2))
	a.Send([]netip.AddrPort{b.address}, a.message(200))
	got = b.hears(t)
	is.Equal(got.Changes, nil)
	is.Equal(got.Revision, uint64(7))
}

func TestTellCarriesUnansweredCalls(t *testing.T) {
	is := is.New(t)
	a, b := begin(t), begin(t)
	told := a.message(0)
	told.Unanswered = []storewatch.FailedCall{{Host: b.address, Age: time.Second}, {Host: a.address}}
	a.Send([]netip.AddrPort{b.address}, told)
	is.Equal(b.hears(t), told)
}

func TestRefusesWhatIsNoMessage(t *testing.T) {
	is := is.New(t)
	a, b := begin(t), begin(t)
	forged := a.message(0)
	forged.From.Address = netip.MustParseAddrPort("10.9.9.9:7200")
	empty := a.message(0)
	empty.Revision = 0
	early, nameless, many := a.message(0), a.message(0), a.message(0)
	early.Unanswered = []storewatch.FailedCall{{Host: a.address, Age: -1}}
	nameless.Unanswered = []storewatch.FailedCall{{}}
	many.Unanswered = slices.Repeat([]storewatch.FailedCall{{Host: a.address}}, maxUnanswered+1)
	for _, told := range []*storewatch.PeerMessage{forged, empty, early, nameless, many} {
		a.Send([]netip.AddrPort{b.address}, told)
	}
	_, err := a.conn.WriteToUDPAddrPort([]byte("{"), b.address)
	is.NoErr(err)
	a.Send([]netip.AddrPort{b.address}, a.message(1))
	is.Equal(len(b.hears(t).Changes.Events), 1)
	is.Equal(b.refusals(), 6)
}

// TestAsk: the age of an answer is that of the moment, also when its body was
// encoded for another peer before.
func TestAsk(t *testing.T) {
	is := is.New(t)
	a, b := begin(t), begin(t)
	_, err := a.Fetch(t.Context(), b.address, 0)
	status := new(httpget.StatusError)
	is.True(errors.As(err, &status))
	is.Equal(status.Code, http.StatusServiceUnavailable)
	told := b.message(0)
	told.Changes, told.After = nil, 0
	told.ReturnedAge = time.Second
	told.State = &storewatch.State{Revision: 7, Configuration: &config.Configuration{Version: 3,
		Callers: &config.CallerLimits{HeadBytes: 1, BodyBytes: 2, HeadTimeout: time.Second, IdleTimeout: time.Minute}}}
	b.told = told
	for _, age := range []time.Duration{40 * time.Millisecond, 900 * time.Millisecond} {
		told.Age = age
		got, err := a.Fetch(t.Context(), b.address, 0)
		is.NoErr(err)
		is.True(got.Age >= age)
		is.True(got.ReturnedAge == time.Second)
		is.Equal(got.State, told.State)
	}
}

// TestEverythingIsEncodedOnce, whatever the peers that ask know already.
func TestEverythingIsEncodedOnce(t *testing.T) {
	is := is.New(t)
	h := begin(t)
	told := h.message(0)
	told.Changes, told.State = nil, &storewatch.State{Revision: 7}
	first, err := h.pack(3, told)
	is.NoErr(err)
	changes, err := h.pack(5, h.message(1))
	is.NoErr(err)
	is.True(string(changes) != string(first))
	again, err := h.pack(4, told)
	is.NoErr(err)
	is.True(&again[0] == &first[0])
	newer := *told
	newer.Revision = 8
	other, err := h.pack(4, &newer)
	is.NoErr(err)
	is.True(string(other) != string(first))
}

func TestAnswerThatIsInvalidIsRefused(t *testing.T) {
	is := is.New(t)
	a, b := begin(t), begin(t)
	b.told = b.message(0)
	b.told.Changes.Configurations = []*config.Configuration{{}} // version 0
	_, err := a.Fetch(t.Context(), b.address, 5)
	is.True(err != nil)
}

// FuzzDatagram gives the decoder what a peer of another version, or a stranger,
// may send.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte(`{"From":{"Address":"10.0.0.1:7200"},"Revision":3,"Age":5}`))
	f.Add([]byte(`{"Changes":{"Events":[{"Upstream":null}],"Configurations":[null]},"Revision":3}`))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		told, err := decodeDatagram(datagram)
		if err != nil {
			return
		}
		if told.Revision == 0 || told.Age < 0 {
			t.Fatal("took a message that says nothing")
		}
	})
}

// TestDeathsAreTold: ends of upstreams arrive at their time, in as many messages as it
// takes, and what makes no sense is refused.
func TestDeathsAreTold(t *testing.T) {
	is := is.New(t)
	a, b := begin(t), begin(t)
	now := time.Now()
	var deaths []poison.Crash
	for i := range DeathsPerMessage + 1 {
		deaths = append(deaths, poison.Crash{
			Request:  poison.FingerprintOf("GET", "shop", fmt.Sprint(i), nil, "caller"),
			Upstream: 1<<64 - 1 - uint64(i), Host: 1<<64 - 1,
			SentAt: now.Add(-2 * time.Second), EndedAt: now.Add(-time.Second),
		})
	}
	to := []netip.AddrPort{b.address}
	a.SendDeaths(to, deaths)
	for range 2 {
		for _, got := range (<-b.poison).died {
			at := slices.IndexFunc(deaths, func(d poison.Crash) bool { return d.Request == got.Request })
			is.True(at >= 0)
			is.Equal(got.Upstream, deaths[at].Upstream)
			is.Equal(got.Host, deaths[at].Host)
			is.Equal(got.EndedAt.Sub(got.SentAt), time.Second)
			is.True(got.EndedAt.Sub(now).Abs() < 2*time.Second)
			deaths = slices.Delete(deaths, at, at+1)
		}
	}
	is.Equal(len(deaths), 0)
	f := poison.FingerprintOf("GET", "shop", "/", nil, "caller")
	a.SendAnswered(to, f)
	is.Equal((<-b.poison).answered, []poison.Fingerprint{f})
	for _, text := range []string{`{`, `{"d":[{"b":1,"e":2}]}`, `{"d":[{"b":-2,"e":-3}]}`, `{"d":[{"b":9000000000000000,"e":2}]}`} {
		is.True(b.heardPoison([]byte(text)) != nil)
	}
}
