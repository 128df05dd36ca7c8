package quotas

import (
	"net/netip"
	"sync"
	"time"
)

// coordinatorCheck is what a backup found out about a coordinator that does not respond to
// it.
type coordinatorCheck struct {
	// witness is a host that reaches the coordinator; invalid if none was found.
	witness netip.AddrPort
	// share is the share of quotas to grant in the coordinator's place. It is lower if many
	// witnesses are unresponsive too, because this host may then be the isolated one.
	share float64
}

// peerStates records for unresponsiveFor which hosts did not respond, and the results of
// coordinator checks. The zero value is ready to use.
type peerStates struct {
	mu                sync.Mutex
	unresponsiveUntil map[netip.AddrPort]time.Time
	checks            map[netip.AddrPort]expiringCheck
}

type expiringCheck struct {
	coordinatorCheck
	expires time.Time
}

func (s *peerStates) unresponsive(now time.Time, host netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.unresponsiveUntil[host])
}

func (s *peerStates) markUnresponsive(now time.Time, host netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unresponsiveUntil == nil {
		s.unresponsiveUntil = make(map[netip.AddrPort]time.Time)
	}
	for known, until := range s.unresponsiveUntil {
		if now.After(until) {
			delete(s.unresponsiveUntil, known)
		}
	}
	s.unresponsiveUntil[host] = now.Add(unresponsiveFor)
}

func (s *peerStates) check(now time.Time, coordinator netip.AddrPort) (coordinatorCheck, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.checks[coordinator]
	return c.coordinatorCheck, ok && now.Before(c.expires)
}

func (s *peerStates) recordCheck(now time.Time, coordinator netip.AddrPort, check coordinatorCheck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checks == nil {
		s.checks = make(map[netip.AddrPort]expiringCheck)
	}
	s.checks[coordinator] = expiringCheck{check, now.Add(unresponsiveFor)}
}
