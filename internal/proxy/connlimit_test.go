package proxy

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// TestConnectionLimitIsNoRefusal guards against refusing a request because this host's connections to
// the chosen upstream are all in use, while another upstream has room.
func TestConnectionLimitIsNoRefusal(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		is := is.New(t)
		full := ""
		sender := senderFunc(func(_ context.Context, address string, _ *httpwire.Request) (*httpwire.Response, *errkind.Error) {
			if full == "" {
				full = address
			}
			if address == full {
				return nil, errkind.New(errkind.ConnectionLimit, address)
			}
			return ok(), nil
		})
		p := newProxy(service(2, lookup(), sale()), leastOutstanding, sender, event.Discard{})
		is.Equal(p.Serve(t.Context(), request(method)).Status, http.StatusOK)
	}
}

// TestConnectionLimitIsNoFailure guards against other upstreams being preferred to one that is not at
// fault.
func TestConnectionLimitIsNoFailure(t *testing.T) {
	is := is.New(t)
	x := &exchange{}
	r := result{err: errkind.New(errkind.ConnectionLimit, "up-1")}
	r.binding.upstream = records(&service(1, lookup()).Groups[0])[0]
	f := x.feedbackOf(t.Context(), r, nil, 0)
	is.True(!f.failed)
	is.True(!f.refused)
}
