package e2e

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestThatEndsUpstreams repeats a lookup that crashes each upstream that runs it,
// through three entry hosts and beside other lookups. Each host is identified by its own
// address. The hosts must refuse the request after a few crashes and keep serving the others.
// Up to 6 upstreams may crash: crashes that two hosts see within 50 ms may count as one event,
// and the request arrives every 20 to 40 ms and is sent twice, so that three arrivals may crash
// two upstreams each.
func TestRequestThatEndsUpstreams(t *testing.T) {
	parallel(t)
	const upstreams, hosts, deadly = 8, 3, 30
	f := newFleet(t, upstreams, hosts)
	time.Sleep(2 * time.Second) // the hosts discover each other
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := range deadly {
			f.status(f.entries[i%hosts], deadlyPath)
			time.Sleep(20 * time.Millisecond)
		}
	})
	served, asked := 0, 0
	wg.Go(func() {
		for i := range 10 * deadly {
			asked++
			if f.status(f.entries[i%hosts], "/ledger/other") == http.StatusOK {
				served++
			}
		}
	})
	wg.Wait()
	left := 0
	for _, addr := range f.upstreams {
		if f.get("http://"+addr+"/_served") == nil {
			left++
		}
	}
	t.Logf("%d of %d upstreams still run, %d of %d other requests were served", left, upstreams, served, asked)
	is := is.New(t)
	is.True(left >= upstreams-6 && left <= upstreams-3)
	is.True(served >= asked*9/10)
	for _, e := range f.entries {
		is.Equal(f.status(e, deadlyPath), http.StatusServiceUnavailable)
		is.Equal(f.status(e, "/ledger/other"), http.StatusOK)
	}
}
