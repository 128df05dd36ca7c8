package proxy

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// TestPaceOfRegisteredService checks that the pace of a registered service counts its
// requests in flight. Its group has no limiter that could count them.
func TestPaceOfRegisteredService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		answer := make(chan struct{})
		sender := senderFunc(func(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
			<-answer
			return ok(), nil
		})
		p := dialectProxy(registeredService(lookup(), map[string]int{"a": 1}), sender, event.Discard{})
		g := p.state.Load().groups[groupName{group: "a"}]
		var served sync.WaitGroup
		for range 3 {
			served.Go(func() { p.Serve(t.Context(), dialectRequest("GET")) })
		}
		synctest.Wait()
		busy := g.pace().Parallel
		close(answer)
		served.Wait()
		is.Equal(busy, 3)
		is.Equal(g.pace().Parallel, 0)
	})
}
