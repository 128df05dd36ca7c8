package proxy

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// dyingSender is a Sender whose connections end without an answer.
type dyingSender struct {
	senderFunc
	gone bool // nothing listens afterwards
}

func (s dyingSender) Refuses(context.Context, string) bool { return s.gone }

func brokenOff(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	return nil, errkind.New(errkind.UpstreamBroken, "connection closed")
}

// TestEndOfAnUpstreamIsSeen tells an upstream that ended from one that only closed a
// connection, and names the request alike when it comes again.
func TestEndOfAnUpstreamIsSeen(t *testing.T) {
	for name, gone := range map[string]bool{"ended": true, "closed a connection": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rec := new(recorder)
				rule := lookup()
				rule.Retry.MaxAttempts = 1
				p := newProxy(service(2, rule), leastOutstanding, dyingSender{brokenOff, gone}, rec)
				p.Serve(t.Context(), request("GET"))
				p.Serve(t.Context(), request("GET"))
				synctest.Wait()
				if !gone {
					is.Equal(rec.count(event.UpstreamEnded), 0)
					return
				}
				ends := rec.all(event.UpstreamEnded)
				is.Equal(len(ends), 2)
				is.Equal(sameRequest(ends[0]), sameRequest(ends[1]))
			})
		})
	}
}

// sameRequest is what the event says of the request, without its id.
func sameRequest(e event.Event) string {
	_, fingerprint, _ := strings.Cut(e.Detail, " is ")
	return fingerprint
}
