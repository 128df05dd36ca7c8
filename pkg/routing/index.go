package routing

import (
	"strings"
	"unicode/utf8"
)

// index finds the first matching service in match order without a linear scan. The
// cost of a lookup grows with the number of distinct prefix lengths, not with the
// number of services.
type index struct {
	lengths  []int // distinct lengths of the path prefixes, longest first
	byPrefix map[string]*prefixMatch
	// unknown holds the services whose path is unknown; nil if there are none.
	unknown *prefixMatch
	// withPort are the hosts that contain a colon, in lower case; nil if there are none.
	withPort map[string]bool
}

// prefixMatch holds the services with the same path prefix.
type prefixMatch struct {
	services []*Service          // in match order
	byHost   map[string]*Service // the first service of each host, in lower case
	ascii    bool                // all hosts are ASCII, so that byHost is exact for ASCII hosts
}

// newIndex builds the index of services, which must be in match order.
func newIndex(services []*Service) index {
	x := index{byPrefix: make(map[string]*prefixMatch)}
	for _, s := range services {
		x.addPort(s.Config.Match.Host)
		if s.Config.Match.PathUnknown {
			if x.unknown == nil {
				x.unknown = newPrefixMatch()
			}
			x.unknown.add(s)
			continue
		}
		prefix := s.Config.Match.PathPrefix
		m := x.byPrefix[prefix]
		if m == nil {
			m = newPrefixMatch()
			x.byPrefix[prefix] = m
			if n := len(x.lengths); n == 0 || x.lengths[n-1] != len(prefix) {
				x.lengths = append(x.lengths, len(prefix))
			}
		}
		m.add(s)
	}
	return x
}

func newPrefixMatch() *prefixMatch {
	return &prefixMatch{byHost: make(map[string]*Service), ascii: true}
}

func (x *index) addPort(host string) {
	if !strings.Contains(host, ":") {
		return
	}
	if x.withPort == nil {
		x.withPort = make(map[string]bool)
	}
	x.withPort[strings.ToLower(host)] = true
}

// matchHost returns the host by which services are matched for a Host header: with its port
// if a service has that host, and else without.
func (x *index) matchHost(host string) string {
	if x.withPort != nil && x.withPort[strings.ToLower(host)] {
		return host
	}
	from := strings.LastIndexByte(host, ']') + 1 // colons before it belong to an IPv6 address
	if i := strings.IndexByte(host[from:], ':'); i >= 0 {
		return host[:from+i]
	}
	return host
}

func (m *prefixMatch) add(s *Service) {
	m.services = append(m.services, s)
	m.ascii = m.ascii && isASCII(s.Config.Match.Host)
	host := strings.ToLower(s.Config.Match.Host)
	if m.byHost[host] == nil {
		m.byHost[host] = s
	}
}

// find returns the first service that matches, or nil.
func (x *index) find(host, path string) *Service {
	if x.unknown != nil {
		if s := x.unknown.find(host); s != nil {
			return s
		}
	}
	for _, n := range x.lengths {
		if n > len(path) {
			continue
		}
		if m := x.byPrefix[path[:n]]; m != nil {
			if s := m.find(host); s != nil {
				return s
			}
		}
	}
	return nil
}

// find returns the first service that matches the host, or nil. Services with a
// host take precedence over those without. Outside ASCII, strings may be equal under
// Unicode case folding although their lower-case forms differ, so that the services
// are compared one by one.
func (m *prefixMatch) find(host string) *Service {
	if m.ascii && isASCII(host) {
		if s := m.byHost[strings.ToLower(host)]; s != nil {
			return s
		}
		return m.byHost[""]
	}
	for _, s := range m.services {
		if h := s.Config.Match.Host; h == "" || strings.EqualFold(h, host) {
			return s
		}
	}
	return nil
}

func isASCII(s string) bool {
	for i := range len(s) {
		if s[i] >= utf8.RuneSelf {
			return false
		}
	}
	return true
}
