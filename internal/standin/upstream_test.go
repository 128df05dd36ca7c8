package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestServiceTimeDependsOnRequestID(t *testing.T) {
	is := is.New(t)
	a := NewUpstream("a", 1, time.Second)
	b := NewUpstream("b", 1, time.Second)
	for _, u := range []*Upstream{a, b} {
		u.ServerSigma, u.RequestSigma = 0, 0.7
	}
	is.Equal(a.serviceTime("r-1"), b.serviceTime("r-1"))
	is.True(a.serviceTime("r-1") != a.serviceTime("r-2"))
}

// A request without an action stops when its client goes away; an action still
// runs to completion and is recorded.
func TestOnlyLookupsAreCancelled(t *testing.T) {
	for _, action := range []string{"", "sale-1"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			u := NewUpstream("a", 1, time.Second)
			u.ServerSigma = 0
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			req := httptest.NewRequestWithContext(ctx, http.MethodGet, "/x", nil)
			req.Header.Set(HeaderAction, action)
			start := time.Now()
			u.Handler().ServeHTTP(httptest.NewRecorder(), req)
			want := 100 * time.Millisecond // virtual time
			if action != "" {
				want = time.Second
			}
			is.Equal(time.Since(start), want)
			is.Equal(len(u.Ledger()) == 1, action != "")
		})
	}
}
