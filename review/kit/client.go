package kit

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Attempt is one client attempt and what became of it.
type Attempt struct {
	// ID is its id, and Host the entry host that got it.
	ID   string
	Host *Host
	// Unsafe is set if it must run once at most.
	Unsafe bool
	// Sent and Answered are its times; Status is that of its answer, 0 without one.
	Sent, Answered time.Time
	Status         int
}

// Ledger is what clients and endpoints have seen.
type Ledger struct {
	mu       sync.Mutex
	attempts map[string]*Attempt
	order    []string
	runs     map[string][]string // the endpoints that began to work on an id
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{attempts: make(map[string]*Attempt), runs: make(map[string][]string)}
}

// Run notes that an endpoint began to work on a request.
func (l *Ledger) Run(e *Endpoint, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], e.ID)
}

// Attempt returns the attempt with an id, or nil.
func (l *Ledger) Attempt(id string) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[id]
}

// Each calls f for each attempt, in the order in which they were sent, with the endpoints that
// began to work on it.
func (l *Ledger) Each(f func(a Attempt, runs []string)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.order {
		f(*l.attempts[id], l.runs[id])
	}
}

func (l *Ledger) sent(a *Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[a.ID] = a
	l.order = append(l.order, a.ID)
}

func (l *Ledger) answered(a *Attempt, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.Answered, a.Status = time.Now(), status
}

// Load is the requests of clients on one route.
type Load struct {
	// Route is the route, and Unsafe tells whether its requests must run once at most.
	Route  Route
	Unsafe bool
	// PerSecond is the number of requests a second, at random intervals.
	PerSecond float64
	// DeadlineMs is how long the clients wait.
	DeadlineMs int
	// Hosts are the entry hosts that they reach.
	Hosts []*Host
}

// fresh opens a connection for each request, so that an attempt is never sent twice.
var fresh = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// Send sends requests until ctx ends and waits for their answers.
func (l *Ledger) Send(ctx context.Context, log *Record, load Load) {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		pause := time.Duration(rand.ExpFloat64() / load.PerSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		host := load.Hosts[rand.IntN(len(load.Hosts))]
		all.Go(func() { l.try(log, load, host) })
	}
}

func (l *Ledger) try(log *Record, load Load, host *Host) {
	a := &Attempt{ID: fmt.Sprintf("%016x", rand.Uint64()), Host: host, Unsafe: load.Unsafe, Sent: time.Now()}
	l.sent(a)
	log.Add("client sends %s (%s) to %s", a.ID, load.Route.Kind, host.Name)
	status, err := l.exchange(a, load, host)
	l.answered(a, status)
	if err != nil {
		log.Add("client gets no answer to %s: %v", a.ID, err)
		return
	}
	log.Add("client gets %d for %s", status, a.ID)
}

func (l *Ledger) exchange(a *Attempt, load Load, host *Host) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(load.DeadlineMs)*time.Millisecond)
	defer cancel()
	method, body := http.MethodGet, []byte(nil)
	if load.Unsafe {
		method, body = http.MethodPost, bytes.Repeat([]byte("x"), 1200)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host.Front+load.Route.Prefix+"1", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Host = load.Route.Host
	req.Header.Set("Dapplespindle-Request-Id", a.ID)
	req.Header.Set("Dapplespindle-Request-Deadline", strconv.Itoa(load.DeadlineMs))
	resp, err := fresh.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
