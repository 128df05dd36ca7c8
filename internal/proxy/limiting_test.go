package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/registry"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

// This file has upstreams that name limits, and a fleet of hosts in front of them.

// Of what upstreams that name a limit bear.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// limitKnown is when all hosts keep to a limit after it was first named.
	limitKnown = time.Second
)

// limiting are upstreams that name limits in their answers, by their addresses.
type limiting struct {
	mu       sync.Mutex
	limits   map[string]string // empty names none
	fails    map[string]bool   // answers 503 and runs nothing
	work     time.Duration
	arrivals map[string][]time.Time
}

func newLimiting() *limiting {
	return &limiting{limits: make(map[string]string), fails: make(map[string]bool), work: 60 * time.Millisecond, arrivals: make(map[string][]time.Time)}
}

// name makes upstreams name a limit, or none if it is empty.
func (u *limiting) name(limit string, upstreams ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range upstreams {
		u.limits[id] = limit
	}
}

func (u *limiting) Do(ctx context.Context, address string, _ *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	u.mu.Lock()
	u.arrivals[address] = append(u.arrivals[address], clock.Now())
	fails := u.fails[address]
	u.mu.Unlock()
	if !fails {
		select {
		case <-time.After(u.work):
		case <-ctx.Done():
			return nil, errkind.New(errkind.CallerGone, "fake")
		}
	}
	resp := ok()
	if fails {
		resp = refusal()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if limit := u.limits[address]; limit != "" {
		resp.Header[HeaderLimit] = []string{limit}
	}
	return resp, nil
}

// between counts the requests at upstreams from a moment on and before another.
func (u *limiting) between(from, to time.Time, upstreams ...string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, id := range upstreams {
		for _, at := range u.arrivals[id] {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
	}
	return n
}

// most returns the most that an upstream got in limitWindow, between two moments.
func (u *limiting) most(id string, from, to time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	times := slices.DeleteFunc(slices.Clone(u.arrivals[id]), func(at time.Time) bool { return at.Before(from) || at.After(to) })
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// borne is what an upstream that names a limit bears in limitWindow.
func borne(limit string) int {
	perSecond, err := strconv.ParseFloat(limit, 64)
	if err != nil {
		panic(err)
	}
	return int(limitOverage*perSecond*limitWindow.Seconds() + limitSlack)
}

// limitHost is one host of a fleet.
type limitHost struct {
	Upstreams // panics where a test meets what it does not expect
	fleet     *limitFleet
	proxy     *Proxy
	turns     *timeslot.Schedule
	book      *ratelimit.Registry
	snapshot  *lifecycle.Snapshot
	deaf      bool // hears nothing of other hosts, nor they of it
}

func (h *limitHost) Snapshot() *lifecycle.Snapshot { return h.snapshot }
func (h *limitHost) Resuming() bool                { return false }
func (h *limitHost) Reported(string, time.Time)    {}

// newsTakes is the way of news between hosts.
const newsTakes = 2 * time.Millisecond

// LimitChanged tells the other hosts.
func (h *limitHost) LimitChanged(u *balancer.Upstream) {
	news, known := u.Limit.Update(clock.Now())
	if !known || h.deaf {
		return
	}
	for _, other := range h.fleet.hosts {
		if other != h && !other.deaf {
			time.AfterFunc(newsTakes, func() { other.book.ApplyPeerUpdates(clock.Now(), []ratelimit.Update{news}) })
		}
	}
}

// Borrow implements SlotBorrower.
func (h *limitHost) Borrow(_ context.Context, host int, server ratelimit.Server) bool {
	time.Sleep(newsTakes)
	lender := h.fleet.hosts[host]
	lent := !h.deaf && !lender.deaf && lender.book.Lend(clock.Now(), server)
	time.Sleep(newsTakes)
	return lent
}

// limitFleet is hosts in front of the same upstreams, in virtual time.
type limitFleet struct {
	hosts     []*limitHost
	upstreams *limiting
	ids       []string
	random    *rand.Rand
}

// newLimitFleet starts hosts, of which the first is number 0.
func newLimitFleet(hosts, upstreams int, policy string, rules ...config.Rule) *limitFleet {
	f := &limitFleet{upstreams: newLimiting(), random: rand.New(rand.NewPCG(7, 7))}
	document := service(upstreams, rules...)
	document.Groups[0].Policy = policy
	for _, u := range document.Groups[0].Upstreams {
		f.ids = append(f.ids, u.ID)
	}
	for i := range hosts {
		h := &limitHost{fleet: f, turns: timeslot.New(strconv.Itoa(i)), snapshot: takesAll(upstreams)}
		h.turns.Set(clock.Now(), timeslot.Position{Self: i, Hosts: hosts})
		h.book = ratelimit.NewRegistry(h.turns)
		h.proxy = New("127.0.0.1", "test", f.upstreams, new(recorder), WithRandom(seeded(uint64(i+1))), WithUpstreams(h), WithLenders(h))
		h.proxy.SetTable(routing.Compile(1, []*config.Service{document}, groupsFunc(h.group)))
		f.hosts = append(f.hosts, h)
	}
	return f
}

// group builds a group whose records know limits.
func (h *limitHost) group(_ *config.Service, g *config.Group) *routing.Group {
	members := records(g)
	for _, u := range members {
		u.Limit = h.book.Acquire(u.ID, 0)
	}
	b, err := registry.Lookup(g.Policy)
	if err != nil {
		panic(err)
	}
	picker := b.Build(balancer.Options{Schedule: h.turns, Limits: h.book}).Update(members)
	return &routing.Group{Config: g, Picker: picker, Upstreams: members}
}

// asking is the calls of a while, and how they ended.
type asking struct {
	mu      sync.Mutex
	answers []limitAnswer
}

type limitAnswer struct {
	*httpwire.Response
	asked, answered time.Time
}

// refused returns the answers that are not a success.
func (a *asking) refused() []limitAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(a.answers), func(r limitAnswer) bool { return r.Status == http.StatusOK })
}

func (a *asking) number() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.answers)
}

// press has each host get requests at random moments for a while, so many a second; host i
// gets those of loads[i] modulo their number.
func (f *limitFleet) press(method string, lasts time.Duration, loads ...float64) *asking {
	out := new(asking)
	var all sync.WaitGroup
	for i, h := range f.hosts {
		perSecond := loads[i%len(loads)]
		for at := f.gap(perSecond); at < lasts; at += f.gap(perSecond) {
			all.Go(func() {
				time.Sleep(at)
				f.ask(h, method, out)
			})
		}
	}
	all.Wait()
	return out
}

func (f *limitFleet) gap(perSecond float64) time.Duration {
	return time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
}

func (f *limitFleet) ask(h *limitHost, method string, out *asking) {
	req := request(method)
	req.Received = clock.Now()
	a := h.proxy.Serve(context.Background(), req)
	out.mu.Lock()
	defer out.mu.Unlock()
	out.answers = append(out.answers, limitAnswer{a, req.Received, clock.Now()})
}
