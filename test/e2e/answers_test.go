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
	answerCallers  = 12
	answersEach    = 60
	largestBody    = 4 << 20
	slowFactor     = 40
	answerTimeout  = 8 * time.Second
	killForAnswers = 300 * time.Millisecond
)

// answers counts what callers with large bodies saw.
type answers struct {
	mu                           sync.Mutex
	whole, refused, cut, largest int
	wrong                        []string
}

func (a *answers) check(t *testing.T) {
	t.Helper()
	t.Logf("answers: whole %d (largest %d bytes), refused by an entry host %d, transport errors %d, wrong %d",
		a.whole, a.largest, a.refused, a.cut, len(a.wrong))
	for _, w := range a.wrong {
		t.Error(w)
	}
	if a.whole == 0 {
		t.Error("no whole answer")
	}
}

// exchange sends one request with bodies both ways and judges the answer.
func (a *answers) exchange(client *http.Client, f *fleet, rng *rand.Rand, id string) {
	e := f.entries[rng.IntN(len(f.entries))]
	sent := standin.ResponseContent(id+" request", bodySize(rng)/4)
	want := standin.ResponseContent(id, bodySize(rng))
	req, err := http.NewRequest(http.MethodPut, "http://"+e.caller+"/ledger/"+id, bytes.NewReader(sent))
	if err != nil {
		a.add(func() { a.wrong = append(a.wrong, err.Error()) })
		return
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set(standin.HeaderResponseBytes, strconv.Itoa(len(want)))
	resp, err := client.Do(req)
	if err != nil {
		a.add(func() { a.cut++ })
		return
	}
	got, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.add(func() {
		switch {
		case err != nil:
			a.cut++
		case resp.Header.Get("Dapplespindle-Error") != "":
			a.refused++
		case resp.StatusCode != http.StatusOK || !bytes.Equal(got, want):
			a.wrong = append(a.wrong, fmt.Sprintf("%s through %s: %s, %d bytes of %d are not its own", id, e.caller, resp.Status, len(got), len(want)))
		case resp.Header.Get(standin.HeaderBodyDigest) != standin.BodyDigest(sent):
			a.wrong = append(a.wrong, fmt.Sprintf("%s through %s: the upstream ran another body", id, e.caller))
		default:
			a.whole++
			a.largest = max(a.largest, len(got))
		}
	})
}

func (a *answers) add(count func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	count()
}

// bodySize draws mostly small sizes, and some up to largestBody.
func bodySize(rng *rand.Rand) int {
	switch n := rng.IntN(10); {
	case n < 5:
		return rng.IntN(2 << 10)
	case n < 9:
		return rng.IntN(256 << 10)
	default:
		return rng.IntN(largestBody + 1)
	}
}

// run sends requests from several callers over connections that are reused.
func (a *answers) run(f *fleet, each int) {
	var wg sync.WaitGroup
	for i := range answerCallers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 11))
			client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			defer client.CloseIdleConnections()
			for n := range each {
				a.exchange(client, f, rng, fmt.Sprintf("w%d-%d", i, n))
			}
		})
	}
	wg.Wait()
}

// slow slows an upstream down by a factor.
func (f *fleet) slow(addr string, factor int) {
	f.t.Helper()
	resp, err := f.client.Post("http://"+addr+"/_slow?factor="+strconv.Itoa(factor), "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// Every answer is whole and the caller's own, or the connection fails.
func TestAnswersAreOwnAndWhole(t *testing.T) {
	f := newFleet(t, 4, entryHosts)
	f.slow(f.upstreams[0], slowFactor)
	f.slow(f.upstreams[1], slowFactor/4)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		every(done, killForAnswers, func(i int) {
			e := f.entries[i*3%entryHosts]
			e.kill()
			f.restart(e)
		})
	})
	a := new(answers)
	a.run(f, times(answersEach))
	close(done)
	wg.Wait()
	a.check(t)
}
