package httpwire

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const workersTestWait = 5 * time.Second

// parkedWorkers waits until n workers are parked.
func parkedWorkers(t *testing.T, w *workers, n int) {
	t.Helper()
	for end := time.Now().Add(workersTestWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.mu.Lock()
		parked := len(w.parked)
		w.mu.Unlock()
		if parked == n {
			return
		}
	}
	t.Fatalf("not %d workers parked", n)
}

func TestWorkersServeEachRequestOnceAndNoneWaits(t *testing.T) {
	is := is.New(t)
	const requests = 2 * maxParkedWorkers
	var mu sync.Mutex
	served := make(map[*Request]int)
	var all sync.WaitGroup
	w := &workers{}
	for range 2 {
		all.Add(requests)
		release := make(chan struct{})
		var running sync.WaitGroup
		running.Add(requests)
		w.serve = func(_ *serverConn, req *Request) {
			running.Done()
			<-release // all requests are served at the same time
			mu.Lock()
			served[req]++
			mu.Unlock()
			all.Done()
		}
		for range requests {
			w.start(job{req: new(Request)})
		}
		running.Wait()
		close(release)
		all.Wait()
		parkedWorkers(t, w, maxParkedWorkers)
	}
	is.Equal(len(served), 2*requests)
	for _, times := range served {
		is.Equal(times, 1)
	}
	w.stop()
	parkedWorkers(t, w, 0)
	is.True(!w.park(make(chan job, 1))) // none is parked after the stop
}
