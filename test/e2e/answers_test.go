package e2e

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/standin"
)

const (
	bodyCallers    = 12
	requestsEach   = 60
	maxBodyBytes   = 4 << 20
	slowdownFactor = 40
	bodyTimeout    = 8 * time.Second
	killInterval   = 300 * time.Millisecond
)

// responses counts the responses to requests with large bodies.
type responses struct {
	mu                                 sync.Mutex
	complete, refused, broken, largest int
	mismatches                         []string
}

func (a *responses) check(t *testing.T) {
	t.Helper()
	t.Logf("responses: complete %d (largest %d bytes), refused by an entry host %d, transport errors %d, mismatches %d",
		a.complete, a.largest, a.refused, a.broken, len(a.mismatches))
	for _, w := range a.mismatches {
		t.Error(w)
	}
	if a.complete == 0 {
		t.Error("no complete response")
	}
}

// exchange sends one request with a body, asks for a response with a body, and checks the
// response.
func (a *responses) exchange(client *http.Client, f *fleet, rng *rand.Rand, id string) {
	e := f.entries[rng.IntN(len(f.entries))]
	sent := standin.ResponseContent(id+" request", bodySize(rng)/4)
	want := standin.ResponseContent(id, bodySize(rng))
	req, err := http.NewRequest(http.MethodPut, "http://"+e.caller+"/ledger/"+id, bytes.NewReader(sent))
	if err != nil {
		a.add(func() { a.mismatches = append(a.mismatches, err.Error()) })
		return
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set(standin.HeaderResponseBytes, strconv.Itoa(len(want)))
	resp, err := client.Do(req)
	if err != nil {
		a.add(func() { a.broken++ })
		return
	}
	got, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.add(func() {
		switch {
		case err != nil:
			a.broken++
		case resp.Header.Get("Dapplespindle-Error") != "":
			a.refused++
		case resp.StatusCode != http.StatusOK || !bytes.Equal(got, want):
			a.mismatches = append(a.mismatches, fmt.Sprintf("%s through %s: %s, the %d bytes received differ from the %d expected", id, e.caller, resp.Status, len(got), len(want)))
		case resp.Header.Get(standin.HeaderBodyDigest) != standin.BodyDigest(sent):
			a.mismatches = append(a.mismatches, fmt.Sprintf("%s through %s: the upstream received a different request body", id, e.caller))
		default:
			a.complete++
			a.largest = max(a.largest, len(got))
		}
	})
}

func (a *responses) add(count func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	count()
}

// bodySize returns a random size: mostly small, sometimes up to maxBodyBytes.
func bodySize(rng *rand.Rand) int {
	switch n := rng.IntN(10); {
	case n < 5:
		return rng.IntN(2 << 10)
	case n < 9:
		return rng.IntN(256 << 10)
	default:
		return rng.IntN(maxBodyBytes + 1)
	}
}

// run sends requests from several callers over persistent connections.
func (a *responses) run(f *fleet, each int) {
	var wg sync.WaitGroup
	for i := range bodyCallers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 11))
			client := &http.Client{Timeout: bodyTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			defer client.CloseIdleConnections()
			for n := range each {
				a.exchange(client, f, rng, fmt.Sprintf("w%d-%d", i, n))
			}
		})
	}
	wg.Wait()
}

// setSlowdown multiplies the service time of an upstream by factor.
func (f *fleet) setSlowdown(addr string, factor int) {
	f.t.Helper()
	resp, err := f.client.Post("http://"+addr+"/_slow?factor="+strconv.Itoa(factor), "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// TestResponsesAreCompleteAndMatchTheRequest checks that each response is complete and
// belongs to its request, or that the connection fails, while entry hosts are killed and
// two upstreams are slow.
func TestResponsesAreCompleteAndMatchTheRequest(t *testing.T) {
	f := newFleet(t, 4, entryHosts)
	f.setSlowdown(f.upstreams[0], slowdownFactor)
	f.setSlowdown(f.upstreams[1], slowdownFactor/4)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		every(done, killInterval, func(i int) {
			e := f.entries[i*3%entryHosts]
			e.kill()
			f.restart(e)
		})
	})
	a := new(responses)
	a.run(f, scaled(requestsEach))
	close(done)
	wg.Wait()
	a.check(t)
}
