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
type rejectingUpstreams struct {
	mu        sync.Mutex
	rejection map[string]func() http.Header // nil serves
	work      time.Duration
	slowWork  time.Duration // work of one send in ten; 0 is as the others
	attempts  []recordedAttempt
}

type recordedAttempt struct {
	upstream string
	at       time.Time
	rejected bool
}

func newRejectingUpstreams() *rejectingUpstreams {
	return &rejectingUpstreams{rejection: make(map[string]func() http.Header), work: 20 * time.Millisecond}
}

// asks makes upstreams turn requests away with a word for rest.
func (u *rejectingUpstreams) reject(word string, upstreams ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range upstreams {
		u.rejection[id] = func() http.Header {
			h := http.Header{HeaderNotRun: {flagSet}}
			if word != "" {
				h[HeaderRetryAfter] = []string{word}
			}
			return h
		}
	}
}

// serves makes upstreams serve again.
func (u *rejectingUpstreams) serve(upstreams ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range upstreams {
		delete(u.rejection, id)
	}
}

func (u *rejectingUpstreams) Do(ctx context.Context, address string, _ *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	u.mu.Lock()
	says := u.rejection[address]
	work := u.work
	if u.slowWork > 0 && len(u.attempts)%10 == 0 {
		work = u.slowWork
	}
	u.attempts = append(u.attempts, recordedAttempt{address, clock.Now(), says != nil})
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
func (u *rejectingUpstreams) all() []recordedAttempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.attempts)
}

func (u *rejectingUpstreams) count() int { return len(u.all()) }

// at returns when requests reached upstreams.
func (u *rejectingUpstreams) arrivals(upstreams ...string) []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []time.Time
	for _, s := range u.attempts {
		if slices.Contains(upstreams, s.upstream) {
			out = append(out, s.at)
		}
	}
	return out
}

// crowd sends requests, one each pause, and returns the answers in order.
func serveEvery(p *Proxy, method string, n int, pause time.Duration) []*httpwire.Response {
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
type lifecycleRecorder struct {
	Upstreams
	leaving    []lifecycle.UpstreamKey
	backingOff []string
}

func (n *lifecycleRecorder) Snapshot() *lifecycle.Snapshot { return allActive(2) }
func (n *lifecycleRecorder) Waking() bool                  { return false }
func (n *lifecycleRecorder) Reported(string, time.Time)    {}
func (n *lifecycleRecorder) Leaving(k lifecycle.UpstreamKey, _ uint64) {
	n.leaving = append(n.leaving, k)
}
func (n *lifecycleRecorder) LimitHeard(*balancer.Upstream) {}
func (n *lifecycleRecorder) Rests(u *balancer.Upstream, until time.Time) {
	n.backingOff = append(n.backingOff, u.ID)
}

// takesAll is a lifecycle in which the upstreams of service take requests.
func allActive(upstreams int) *lifecycle.Snapshot {
	r := lifecycle.NewRegistry(lifecycle.DefaultConfig(), event.Discard{})
	var listings []lifecycle.UpstreamSpec
	for i := range upstreams {
		listings = append(listings, lifecycle.UpstreamSpec{Upstream: "up-" + strconv.Itoa(i+1)})
	}
	r.Configure(time.Now(), "test", 1, listings)
	s, _ := r.Flush()
	return s
}
