package httpwire

// ConcurrentHandler is a Handler that can serve several pipelined requests of one
// connection concurrently. Their responses keep the order of the requests.
type ConcurrentHandler interface {
	// AllowConcurrent reports whether req may run while earlier requests of its connection
	// are running. If a connection ends, its caller resends every request without a
	// response, so AllowConcurrent must be true only for requests that may run twice.
	AllowConcurrent(req *Request) bool
}

// maxConcurrentPipelined bounds the requests of one connection that run concurrently.
// Each may hold a response in memory until those before it are written.
const maxConcurrentPipelined = 8

// startRequest serves req on a worker. Its response is written after those to the
// requests in flight.
func (c *serverConn) startRequest(req *Request) {
	if c.lastRequest != nil {
		c.lastRequest.written = make(chan struct{})
		req.previousWritten = c.lastRequest.written
	}
	c.lastRequest = req
	c.inFlight++
	c.server.workers.start(job{conn: c, req: req})
}

// startPipelined starts the buffered requests that may run concurrently with those in
// flight. It reports whether it started any.
//
// Without this, a caller that sends the next request before it has the response waits
// for the sum of both service times. With callers that did so, 300 ms of work for each
// request and a latency target of 800 ms, 7.2% of 7,993 requests were late in
// undisturbed seconds. A fifth of those were late by the host's own measurement too,
// which begins when a request is parsed.
func (c *serverConn) startPipelined() (started bool) {
	for c.canStartPipelined() {
		req := c.nextPipelined()
		if req == nil {
			return started
		}
		if !c.server.pipeliner.AllowConcurrent(req) {
			c.pending = req
			c.updateBuffered()
			return started
		}
		c.startRequest(req)
		started = true
	}
	return started
}

// canStartPipelined reports whether another buffered request may be parsed while
// requests are in flight.
func (c *serverConn) canStartPipelined() bool {
	switch {
	case c.server.pipeliner == nil || c.state != connServing || len(c.pipelined) == 0:
		return false
	case c.noMoreRequests || c.overflow || c.pipelineInvalid || c.server.stopping.Load():
		return false // later bytes are ignored, or refused after the responses in flight
	case c.pending != nil || c.inFlight >= maxConcurrentPipelined:
		return false
	}
	return c.lastRequest == nil || c.lastRequest.keepAlive
}

// nextPipelined removes the next complete request from the buffered bytes, or returns
// nil. Bytes that are not a valid request stay; they are refused when all responses
// before them are written.
func (c *serverConn) nextPipelined() *Request {
	done, scanErr := c.scanner.Scan(c.pipelined)
	if scanErr == nil && !done {
		return nil
	}
	var req *Request
	var err error
	if scanErr == nil {
		end := c.scanner.End()
		if req, err = c.parse(c.pipelined[:end:end], false); err == nil {
			c.pipelined = c.pipelined[end:]
			c.updateBuffered()
		}
	}
	if scanErr != nil || err != nil {
		c.pipelineInvalid = true
		req = nil
	}
	c.scanner.ResetRequest(c.server.limits.Load().framing())
	return req
}

// awaitPreviousResponse waits until all responses before that to req are written. It
// returns false if the connection ends first.
func (c *serverConn) awaitPreviousResponse(req *Request) bool {
	if req.previousWritten == nil {
		return true
	}
	select {
	case <-req.previousWritten:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// beginResponse decides whether the connection stays open after the response to req.
// Only the last response announces the close, since requests that are already running
// still get theirs. From now on the pipeline buffer has room for a complete request,
// in case the connection stays open.
func (c *serverConn) beginResponse(req *Request, stopping bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding = true
	if c.overflow || stopping || !req.keepAlive {
		c.noMoreRequests = true
	}
	req.keepAlive = !c.noMoreRequests || c.inFlight > 1
}

// abandon stops the connection from starting further requests after a response could
// not be written.
func (c *serverConn) abandon() {
	c.mu.Lock()
	c.noMoreRequests = true
	c.mu.Unlock()
}

// onResponseWritten is called when the response to req is written. It continues with
// buffered requests, or waits for the next one.
func (c *serverConn) onResponseWritten(req *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding = false
	c.inFlight--
	if req.written != nil {
		close(req.written)
	}
	if c.lastRequest == req {
		c.lastRequest = nil
	}
	switch {
	case c.state != connServing:
	case !req.keepAlive:
		c.linger()
	case c.inFlight > 0:
		c.startPipelined()
	default:
		c.resume()
	}
}

// resume continues when no request is in flight: with the pending request, with the
// buffered bytes, or by waiting for the next request.
func (c *serverConn) resume() {
	c.pipelineInvalid = false
	if req := c.pending; req != nil {
		c.pending = nil
		c.updateBuffered()
		c.startRequest(req)
		c.startPipelined()
		return
	}
	c.state = connIdle
	if data := c.pipelined; len(data) > 0 {
		c.pipelined = nil
		c.receive(data, true)
		return
	}
	c.pipelined = nil
	c.updateBuffered()
	c.awaitRequest()
}
