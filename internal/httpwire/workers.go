package httpwire

import "sync"

// job is one request to serve.
type job struct {
	conn *serverConn
	req  *Request
}

// maxParkedWorkers bounds the goroutines that wait for a request. Each holds a
// stack of some kilobytes.
const maxParkedWorkers = 256

// workers serves each request on a goroutine of its own, and takes one that
// has served before where one is parked: its stack has already grown. Nothing
// waits for a worker; more are started as needed.
type workers struct {
	serve func(*serverConn, *Request)

	mu      sync.Mutex
	parked  []chan job // the one parked last is taken first
	stopped bool
}

// start serves the request on another goroutine.
func (w *workers) start(j job) {
	if parked := w.take(); parked != nil {
		parked <- j
		return
	}
	go w.work(j)
}

// take returns the channel of a parked worker, or nil. It has room for a job.
func (w *workers) take() chan job {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := len(w.parked) - 1
	if last < 0 {
		return nil
	}
	jobs := w.parked[last]
	w.parked[last] = nil
	w.parked = w.parked[:last]
	return jobs
}

// work serves a request and then those that it is handed while parked.
func (w *workers) work(j job) {
	w.serve(j.conn, j.req)
	jobs := make(chan job, 1)
	for w.park(jobs) {
		next, ok := <-jobs
		if !ok {
			return
		}
		w.serve(next.conn, next.req)
	}
}

// park offers a worker for the next request; false if there are enough.
func (w *workers) park(jobs chan job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || len(w.parked) >= maxParkedWorkers {
		return false
	}
	w.parked = append(w.parked, jobs)
	return true
}

// stop ends the parked workers; the others end with their request.
func (w *workers) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for _, jobs := range w.parked {
		close(jobs)
	}
	w.parked = nil
}
