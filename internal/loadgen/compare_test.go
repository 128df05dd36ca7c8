package loadgen

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCompareRejectsNonLoopbackAddresses(t *testing.T) {
	is := is.New(t)
	conf := CompareConfig{
		DirectURL: "http://192.0.2.1/", EntryHosts: []EntryHost{{URL: "http://127.0.0.1/"}},
		Workers: 1, Rounds: 1, Duration: time.Second,
	}
	_, _, err := Compare(context.Background(), conf)
	is.True(err != nil)
	conf.DirectURL, conf.EntryHosts[0].URL = conf.EntryHosts[0].URL, conf.DirectURL
	_, _, err = Compare(context.Background(), conf)
	is.True(err != nil)
	conf.EntryHosts = []EntryHost{{URL: "http://127.0.0.1/", AdminAddress: "192.0.2.1:80"}}
	_, _, err = Compare(context.Background(), conf)
	is.True(err != nil)
	_, err = IdleMemory("192.0.2.1:80", os.Getpid(), 1)
	is.True(err != nil)
	_, err = IdleMemory("127.0.0.1:80", os.Getpid(), maxIdleConnections+1)
	is.True(err != nil)
}

func TestCompareMeasuresAllPaths(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	saturations, levels, err := Compare(context.Background(), CompareConfig{
		DirectURL: server.URL + "/direct",
		EntryHosts: []EntryHost{
			{Name: "one", URL: server.URL + "/one", PID: os.Getpid()},
			{Name: "two", URL: server.URL + "/two", PID: os.Getpid()},
		},
		LoadShares: []float64{0.1}, Duration: 300 * time.Millisecond, Rounds: 2, Workers: 2, Seed: 1,
	})
	is.NoErr(err)
	is.Equal(len(saturations), 2)
	for _, saturation := range saturations {
		is.True(saturation.Rate > 0)
		is.Equal(saturation.Errors, int64(0))
	}
	is.Equal(len(levels), 1)
	is.Equal(len(levels[0].Rounds), 2)
	is.Equal(len(levels[0].AddedLatencies(2, 50)), 2)
	for _, r := range levels[0].Rounds {
		is.Equal(len(r.Paths), 3)
		is.Equal(len(r.RunDelays), 2)
		for _, s := range r.Paths {
			is.True(s.SendLatency.TotalCount() > 0)
			is.Equal(s.Errors, 0)
		}
	}
}

func TestRawConnRejectsUnsizedOrFailedResponses(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	mux.HandleFunc("/broken", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	mux.HandleFunc("/unsized", func(w http.ResponseWriter, _ *http.Request) { w.(http.Flusher).Flush() })
	mux.HandleFunc("/sized", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("four")) })
	server := httptest.NewServer(mux)
	defer server.Close()
	for path, accepted := range map[string]bool{"/broken": false, "/unsized": false, "/sized": true} {
		conn, err := dialRaw(context.Background(), server.URL+path)
		is.NoErr(err)
		is.Equal(conn.roundTrip() == nil, accepted) // only a 200 with a Content-Length
		if accepted {
			is.NoErr(conn.roundTrip())
		}
		conn.close()
	}
}
