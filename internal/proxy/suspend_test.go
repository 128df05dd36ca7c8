package proxy

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// TestRequestOverASuspension suspends the machine between two attempts of a request, which
// the timers of this process do not notice. The second attempt must not get more time than
// the caller has left, and must not be sent after the deadline.
func TestRequestOverASuspension(t *testing.T) {
	for name, test := range map[string]struct {
		suspended time.Duration
		sends     int
	}{
		"time is left":            {300 * time.Millisecond, 2},
		"deadline passed":         {2 * time.Second, 1},
		"long after the deadline": {time.Minute, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var mu sync.Mutex
				var left []int
				undo := func() {}
				sender := senderFunc(func(_ context.Context, _ string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
					mu.Lock()
					defer mu.Unlock()
					ms, err := strconv.Atoi(req.Header.Get(HeaderTimeout))
					is.NoErr(err)
					left = append(left, ms)
					if len(left) > 1 {
						return ok(), nil
					}
					undo = clock.SimulateSuspension(test.suspended)
					return refusal(), nil
				})
				p := newProxy(service(2, lookup()), leastOutstanding, sender, new(recorder))
				req := request("GET")
				req.Received = clock.Now()
				resp := p.Serve(t.Context(), req)
				undo()
				is.Equal(len(left), test.sends)
				is.Equal(resp.Status == http.StatusOK, test.sends == 2)
				if test.sends == 2 {
					is.True(left[1] <= left[0]-int(test.suspended.Milliseconds()))
				}
			})
		})
	}
}
