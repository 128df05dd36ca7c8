package httpwire

import "sync"

// job is one request to serve.
type job struct {
	conn *serverConn
	req  *Request
}

// maxIdleWorkers bounds the goroutines that wait for a request. Each holds a
// stack of a few kilobytes.
const maxIdleWorkers = 256

// workerPool serves each request on a goroutine of its own. It prefers an idle
// goroutine that has served before, whose stack has already grown. A request never
// waits for a worker; more are started as needed.
type workerPool struct {
	serve func(*serverConn, *Request)

	mu      sync.Mutex
	idle    []chan job // used as a stack: last in, first out
	stopped bool
}

// start serves the request on another goroutine.
func (w *workerPool) start(j job) {
	if jobs := w.popIdle(); jobs != nil {
		jobs <- j
		return
	}
	go w.run(j)
}

// popIdle returns the channel of an idle worker, or nil. The channel has room for a job.
func (w *workerPool) popIdle() chan job {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := len(w.idle) - 1
	if last < 0 {
		return nil
	}
	jobs := w.idle[last]
	w.idle[last] = nil
	w.idle = w.idle[:last]
	return jobs
}

// run serves a request, and then those that it receives while idle.
func (w *workerPool) run(j job) {
	w.serve(j.conn, j.req)
	jobs := make(chan job, 1)
	for w.pushIdle(jobs) {
		next, ok := <-jobs
		if !ok {
			return
		}
		w.serve(next.conn, next.req)
	}
}

// pushIdle makes a worker available for further requests. It returns false if there
// are enough idle workers, or if the pool was stopped.
func (w *workerPool) pushIdle(jobs chan job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || len(w.idle) >= maxIdleWorkers {
		return false
	}
	w.idle = append(w.idle, jobs)
	return true
}

// stop ends the idle workers; the others end when their request is served.
func (w *workerPool) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for _, jobs := range w.idle {
		close(jobs)
	}
	w.idle = nil
}
