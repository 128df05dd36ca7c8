package httpwire

import "github.com/dapplespindle/dapplespindle/pkg/errkind"

// This file bounds the memory used for requests and responses. Callers may send and read
// slowly, and a host may have little memory: without a bound, buffered bytes could exhaust
// the memory and end the process, which would abort all other requests.

// acceptedBytes is how much of a request is received even when the memory limit is
// exceeded, in bytes: enough for heads and for small bodies, which are complete soon.
const acceptedBytes = 16 << 10

// smallRequestsShare is the share of the memory limit that incomplete requests of up to
// acceptedBytes may use beyond the limit. Without a bound, 100,000 connections could hold
// 1.6 GB.
const smallRequestsShare = 0.5

// memoryExceeded reports whether the buffered bytes exceed the memory limit.
func (s *Server) memoryExceeded() bool {
	limit := s.conf.MaxBufferedBytes
	return limit > 0 && s.buffered.Load() > limit
}

// smallRequestsExceeded reports whether the buffered bytes exceed the memory limit and the part for
// small requests.
func (s *Server) smallRequestsExceeded() bool {
	limit := s.conf.MaxBufferedBytes
	return limit > 0 && s.buffered.Load() > limit+int64(float64(limit)*smallRequestsShare)
}

// BufferedBytes returns the number of bytes of requests and responses that are held in memory.
func (s *Server) BufferedBytes() int64 { return s.buffered.Load() }

// updateBuffered updates how many bytes of requests that have not started count towards the limit.
func (c *serverConn) updateBuffered() {
	n := len(c.buf) + len(c.pipelined)
	if c.pending != nil {
		n += len(c.pending.Body)
	}
	c.server.buffered.Add(int64(n - c.buffered))
	c.buffered = n
}

// checkMemory returns an error if the message being received must be refused for lack of memory.
// After an overflow, later bytes of an incomplete message have been dropped.
func (c *serverConn) checkMemory() *errkind.Error {
	large := len(c.buf) > acceptedBytes
	if c.overflow || large && c.server.memoryExceeded() || c.server.smallRequestsExceeded() {
		return errkind.New(errkind.Overloaded, "memory for bodies")
	}
	return nil
}
