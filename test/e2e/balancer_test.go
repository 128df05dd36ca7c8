package e2e

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const readinessInterval = 50 * time.Millisecond

// platformBalancer stands in for the platform's load balancer: it sends callers to the
// entry hosts that report ready.
type platformBalancer struct {
	fleet *fleet
	ready atomic.Pointer[[]*entryHost]
}

func newPlatformBalancer(f *fleet) *platformBalancer {
	b := &platformBalancer{fleet: f}
	b.poll()
	return b
}

func (b *platformBalancer) poll() {
	var ready []*entryHost
	for _, e := range b.fleet.entries {
		if b.fleet.get("http://"+e.admin+"/readyz") == nil {
			ready = append(ready, e)
		}
	}
	b.ready.Store(&ready)
}

// run polls readiness until done is closed.
func (b *platformBalancer) run(done <-chan struct{}) {
	every(done, readinessInterval, func(int) { b.poll() })
}

func (b *platformBalancer) pick(rng *rand.Rand) *entryHost {
	ready := *b.ready.Load()
	return ready[rng.IntN(len(ready))]
}

// lookups counts the results of repeatable requests.
type lookups struct {
	mu       sync.Mutex
	complete int
	failed   []string
}

func (l *lookups) add(problem string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if problem == "" {
		l.complete++
		return
	}
	l.failed = append(l.failed, problem)
}

func (l *lookups) check(t *testing.T) {
	t.Helper()
	t.Logf("lookups: complete %d, failed %d", l.complete, len(l.failed))
	for i, p := range l.failed {
		if i == 5 {
			break
		}
		t.Error(p)
	}
}

// lookup sends one request through b and checks that the response belongs to it. It returns
// the problem found, or the empty string.
func lookup(client *http.Client, b *platformBalancer, rng *rand.Rand, id string) string {
	e := b.pick(rng)
	body := strings.Repeat("x", rng.IntN(200))
	req, err := http.NewRequest(http.MethodGet, "http://"+e.caller+"/ledger/"+id, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("X-Request-Id", id)
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Sprintf("%s through %s: %v", id, e.caller, err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Sprintf("%s: body: %v", id, err)
	}
	want := fmt.Sprintf("GET /ledger/%s %s %d\n", id, id, len(body))
	if resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(got), want) {
		return fmt.Sprintf("%s: %s %q, want %q", id, resp.Status, got, want)
	}
	return ""
}

// runLookups sends requests from several callers until done is closed.
func runLookups(b *platformBalancer, callers int, done <-chan struct{}) *lookups {
	l := new(lookups)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 7))
			client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				l.add(lookup(client, b, rng, fmt.Sprintf("r%d-%d", i, n)))
			}
		})
	}
	wg.Wait()
	return l
}
