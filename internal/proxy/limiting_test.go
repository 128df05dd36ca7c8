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

// This file simulates upstreams that announce rate limits and a fleet of hosts in front of
// them.

// Arrivals that an upstream with a limit tolerates.
const (
	rateWindow  = 4 * time.Second
	rateOverage = 1.5
	rateSlack   = 5
	// limitPropagation is the time from the first announcement of a limit until all hosts
	// respect it.
	limitPropagation = time.Second
)

// limitedUpstreams is a Sender whose upstreams announce limits in their responses. All maps
// are keyed by address.
type limitedUpstreams struct {
	mu          sync.Mutex
	limits      map[string]string // empty announces none
	rejects     map[string]bool   // responds with a refusal
	serviceTime time.Duration
	arrivals    map[string][]time.Time
}

func newLimitedUpstreams() *limitedUpstreams {
	return &limitedUpstreams{limits: make(map[string]string), rejects: make(map[string]bool), serviceTime: 60 * time.Millisecond, arrivals: make(map[string][]time.Time)}
}

// setLimit makes upstreams announce a limit, or none if it is empty.
func (u *limitedUpstreams) setLimit(limit string, upstreams ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range upstreams {
		u.limits[id] = limit
	}
}

func (u *limitedUpstreams) Do(ctx context.Context, address string, _ *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	u.mu.Lock()
	u.arrivals[address] = append(u.arrivals[address], clock.Now())
	rejects := u.rejects[address]
	u.mu.Unlock()
	if !rejects {
		select {
		case <-time.After(u.serviceTime):
		case <-ctx.Done():
			return nil, errkind.New(errkind.CallerGone, "fake")
		}
	}
	resp := ok()
	if rejects {
		resp = refusal()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if limit := u.limits[address]; limit != "" {
		resp.Header[HeaderLimit] = []string{limit}
	}
	return resp, nil
}

// countBetween counts the arrivals at upstreams in [from, to).
func (u *limitedUpstreams) countBetween(from, to time.Time, upstreams ...string) int {
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

// maxInWindow returns the maximum arrivals of an upstream in any rateWindow in [from, to].
func (u *limitedUpstreams) maxInWindow(id string, from, to time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	times := slices.DeleteFunc(slices.Clone(u.arrivals[id]), func(at time.Time) bool { return at.Before(from) || at.After(to) })
	highest, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > rateWindow {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// allowedInWindow returns the arrivals in rateWindow that an upstream with a limit tolerates.
func allowedInWindow(limit string) int {
	perSecond, err := strconv.ParseFloat(limit, 64)
	if err != nil {
		panic(err)
	}
	return int(rateOverage*perSecond*rateWindow.Seconds() + rateSlack)
}

// limitHost is one host of a fleet.
type limitHost struct {
	Upstreams // nil: methods that a test does not expect panic
	fleet     *limitFleet
	proxy     *Proxy
	schedule  *timeslot.Schedule
	registry  *ratelimit.Registry
	snapshot  *lifecycle.Snapshot
	isolated  bool // exchanges no messages with other hosts
}

func (h *limitHost) Snapshot() *lifecycle.Snapshot { return h.snapshot }
func (h *limitHost) Resuming() bool                { return false }
func (h *limitHost) Reported(string, time.Time)    {}

// peerDelay is the one-way delay of messages between hosts.
const peerDelay = 2 * time.Millisecond

// LimitChanged sends the limit to the other hosts.
func (h *limitHost) LimitChanged(u *balancer.Upstream) {
	update, known := u.Limit.Update(clock.Now())
	if !known || h.isolated {
		return
	}
	for _, other := range h.fleet.hosts {
		if other != h && !other.isolated {
			time.AfterFunc(peerDelay, func() { other.registry.ApplyPeerUpdates(clock.Now(), []ratelimit.Update{update}) })
		}
	}
}

// Borrow implements SlotBorrower.
func (h *limitHost) Borrow(_ context.Context, host int, server ratelimit.Server) bool {
	time.Sleep(peerDelay)
	lender := h.fleet.hosts[host]
	lent := !h.isolated && !lender.isolated && lender.registry.Lend(clock.Now(), server)
	time.Sleep(peerDelay)
	return lent
}

// limitFleet is a set of hosts in front of the same upstreams, in virtual time.
type limitFleet struct {
	hosts     []*limitHost
	upstreams *limitedUpstreams
	ids       []string
	random    *rand.Rand
}

// newLimitFleet creates a fleet. The first host has position 0.
func newLimitFleet(hosts, upstreams int, policy string, rules ...config.Rule) *limitFleet {
	f := &limitFleet{upstreams: newLimitedUpstreams(), random: rand.New(rand.NewPCG(7, 7))}
	s := service(upstreams, rules...)
	s.Groups[0].Policy = policy
	for _, u := range s.Groups[0].Upstreams {
		f.ids = append(f.ids, u.ID)
	}
	for i := range hosts {
		h := &limitHost{fleet: f, schedule: timeslot.New(strconv.Itoa(i)), snapshot: allActive(upstreams)}
		h.schedule.Set(clock.Now(), timeslot.Position{Self: i, Hosts: hosts})
		h.registry = ratelimit.NewRegistry(h.schedule)
		h.proxy = New("127.0.0.1", "test", f.upstreams, new(recorder), WithRandom(seeded(uint64(i+1))), WithUpstreams(h), WithSlotBorrower(h))
		h.proxy.SetTable(routing.Compile(1, []*config.Service{s}, groupsFunc(h.group)))
		f.hosts = append(f.hosts, h)
	}
	return f
}

// group builds a group whose upstream records track limits.
func (h *limitHost) group(_ *config.Service, g *config.Group) *routing.Group {
	members := records(g)
	for _, u := range members {
		u.Limit = h.registry.Acquire(u.ID, 0)
	}
	b, err := registry.Lookup(g.Policy)
	if err != nil {
		panic(err)
	}
	picker := b.Build(balancer.Options{Schedule: h.schedule, Limits: h.registry}).Update(members)
	return &routing.Group{Config: g, Picker: picker, Upstreams: members}
}

// callLog records calls and their responses.
type callLog struct {
	mu        sync.Mutex
	responses []loggedResponse
}

type loggedResponse struct {
	*httpwire.Response
	sentAt, answeredAt time.Time
}

// refused returns the responses that are not a success.
func (a *callLog) refused() []loggedResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(a.responses), func(r loggedResponse) bool { return r.Status == http.StatusOK })
}

func (a *callLog) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.responses)
}

// sendLoad sends requests to each host for a duration, with exponential inter-arrival times.
// Host i gets loads[i%len(loads)] requests per second. It waits for all responses.
func (f *limitFleet) sendLoad(method string, lasts time.Duration, loads ...float64) *callLog {
	out := new(callLog)
	var all sync.WaitGroup
	for i, h := range f.hosts {
		perSecond := loads[i%len(loads)]
		for at := f.interArrival(perSecond); at < lasts; at += f.interArrival(perSecond) {
			all.Go(func() {
				time.Sleep(at)
				f.call(h, method, out)
			})
		}
	}
	all.Wait()
	return out
}

func (f *limitFleet) interArrival(perSecond float64) time.Duration {
	return time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
}

func (f *limitFleet) call(h *limitHost, method string, out *callLog) {
	req := request(method)
	req.Received = clock.Now()
	a := h.proxy.Serve(context.Background(), req)
	out.mu.Lock()
	defer out.mu.Unlock()
	out.responses = append(out.responses, loggedResponse{a, req.Received, clock.Now()})
}
