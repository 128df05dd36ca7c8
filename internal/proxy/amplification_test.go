package proxy

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
)

const (
	// chainAttempts is max_attempts at each level of the chain.
	chainAttempts = 3
	chainRequests = 300
)

// variant selects parts of the protection against retry amplification.
type variant struct {
	name   string
	budget bool
	marks  bool
}

var (
	naive      = variant{"no budget, no marks", false, false}
	budgetOnly = variant{"budget only", true, false}
	protected  = variant{"budget and marks", true, true}
)

// chain stacks proxies, as many as levels, above upstreams that fail with the given
// probability. It returns the top proxy and a counter of attempts at the upstreams.
func chain(levels int, failure float64, v variant, how errkind.Kind) (*Proxy, *int) {
	random := rand.New(rand.NewPCG(7, uint64(levels)))
	sends := 0
	var next Sender = senderFunc(func(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		sends++
		if random.Float64() >= failure {
			return ok(), nil
		}
		if how == errkind.UpstreamRefused {
			return refusal(), nil
		}
		return nil, errkind.New(how, "fake")
	})
	var top *Proxy
	for range levels {
		rule := lookup()
		rule.Retry.MaxAttempts = chainAttempts
		top = newProxy(service(chainAttempts, rule), leastOutstanding, next, event.Discard{})
		if !v.budget {
			top.newBudget = func(float64) *retry.Budget { return nil }
			top.state.Store(top.nextSnapshot(nil, top.state.Load().table))
		}
		next = downstreamSender(top, v)
	}
	return top, &sends
}

// downstreamSender sends to the proxy below as if it were an upstream. Without marks, it
// removes the retry headers.
func downstreamSender(below *Proxy, v variant) Sender {
	return senderFunc(func(ctx context.Context, _ string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		own := *req // the proxy below gets another request, with its own header
		own.Header = maps.Clone(req.Header)
		if !v.marks {
			delete(own.Header, HeaderAttempt)
		}
		resp := below.Serve(ctx, &own)
		if !v.marks {
			delete(resp.Header, HeaderNoRetry)
		}
		return resp, nil
	})
}

// attempts returns the attempts at upstreams, and the successful responses, per request at
// the top.
func attempts(t *testing.T, levels int, failure float64, v variant) (sent, answered float64) {
	top, sends := chain(levels, failure, v, errkind.UpstreamRefused)
	n := chainRequests
	if !v.budget && failure == 1 {
		n = 20
	}
	good := 0
	for range n {
		if top.Serve(t.Context(), request("GET")).Status == http.StatusOK {
			good++
		}
	}
	return float64(*sends) / float64(n), float64(good) / float64(n)
}

// TestRetriesDoNotMultiply checks that six levels of proxies multiply the attempts without
// protection, and that with it the attempts stay within the budget of one level.
func TestRetriesDoNotMultiply(t *testing.T) {
	is := is.New(t)
	const levels = 6
	reserve := float64(retry.ReserveTokens) / chainRequests
	unbounded, _ := attempts(t, levels, 1, naive)
	is.True(unbounded > 100)
	for _, failure := range []float64{0, 0.1, 0.5, 1} {
		sent, _ := attempts(t, levels, failure, protected)
		is.True(sent <= 1.1+reserve)
	}
}

// TestBrokenResponsesDoNotMultiply breaks connections instead of refusing requests. The
// layers above get a response with an unknown outcome and return it without a retry.
func TestBrokenResponsesDoNotMultiply(t *testing.T) {
	is := is.New(t)
	top, sends := chain(6, 1, protected, errkind.UpstreamBroken)
	for range chainRequests {
		resp := top.Serve(t.Context(), request("GET"))
		is.Equal(resp.Header.Get(HeaderOutcome), "unknown")
	}
	is.True(float64(*sends)/chainRequests <= 1.1+float64(retry.ReserveTokens)/chainRequests)
}

// TestMeasureAmplification prints the amplification table of make measure-overload.
func TestMeasureAmplification(t *testing.T) {
	skipUnlessMeasuring(t)
	fmt.Printf("Sends to upstreams per request; max_attempts %d, budget 10 %% and a reserve of %d, %d requests\n",
		chainAttempts, retry.ReserveTokens, chainRequests)
	fmt.Printf("%-22s %8s %8s %8s %8s %8s %8s %8s %9s\n", "variant", "failing", "1 level", "2", "3", "4", "5", "6", "answered")
	for _, v := range []variant{naive, budgetOnly, protected} {
		for _, failure := range []float64{0, 0.1, 0.5, 1} {
			fmt.Printf("%-22s %7.0f%%", v.name, failure*percent)
			answered := 0.0
			for levels := 1; levels <= 6; levels++ {
				var sent float64
				sent, answered = attempts(t, levels, failure, v)
				fmt.Printf(" %8.3f", sent)
			}
			fmt.Printf(" %8.1f%%\n", answered*percent)
		}
	}
}
