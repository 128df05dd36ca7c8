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
	conf := CompareConfig{Direct: "http://192.0.2.1/", Through: "http://127.0.0.1/", Workers: 1, Duration: time.Second}
	_, _, err := Compare(context.Background(), conf)
	is.True(err != nil)
	conf.Direct, conf.Through = conf.Through, conf.Direct
	_, _, err = Compare(context.Background(), conf)
	is.True(err != nil)
	_, err = IdleMemory("192.0.2.1:80", os.Getpid(), 1)
	is.True(err != nil)
	_, err = IdleMemory("127.0.0.1:80", os.Getpid(), maxIdleConnections+1)
	is.True(err != nil)
}

func TestCompareSendsBothWays(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	sat, levels, err := Compare(context.Background(), CompareConfig{
		Direct: server.URL + "/direct", Through: server.URL + "/through", EntryPID: os.Getpid(),
		Shares: []float64{0.1}, Duration: 300 * time.Millisecond, Workers: 2, Seed: 1,
	})
	is.NoErr(err)
	is.True(sat.Rate > 0)
	is.Equal(sat.Errors, int64(0))
	is.Equal(len(levels), 1)
	for _, s := range levels[0].Report.ByTarget {
		is.True(s.Latency.TotalCount() > 0)
		is.Equal(s.Errors, 0)
	}
}
