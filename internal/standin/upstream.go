package standin

import (
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

// Upstream is a server that processes a fixed number of requests at a time and
// records the actions it ran.
type Upstream struct {
	// ID is included in responses.
	ID string
	// MeanServiceTime is the mean of the service time distribution.
	MeanServiceTime time.Duration
	// ServerSigma and RequestSigma are the shape parameters of two log-normal
	// factors of the service time. The first factor is drawn for each attempt, the
	// second is determined by the request ID.
	ServerSigma, RequestSigma float64
	// CrashPath is the path of requests that crash the upstream by a call to
	// Crash; empty disables this.
	CrashPath string
	// Crash terminates the process.
	Crash func()

	slots          chan struct{}
	activeRequests atomic.Int64
	slowdown       atomic.Int64
	received       atomic.Int64
	leaving        atomic.Bool
	retryAfter     atomic.Pointer[string] // Retry-After value while requests are rejected
	statedLimit    atomic.Pointer[string] // value of HeaderLimit in responses

	mu         sync.Mutex
	ledger     map[string]int
	probeTimes []int64 // arrival times in Unix nanoseconds
}

// defaultSigma is the default of Upstream.ServerSigma.
const defaultSigma = 0.6

// NewUpstream returns an upstream with the given number of slots.
func NewUpstream(id string, slots int, mean time.Duration) *Upstream {
	return &Upstream{ID: id, MeanServiceTime: mean, ServerSigma: defaultSigma, slots: make(chan struct{}, slots), ledger: make(map[string]int)}
}

// Headers of the stand-in upstream. HeaderAction identifies the action of a
// request. HeaderLoad and HeaderLimit report the active requests and the rate
// limit in responses.
const (
	HeaderAction = "X-Action"
	HeaderLoad   = "X-Load-Active"
	HeaderLimit  = "X-Limit-Per-Second"
)

// Handler returns the HTTP handler. Its endpoints are:
//   - GET /_ledger lists the actions that ran.
//   - GET /_served counts the requests that arrived.
//   - POST /_slow?factor=N multiplies service times by N.
//   - POST /_leaving?say=true announces in responses that the upstream is leaving.
//   - POST /_rest?say=2 rejects requests and probes with Retry-After: 2.
//   - POST /_limit?say=2 announces a limit of 2 requests per second in responses.
//   - GET /_probe answers a load probe.
//   - GET /_probes lists the arrival times of probes.
//
// All other paths are ordinary requests.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_ledger", u.getLedger)
	mux.HandleFunc("GET /_served", u.getServed)
	mux.HandleFunc("POST /_slow", u.setSlowdown)
	mux.HandleFunc("POST /_leaving", u.setLeaving)
	mux.HandleFunc("POST /_rest", u.setRetryAfter)
	mux.HandleFunc("POST /_limit", u.setLimit)
	mux.HandleFunc("GET /_probe", u.handleProbe)
	mux.HandleFunc("GET /_probes", u.getProbes)
	mux.HandleFunc("/", u.handleRequest)
	return mux
}

// Ledger returns how often each action ran.
func (u *Upstream) Ledger() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.ledger))
	for k, v := range u.ledger {
		out[k] = v
	}
	return out
}

func (u *Upstream) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.received.Add(1)
	if u.rejectWithRetryAfter(w) {
		return
	}
	u.activeRequests.Add(1)
	defer u.activeRequests.Add(-1)
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	action := r.Header.Get(HeaderAction)
	if !u.waitServiceTime(r, action == "") {
		return
	}
	if u.CrashPath != "" && r.URL.Path == u.CrashPath {
		u.Crash()
		return
	}
	u.recordAction(action)
	w.Header().Set(HeaderLoad, strconv.FormatInt(u.activeRequests.Load(), 10))
	if u.leaving.Load() {
		w.Header().Set(lifecycle.HeaderLeaving, "1")
	}
	if limit := u.statedLimit.Load(); limit != nil {
		w.Header().Set(HeaderLimit, *limit)
	}
	if r.Header.Get(HeaderResponseBytes) != "" {
		writeContent(w, r, body)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, u.ID+" "+r.Method+" "+r.URL.Path+" "+r.Header.Get("X-Request-Id")+" "+strconv.Itoa(len(body))+"\n")
}

