package e2e

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Outcomes as reported to callers.
const (
	ran     = "ran"
	notRun  = "not-run"
	unknown = "unknown"
)

// outcomes records the outcome that was reported to the caller of each action.
type outcomes struct {
	mu       sync.Mutex
	byAction map[string]string
}

func (v *outcomes) set(action, outcome string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.byAction[action] = outcome
}

// check compares the reported outcomes with what the upstreams ran.
func (v *outcomes) check(t *testing.T, ledger map[string]int) {
	t.Helper()
	counts := make(map[string]int)
	for action, outcome := range v.byAction {
		counts[outcome]++
		n := ledger[action]
		if n > 1 {
			t.Errorf("%s ran %d times; the reported outcome is %s", action, n, outcome)
		}
		if outcome == notRun && n != 0 {
			t.Errorf("%s ran, but the reported outcome is not-run", action)
		}
		if outcome == ran && n == 0 {
			t.Errorf("%s did not run, but the reported outcome is ran", action)
		}
	}
	t.Logf("actions %d: ran %d, not run %d, unknown %d (%.1f%%)", len(v.byAction), counts[ran], counts[notRun], counts[unknown],
		100*float64(counts[unknown])/float64(len(v.byAction)))
	if counts[ran] == 0 {
		t.Error("no action ran")
	}
}

// caller sends actions and repeats them through random entry hosts.
type caller struct {
	fleet       *fleet
	rng         *rand.Rand
	client      *http.Client
	outcomes    *outcomes
	maxAttempts int
	hold        time.Duration // longest time between receiving a ticket and using it
}

const callerTimeout = 1500 * time.Millisecond

func newCaller(f *fleet, seed uint64, v *outcomes, maxAttempts int) *caller {
	return &caller{
		fleet:       f,
		rng:         rand.New(rand.NewPCG(seed, 1)),
		client:      &http.Client{Timeout: callerTimeout},
		outcomes:    v,
		maxAttempts: maxAttempts,
	}
}

// act runs one action: it requests a ticket, then repeats the request until the reported
// outcome is ran or maxAttempts is reached. After "not run" it uses the new ticket of that
// response; after "unknown" it keeps the old one.
func (c *caller) act(action string) {
	ticket := ""
	outcome := notRun
	for range c.maxAttempts {
		status, header, err := c.post(action, ticket)
		if err != nil {
			if ticket != "" {
				outcome = unknown
			}
			continue
		}
		outcome = header.Get("Dapplespindle-Outcome")
		if outcome == ran {
			break
		}
		if outcome == notRun {
			ticket = header.Get("Dapplespindle-Ticket")
			c.wait()
		}
		if outcome == unknown && status == http.StatusGone {
			break
		}
	}
	c.outcomes.set(action, outcome)
}

// wait sleeps for up to hold before a ticket is used.
func (c *caller) wait() {
	if c.hold > 0 {
		time.Sleep(rand.N(c.hold))
	}
}

func (c *caller) post(action, ticket string) (int, http.Header, error) {
	e := c.fleet.entries[c.rng.IntN(len(c.fleet.entries))]
	req, err := http.NewRequest(http.MethodPost, "http://"+e.caller+"/ledger/sale", strings.NewReader(action))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("X-Action", action)
	if ticket != "" {
		req.Header.Set("Idempotency-Key", ticket)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, resp.Header, nil
}

// runCallers runs callers concurrently, each with its own actions. Each waits for up to hold
// before it uses a ticket.
func runCallers(f *fleet, callers, actions int, hold time.Duration) *outcomes {
	v := &outcomes{byAction: make(map[string]string)}
	var wg sync.WaitGroup
	for i := range callers {
		c := newCaller(f, uint64(i+1), v, attemptsPerAction)
		c.hold = hold
		wg.Go(func() {
			for n := range actions {
				c.act(fmt.Sprintf("a%d-%d", i, n))
			}
		})
	}
	wg.Wait()
	return v
}
