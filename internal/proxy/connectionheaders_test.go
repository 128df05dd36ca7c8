package proxy

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// FuzzConnectionHeader guards against a caller that removes what the entry host has set, or what upstreams and
// entry hosts trust, by naming it in its Connection header. Other headers that it names are removed.
func FuzzConnectionHeader(f *testing.F) {
	for _, options := range []string{"", "close", "keep-alive, X-Customer", "x-cUSTOMER", "X-Customer\nX-Customer", " X-Customer ,,",
		"X-Request-Id", "X-Request-Timeout-Ms", "X-Customer-Key", "Dapplespindle-Attempt", "Via, X-Forwarded-For, Traceparent",
		"Content-Type", "X-Other", "Connection", "Host", "X-Customer\x00", "\"X-Customer\"", "X_Customer", "*"} {
		f.Add(options)
	}
	f.Fuzz(func(t *testing.T, options string) {
		is := is.New(t)
		var got http.Header
		sender := senderFunc(func(_ context.Context, _ string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
			got = req.Header.Clone()
			return ok(), nil
		})
		s := service(1, lookup())
		p := New("127.0.0.1", "test", sender, event.Discard{}, WithRandom(seeded(1)))
		p.SetTable(keyedTable(1, s, "a", "b"))
		req := requestOf("b")
		req.Header["Connection"] = strings.Split(options, "\n")
		req.Header[HeaderRequestID] = []string{"its-id"}
		req.Header["Content-Type"] = []string{"text/plain"}
		req.Header["X-Other"] = []string{"other"}
		is.Equal(p.Serve(t.Context(), req).Status, http.StatusOK)
		is.Equal(got[HeaderCustomer], []string{"b"})
		is.Equal(got[HeaderKey], nil)
		is.Equal(got[HeaderRequestID], []string{"its-id"})
		is.Equal(len(got[HeaderTimeout]), 1)
		is.Equal(got[HeaderAttempt], []string{"1"})
		is.Equal(got["Content-Type"], []string{"text/plain"})
		is.Equal(got["Connection"], nil)
		named := false
		for _, name := range strings.FieldsFunc(options, func(r rune) bool { return r == ',' || r == '\n' }) {
			named = named || strings.EqualFold(strings.TrimSpace(name), "X-Other")
		}
		is.Equal(got["X-Other"] == nil, named)
	})
}

// TestConnectionHeaderOfAnUpstream guards against an upstream whose Connection header names what its response is
// judged by: an encoded body would be passed on as an unencoded one, and a refusal count as an answer.
func TestConnectionHeaderOfAnUpstream(t *testing.T) {
	d := DefaultDialect()
	d.Signature = "Signed"
	for name, test := range map[string]struct {
		status int
		header http.Header
		want   int
	}{
		"encoded body": {200, http.Header{"Signed": {"1"}, "Content-Encoding": {"gzip"}, "Connection": {"Content-Encoding"}}, http.StatusBadGateway},
		"signature":    {200, http.Header{"Signed": {"1"}, "Connection": {"signed, close"}}, http.StatusOK},
		"refusal":      {503, http.Header{HeaderNotRun: {flagSet}, "Connection": {HeaderNotRun}}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sender := senderFunc(func(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
				return &httpwire.Response{Status: test.status, Header: test.header.Clone()}, nil
			})
			s := service(1, sale())
			p := New("127.0.0.1", "test", sender, event.Discard{}, WithRandom(seeded(1)), WithDialect(d))
			p.SetTable(keyedTable(1, s, "a"))
			req := request("POST")
			req.Header[HeaderKey] = []string{"a"}
			is.Equal(p.Serve(t.Context(), req).Status, test.want)
		})
	}
}
