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

// Outcomes as callers see them.
const (
	ran     = "ran"
	notRun  = "not-run"
	unknown = "unknown"
)

// verdicts collects what callers were told about each action.
type verdicts struct {
	mu   sync.Mutex
	told map[string]string
}

func (v *verdicts) set(action, outcome string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.told[action] = outcome
}

// check compares what callers were told with what ran.
func (v *verdicts) check(t *testing.T, ledger map[string]int) {
	t.Helper()
	counts := make(map[string]int)
	for action, outcome := range v.told {
		counts[outcome]++
		n := ledger[action]
		if n > 1 {
			t.Errorf("%s ran %d times; caller was told %s", action, n, outcome)
		}
		if outcome == notRun && n != 0 {
			t.Errorf("%s ran although the caller was told it did not", action)
		}
		if outcome == ran && n == 0 {
			t.Errorf("%s did not run although the caller was told it did", action)
		}
	}
	t.Logf("actions %d: ran %d, not run %d, unknown %d (%.1f%%)", len(v.told), counts[ran], counts[notRun], counts[unknown],
		100*float64(counts[unknown])/float64(len(v.told)))
	if counts[ran] == 0 {
		t.Error("no action ran")
	}
}

// caller sends actions, asking again through other entry hosts.
type caller struct {
	fleet    *fleet
	rng      *rand.Rand
	client   *http.Client
	verdicts *verdicts
	asks     int
	hold     time.Duration // longest time between taking a ticket and using it
}

const callerTimeout = 1500 * time.Millisecond

func newCaller(f *fleet, seed uint64, v *verdicts, asks int) *caller {
	return &caller{
		fleet:    f,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		client:   &http.Client{Timeout: callerTimeout},
		verdicts: v,
		asks:     asks,
	}
}

// act runs one action: it asks for a ticket, then sends until it is told that
// the action ran, or has asked often enough. After "not run" it takes the fresh
// ticket of that answer; after "unknown" it keeps the old one.
func (c *caller) act(action string) {
	ticket := ""
	outcome := notRun
	for range c.asks {
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
	c.verdicts.set(action, outcome)
}

// wait lets a ticket grow old.
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

// runCallers runs callers at the same time, each with its own actions.
// Each holds a ticket for up to hold before it is used.
func runCallers(f *fleet, callers, actions int, hold time.Duration) *verdicts {
	v := &verdicts{told: make(map[string]string)}
	var wg sync.WaitGroup
	for i := range callers {
		c := newCaller(f, uint64(i+1), v, asks)
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
