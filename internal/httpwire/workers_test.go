package httpwire

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const workersTestWait = 5 * time.Second

// waitForIdleWorkers waits until n workers are idle.
func waitForIdleWorkers(t *testing.T, w *workerPool, n int) {
	t.Helper()
	for end := time.Now().Add(workersTestWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.mu.Lock()
		idle := len(w.idle)
		w.mu.Unlock()
		if idle == n {
			return
		}
	}
	t.Fatalf("timed out waiting for %d idle workers", n)
}

func TestWorkersServeEachRequestOnceWithoutWaiting(t *testing.T) {
	is := is.New(t)
	const requests = 2 * maxIdleWorkers
	var mu sync.Mutex
	served := make(map[*Request]int)
	var all sync.WaitGroup
	w := &workerPool{}
	for range 2 {
		all.Add(requests)
		release := make(chan struct{})
		var running sync.WaitGroup
		running.Add(requests)
		w.serve = func(_ *serverConn, req *Request) {
			running.Done()
			<-release // all requests are served concurrently
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
		waitForIdleWorkers(t, w, maxIdleWorkers)
	}
	is.Equal(len(served), 2*requests)
	for _, times := range served {
		is.Equal(times, 1)
	}
	w.stop()
	waitForIdleWorkers(t, w, 0)
	is.True(!w.pushIdle(make(chan job, 1))) // no worker is kept after the stop
}
