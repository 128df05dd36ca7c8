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

func TestCompareLeavesLoopbackAlone(t *testing.T) {
	is := is.New(t)
	conf := CompareConfig{
		Direct: "http://192.0.2.1/", Through: []Through{{URL: "http://127.0.0.1/"}},
		Workers: 1, Rounds: 1, Duration: time.Second,
	}
	_, _, err := Compare(context.Background(), conf)
	is.True(err != nil)
	conf.Direct, conf.Through[0].URL = conf.Through[0].URL, conf.Direct
	_, _, err = Compare(context.Background(), conf)
	is.True(err != nil)
	conf.Through = []Through{{URL: "http://127.0.0.1/", Admin: "192.0.2.1:80"}}
	_, _, err = Compare(context.Background(), conf)
	is.True(err != nil)
	_, err = IdleMemory("192.0.2.1:80", os.Getpid(), 1)
	is.True(err != nil)
	_, err = IdleMemory("127.0.0.1:80", os.Getpid(), maxIdleConnections+1)
	is.True(err != nil)
}

func TestCompareSendsAllWays(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	sats, levels, err := Compare(context.Background(), CompareConfig{
		Direct: server.URL + "/direct",
		Through: []Through{
			{Name: "one", URL: server.URL + "/one", PID: os.Getpid()},
			{Name: "two", URL: server.URL + "/two", PID: os.Getpid()},
		},
		Shares: []float64{0.1}, Duration: 300 * time.Millisecond, Rounds: 2, Workers: 2, Seed: 1,
	})
	is.NoErr(err)
	is.Equal(len(sats), 2)
	for _, sat := range sats {
		is.True(sat.Rate > 0)
		is.Equal(sat.Errors, int64(0))
	}
	is.Equal(len(levels), 1)
	is.Equal(len(levels[0].Rounds), 2)
	is.Equal(len(levels[0].Added(2, 50)), 2)
	for _, r := range levels[0].Rounds {
		is.Equal(len(r.Ways), 3)
		is.Equal(len(r.Delays), 2)
		for _, s := range r.Ways {
			is.True(s.FromSend.TotalCount() > 0)
			is.Equal(s.Errors, 0)
		}
	}
}

func TestWireRefusesWhatItCannotTime(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	mux.HandleFunc("/broken", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	mux.HandleFunc("/unsized", func(w http.ResponseWriter, _ *http.Request) { w.(http.Flusher).Flush() })
	mux.HandleFunc("/sized", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("four")) })
	server := httptest.NewServer(mux)
	defer server.Close()
	for path, good := range map[string]bool{"/broken": false, "/unsized": false, "/sized": true} {
		w, err := dialWire(context.Background(), server.URL+path)
		is.NoErr(err)
		is.Equal(w.ask() == nil, good) // a sized 200 only
		if good {
			is.NoErr(w.ask())
		}
		w.close()
	}
}