// waitServiceTime waits for the service time of a request and reports whether it
// has elapsed. A cancellable request ends when its client goes away; an action
// runs to completion.
func (u *Upstream) waitServiceTime(r *http.Request, cancellable bool) bool {
	timer := time.NewTimer(u.serviceTime(r.Header.Get("X-Request-Id")))
	defer timer.Stop()
	if !cancellable {
		<-timer.C
		return true
	}
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// serviceTime draws from a heavy-tailed log-normal distribution. The factor
// determined by the request ID is the same for every attempt.
func (u *Upstream) serviceTime(request string) time.Duration {
	if u.MeanServiceTime == 0 {
		return 0
	}
	factor := logNormal(rand.NormFloat64(), u.ServerSigma)
	if u.RequestSigma > 0 {
		h := fnv.New64a()
		_, _ = io.WriteString(h, request)
		factor *= logNormal(rand.New(rand.NewPCG(h.Sum64(), 0)).NormFloat64(), u.RequestSigma)
	}
	return time.Duration(float64(u.MeanServiceTime) * factor * float64(max(u.slowdown.Load(), 1)))
}

func logNormal(normal, sigma float64) float64 { return math.Exp(normal*sigma - sigma*sigma/2) }

func (u *Upstream) recordAction(action string) {
	if action == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger[action]++
}

func (u *Upstream) getLedger(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.Ledger()) }

func (u *Upstream) getServed(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, strconv.FormatInt(u.received.Load(), 10)+"\n")
}

func (u *Upstream) setSlowdown(w http.ResponseWriter, r *http.Request) {
	factor, err := strconv.ParseInt(r.URL.Query().Get("factor"), 10, 64)
	if err != nil {
		http.Error(w, "factor: not a number", http.StatusBadRequest)
		return
	}
	u.slowdown.Store(factor)
	w.WriteHeader(http.StatusNoContent)
}

// setLeaving sets whether responses announce that this upstream is leaving.
func (u *Upstream) setLeaving(w http.ResponseWriter, r *http.Request) {
	leaving, err := strconv.ParseBool(r.URL.Query().Get("say"))
	if err != nil {
		http.Error(w, "say: not a boolean", http.StatusBadRequest)
		return
	}
	u.leaving.Store(leaving)
	w.WriteHeader(http.StatusNoContent)
}

// setRetryAfter rejects requests with the given Retry-After value; an empty value
// ends this.
func (u *Upstream) setRetryAfter(w http.ResponseWriter, r *http.Request) {
	if value := r.URL.Query().Get("say"); value != "" {
		u.retryAfter.Store(&value)
	} else {
		u.retryAfter.Store(nil)
	}
	w.WriteHeader(http.StatusNoContent)
}

// setLimit sets the value of HeaderLimit in responses; an empty value removes the
// header.
func (u *Upstream) setLimit(w http.ResponseWriter, r *http.Request) {
	if limit := r.URL.Query().Get("say"); limit != "" {
		u.statedLimit.Store(&limit)
	} else {
		u.statedLimit.Store(nil)
	}
	w.WriteHeader(http.StatusNoContent)
}

// rejectWithRetryAfter rejects the request as not run if a Retry-After value is
// set, and reports whether it did.
func (u *Upstream) rejectWithRetryAfter(w http.ResponseWriter) bool {
	value := u.retryAfter.Load()
	if value == nil {
		return false
	}
	w.Header().Set("Dapplespindle-Not-Run", "1")
	w.Header().Set("Retry-After", *value)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// handleProbe records the arrival of a probe and responds with the current load.
func (u *Upstream) handleProbe(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	u.probeTimes = append(u.probeTimes, time.Now().UnixNano())
	u.mu.Unlock()
	if u.rejectWithRetryAfter(w) {
		return
	}
	w.Header().Set(HeaderLoad, strconv.FormatInt(u.activeRequests.Load(), 10))
	w.WriteHeader(http.StatusOK)
}

func (u *Upstream) getProbes(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	writeJSON(w, u.probeTimes)
}
