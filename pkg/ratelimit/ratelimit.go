// Package ratelimit knows the limits that upstreams in need name: how many requests a
// second they take from all hosts together.
//
// The package does no I/O, reads no clock and draws no randomness.
package ratelimit

import "sync/atomic"

// State is what one host knows of the limit of one upstream. The zero value knows of none.
// It is safe for concurrent use.
type State struct {
	named atomic.Pointer[float64]
}

// Hear takes in what an answer says, and reports whether it is news.
func (s *State) Hear(w Word) bool {
	known := s.named.Load()
	switch {
	case w.Kind == Limited && (known == nil || *known != w.PerSecond):
		s.named.Store(&w.PerSecond)
		return true
	case w.Kind == Unlimited && known != nil:
		s.named.Store(nil)
		return true
	}
	return false
}
