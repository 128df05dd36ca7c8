package proxy

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

// turning is a Sender whose upstreams turn requests away, by their addresses.
type turning struct {
	mu    sync.Mutex
	says  map[string]func() http.Header // nil serves
	work  time.Duration
	slow  time.Duration // work of one send in ten; 0 is as the others
	sends []sent
}

type sent struct {
	upstream string
	at       time.Time
	away     bool
}

func newTurning() *turning {
	return &turning{says: make(map[string]func() http.Header), work: 20 * time.Millisecond}
}

// asks makes upstreams turn requests away with a word for rest.
func (u *turning) asks(word string, upstreams ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range upstreams {
		u.says[id] = func() http.Header {
			h := http.Header{HeaderNotRun: {flagSet}}
			if word != "" {
				h[HeaderRetryAfter] = []string{word}
			}
			return h
		}
	}
}

// serves makes upstreams serve again.
func (u *turning) serves(upstreams ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range upstreams {
		delete(u.says, id)
	}
}

func (u *turning) Do(ctx context.Context, address string, _ *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	u.mu.Lock()
	says := u.says[address]
	work := u.work
	if u.slow > 0 && len(u.sends)%10 == 0 {
		work = u.slow
	}
	u.sends = append(u.sends, sent{address, clock.Now(), says != nil})
	u.mu.Unlock()
	if says != nil {
		time.Sleep(time.Millisecond)
		return &httpwire.Response{Status: http.StatusServiceUnavailable, Header: says()}, nil
	}
	select {
	case <-time.After(work):
		return ok(), nil
	case <-ctx.Done():
		return nil, errkind.New(errkind.CallerGone, "fake")
	}
}

// all returns what was sent so far, in order.
func (u *turning) all() []sent {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.sends)
}

func (u *turning) count() int { return len(u.all()) }

// at returns when requests reached upstreams.
func (u *turning) at(upstreams ...string) []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []time.Time
	for _, s := range u.sends {
		if slices.Contains(upstreams, s.upstream) {
			out = append(out, s.at)
		}
	}
	return out
}

// crowd sends requests, one each pause, and returns the answers in order.
func crowd(p *Proxy, method string, n int, pause time.Duration) []*httpwire.Response {
	out := make([]*httpwire.Response, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			req := request(method)
			req.Received = clock.Now()
			out[i] = p.Serve(context.Background(), req)
		})
		time.Sleep(pause)
	}
	all.Wait()
	return out
}

func refusals(answers []*httpwire.Response) int {
	n := 0
	for _, a := range answers {
		if a.Status != http.StatusOK {
			n++
		}
	}
	return n
}

// restNews records what a proxy tells of rest and of leaving.
type restNews struct {
	Upstreams
	left  []lifecycle.UpstreamKey
	rests []string
}

func (n *restNews) Snapshot() *lifecycle.Snapshot                    { return takesAll(2) }
func (n *restNews) Resuming() bool                                   { return false }
func (n *restNews) Reported(string, time.Time)                       {}
func (n *restNews) Leaving(k lifecycle.UpstreamKey, _ uint64)        { n.left = append(n.left, k) }
func (n *restNews) LimitChanged(*balancer.Upstream)                  {}
func (n *restNews) BackingOff(u *balancer.Upstream, until time.Time) { n.rests = append(n.rests, u.ID) }

// takesAll is a lifecycle in which the upstreams of service take requests.
func takesAll(upstreams int) *lifecycle.Snapshot {
	r := lifecycle.NewRegistry(lifecycle.DefaultConfig(), event.Discard{})
	var listings []lifecycle.UpstreamSpec
	for i := range upstreams {
		listings = append(listings, lifecycle.UpstreamSpec{Upstream: "up-" + strconv.Itoa(i+1)})
	}
	r.Configure(time.Now(), "test", 1, listings)
	s, _ := r.Flush()
	return s
}
