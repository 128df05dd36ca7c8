package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/leastoutstanding"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// senderFunc adapts a function to Sender.
type senderFunc func(ctx context.Context, address string, req *httpwire.Request) (*httpwire.Response, *errkind.Error)

func (f senderFunc) Do(ctx context.Context, address string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	return f(ctx, address, req)
}

// recorder is an event sink that records events.
type recorder struct {
	mu     sync.Mutex
	events []event.Event
}

func (r *recorder) Emit(e event.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

func (r *recorder) count(c event.Code) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.events {
		if e.Code == c {
			n++
		}
	}
	return n
}

// all returns the recorded events with code c.
func (r *recorder) all(c event.Code) []event.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []event.Event
	for _, e := range r.events {
		if e.Code == c {
			out = append(out, e)
		}
	}
	return out
}

func (r *recorder) reason(c event.Code) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.Code == c {
			return e.Reason
		}
	}
	return ""
}

// groupsFunc adapts a function to the group builder of routing.Compile.
type groupsFunc func(*config.Service, *config.Group) *routing.Group

func (f groupsFunc) Group(s *config.Service, g *config.Group) *routing.Group { return f(s, g) }

func records(g *config.Group) []*balancer.Upstream {
	var out []*balancer.Upstream
	for _, u := range g.Upstreams {
		out = append(out, &balancer.Upstream{ID: u.ID, Address: u.Address, Slots: u.Slots})
	}
	return out
}

// leastOutstanding builds groups whose policy never returns ErrNoSlot.
func leastOutstanding(_ *config.Service, g *config.Group) *routing.Group {
	members := records(g)
	return &routing.Group{Config: g, Picker: leastoutstanding.Builder{}.Build(balancer.Options{}).Update(members), Upstreams: members}
}

// lateBinding builds groups whose policy returns ErrNoSlot if every upstream is full.
func lateBinding(_ *config.Service, g *config.Group) *routing.Group {
	members := records(g)
	return &routing.Group{Config: g, Picker: &slotPicker{members: members}, Upstreams: members}
}

type slotPicker struct {
	mu      sync.Mutex
	members []*balancer.Upstream
}

func (p *slotPicker) Pick(info balancer.PickInfo) (balancer.Result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := balancer.ErrNoUpstream
	var best *balancer.Upstream
	for i := range p.members {
		u := p.members[(int(info.Random>>1)+i)%len(p.members)]
		if info.Excludes(u) {
			continue
		}
		err = balancer.ErrNoSlot
		if u.Outstanding() < int64(u.Slots) && (best == nil || u.Outstanding() < best.Outstanding()) {
			best = u
		}
	}
	if best == nil {
		return balancer.Result{}, err
	}
	return balancer.Result{Upstream: best, Reason: "free-slot"}, nil
}

// service returns a service with one upstream group and the given rules.
func service(upstreams int, rules ...config.Rule) *config.Service {
	s := &config.Service{Name: "test", Match: config.Match{PathPrefix: "/"}, Groups: []config.Group{{Name: "main"}}, Rules: rules}
	for i := range upstreams {
		id := "up-" + strconv.Itoa(i+1)
		s.Groups[0].Upstreams = append(s.Groups[0].Upstreams, config.Upstream{ID: id, Address: id, FailureDomain: "here"})
	}
	for i := range s.Rules {
		s.Rules[i].Group = "main"
	}
	s.SetDefaults()
	return s
}

func lookup() config.Rule {
	return config.Rule{Name: "lookup", Methods: []string{"GET"}, Repeat: config.Repeatable}
}

func sale() config.Rule {
	return config.Rule{Name: "sale", Methods: []string{"POST"}, Repeat: config.NonRepeatable}
}

// newProxy returns a proxy that serves s, with a fixed random seed.
func newProxy(s *config.Service, groups groupsFunc, sender Sender, events event.Sink) *Proxy {
	p := New("127.0.0.1", "test", sender, events, WithRandom(seeded(1)))
	p.SetTable(routing.Compile(1, []*config.Service{s}, groups))
	return p
}

func seeded(seed uint64) func() uint64 {
	var mu sync.Mutex
	source := rand.NewPCG(seed, seed)
	return func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return source.Uint64()
	}
}

func request(method string) *httpwire.Request {
	return &httpwire.Request{
		Method: method, Target: "/x", Path: "/x", Header: http.Header{},
		RemoteAddr: "10.0.0.9:4711", Received: time.Now(),
	}
}

func ok() *httpwire.Response {
	return &httpwire.Response{Status: http.StatusOK, Header: http.Header{}}
}

// refusal returns an upstream's declaration that it did not run the request.
func refusal() *httpwire.Response {
	return &httpwire.Response{Status: http.StatusServiceUnavailable, Header: http.Header{HeaderNotRun: {flagSet}}}
}
