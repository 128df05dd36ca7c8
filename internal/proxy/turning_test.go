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

// rejectingUpstreams is a Sender whose upstreams can reject requests.
type rejectingUpstreams struct {
	mu          sync.Mutex
	rejection   map[string]func() http.Header // by address; nil serves
	serviceTime time.Duration
	slowWork    time.Duration // service time of every tenth attempt; 0 for serviceTime
	attempts    []recordedAttempt
}

type recordedAttempt struct {
	upstream string
	at       time.Time
	rejected bool
}

func newRejectingUpstreams() *rejectingUpstreams {
	return &rejectingUpstreams{rejection: make(map[string]func() http.Header), serviceTime: 20 * time.Millisecond}
}

// reject makes upstreams reject requests with a Retry-After value.
func (u *rejectingUpstreams) reject(retryAfter string, upstreams ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range upstreams {
		u.rejection[id] = func() http.Header {
			h := http.Header{HeaderNotRun: {flagSet}}
			if retryAfter != "" {
				h[HeaderRetryAfter] = []string{retryAfter}
			}
			return h
		}
	}
}

// serve makes upstreams serve requests again.
func (u *rejectingUpstreams) serve(upstreams ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range upstreams {
		delete(u.rejection, id)
	}
}

func (u *rejectingUpstreams) Do(ctx context.Context, address string, _ *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	u.mu.Lock()
	rejection := u.rejection[address]
	work := u.serviceTime
	if u.slowWork > 0 && len(u.attempts)%10 == 0 {
		work = u.slowWork
	}
	u.attempts = append(u.attempts, recordedAttempt{address, clock.Now(), rejection != nil})
	u.mu.Unlock()
	if rejection != nil {
		time.Sleep(time.Millisecond)
		return &httpwire.Response{Status: http.StatusServiceUnavailable, Header: rejection()}, nil
	}
	select {
	case <-time.After(work):
		return ok(), nil
	case <-ctx.Done():
		return nil, errkind.New(errkind.CallerGone, "fake")
	}
}

// all returns the attempts so far, in order.
func (u *rejectingUpstreams) all() []recordedAttempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.attempts)
}

func (u *rejectingUpstreams) count() int { return len(u.all()) }

// arrivals returns the arrival times of the attempts at upstreams.
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

// serveEvery serves n requests, one every interval, and returns the responses in order.
func serveEvery(p *Proxy, method string, n int, interval time.Duration) []*httpwire.Response {
	out := make([]*httpwire.Response, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			req := request(method)
			req.Received = clock.Now()
			out[i] = p.Serve(context.Background(), req)
		})
		time.Sleep(interval)
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

// lifecycleRecorder records the backoffs and leaving upstreams that a proxy reports.
type lifecycleRecorder struct {
	Upstreams
	leaving    []lifecycle.UpstreamKey
	backingOff []string
}

func (n *lifecycleRecorder) Snapshot() *lifecycle.Snapshot { return allActive(2) }
func (n *lifecycleRecorder) Resuming() bool                { return false }
func (n *lifecycleRecorder) Reported(string, time.Time)    {}
func (n *lifecycleRecorder) Leaving(k lifecycle.UpstreamKey, _ uint64) {
	n.leaving = append(n.leaving, k)
}
func (n *lifecycleRecorder) LimitChanged(*balancer.Upstream) {}
func (n *lifecycleRecorder) BackingOff(u *balancer.Upstream, until time.Time) {
	n.backingOff = append(n.backingOff, u.ID)
}

// allActive returns a lifecycle snapshot in which all upstreams of service accept requests.
func allActive(upstreams int) *lifecycle.Snapshot {
	r := lifecycle.NewRegistry(lifecycle.DefaultConfig(), event.Discard{})
	var specs []lifecycle.UpstreamSpec
	for i := range upstreams {
		specs = append(specs, lifecycle.UpstreamSpec{Upstream: "up-" + strconv.Itoa(i+1)})
	}
	r.Configure(time.Now(), "test", 1, specs)
	s, _ := r.Flush()
	return s
}
