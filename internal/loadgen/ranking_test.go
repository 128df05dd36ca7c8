package loadgen

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// One fake server acts as entry host, metrics endpoint and upstream for two
// services.
func TestRankCountsOnlySlowdownWindows(t *testing.T) {
	is := is.New(t)
	var slowed, restored, requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/metrics":
			_, _ = w.Write([]byte(`{"attempts.sent": 7, "latency.service.a": {"count": 1}}`))
		case r.URL.Path == "/_slow" && r.URL.Query().Get("factor") == "1":
			restored.Add(1)
		case r.URL.Path == "/_slow":
			slowed.Add(1)
		default:
			requests.Add(1)
			w.Header().Set(headerOutcome, "ran")
		}
	}))
	defer server.Close()
	rows, err := Rank(t.Context(), RankingConfig{
		EntryURLs: []string{server.URL}, AdminURLs: []string{server.URL}, UpstreamURLs: []string{server.URL},
		Services: []string{"a", "b"}, Rounds: 1,
		WarmUp: 20 * time.Millisecond, Duration: 300 * time.Millisecond, Rate: 200, MaxInFlight: 50, Seed: 1,
	})
	is.NoErr(err)
	is.Equal(len(rows), 4) // two services in two conditions
	total := 0
	for _, r := range rows {
		total += r.Sent
		is.Equal(r.Failed, 0)
		is.True(int(r.Latency.TotalCount()) <= r.Sent-r.Skipped)
		is.Equal(r.Attempts, int64(0)) // the fake reports a constant counter
	}
	is.Equal(int64(total), requests.Load())
	is.Equal(slowed.Load(), restored.Load()) // every slowdown was reverted
	is.True(slowed.Load() >= 2)
	is.True(rows[2].Latency.TotalCount() < rows[0].Latency.TotalCount())
}

func TestRecordLatencyFiltersLatencies(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	report, err := Run(t.Context(), Config{
		Rate: 1000, Duration: 5 * time.Second, MaxRequests: 50, MaxInFlight: 50, Seed: 1,
		Targets:       []Target{{Name: "a", Method: http.MethodGet, URL: server.URL, Weight: 1}},
		RecordLatency: func(time.Duration) bool { return false },
	})
	is.NoErr(err)
	is.Equal(report.ByTarget[0].Latency.TotalCount(), int64(0))
	is.Equal(report.ByTarget[0].Outcomes["none"], 50)
}
