package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/metrics"
)

func TestProfilesAreOptIn(t *testing.T) {
	is := is.New(t)
	for profiles, want := range map[bool]int{false: http.StatusNotFound, true: http.StatusOK} {
		a := New(Config{Address: "127.0.0.1:0", Metrics: metrics.New(), Profiles: profiles})
		w := httptest.NewRecorder()
		a.server.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/debug/pprof/goroutine", nil))
		is.Equal(w.Code, want)
	}
}
