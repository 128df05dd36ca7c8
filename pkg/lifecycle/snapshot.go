package lifecycle

import "time"

// MinWeight is the share of new requests that a cold upstream starts with, as
// a fraction of a warm one's.
const MinWeight = 0.1

// UpstreamKey names one upstream of one service.
type UpstreamKey struct {
	// Service and Upstream are the names in the document.
	Service, Upstream string
}

// View is one upstream in a snapshot.
type View struct {
	// State is the name of its state in charts/upstream.yaml.
	State string
	// AcceptsRequests is true when it may be sent new requests. It is a promise: an
	// upstream that is leaving, or whose failure domain is evacuated, is never sent one.
	AcceptsRequests bool
	// Leaving is true when it is known to leave or to have left.
	Leaving bool
	// Unreachable is true when connections failed. It is advice: a balancer
	// that has nothing else may still try.
	Unreachable bool
	// Activation is the one in force; reports about a request sent under it carry it.
	Activation uint64
	// WarmSince and SlowStart give the slow start; see Weight.
	WarmSince time.Time
	// SlowStart is the time over which the weight grows to 1.
	SlowStart time.Duration
}

// Weight returns the share of new requests at a time, from MinWeight to 1.
func (v *View) Weight(now time.Time) float64 {
	age := now.Sub(v.WarmSince)
	if age >= v.SlowStart {
		return 1
	}
	return max(MinWeight, float64(age)/float64(v.SlowStart))
}

// Snapshot is the immutable result for balancers. It is safe for concurrent use.
type Snapshot struct {
	// Version grows with every snapshot of one process.
	Version uint64

	services map[string]*serviceViews
}

// serviceViews is one service in snapshots; those that follow share it until
// something about the service changes. It is immutable.
type serviceViews struct {
	version uint64 // of the first snapshot that holds it
	views   map[string]View
}

// View returns the state of one upstream; false if it is not configured.
func (s *Snapshot) View(k UpstreamKey) (View, bool) {
	service := s.services[k.Service]
	if service == nil {
		return View{}, false
	}
	v, ok := service.views[k.Upstream]
	return v, ok
}

// ServiceVersion returns the version of the newest snapshot, up to this one,
// that differs in anything about the service; 0 if it is not configured.
func (s *Snapshot) ServiceVersion(service string) uint64 {
	if known := s.services[service]; known != nil {
		return known.version
	}
	return 0
}

// Services returns the names of the services that have upstreams, in no order.
func (s *Snapshot) Services() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	return names
}

// AcceptsRequests reports whether an upstream may be sent new requests.
func (s *Snapshot) AcceptsRequests(k UpstreamKey) bool {
	view, _ := s.View(k)
	return view.AcceptsRequests
}

// Leaving reports whether an upstream is known to leave. One that takes no requests for
// another reason, or is not configured at present, is not.
func (s *Snapshot) Leaving(k UpstreamKey) bool {
	view, _ := s.View(k)
	return view.Leaving
}

// Verdict is the answer to a check right before sending.
type Verdict uint8

// The verdicts of Snapshot.CheckSend.
const (
	// Send means that the request may be sent.
	Send Verdict = iota
	// ChooseAgain means that the upstream left after it was chosen.
	ChooseAgain
	// InvariantViolated means that the balancer chose an upstream that was known to leave
	// in the very snapshot it chose from. The request must not be sent.
	InvariantViolated
)

// CheckSend is called right before a request is sent, on the newest snapshot.
// Chosen is the version of the snapshot that the choice was made from.
func (s *Snapshot) CheckSend(k UpstreamKey, chosen uint64) Verdict {
	switch {
	case s.AcceptsRequests(k):
		return Send
	case chosen < s.Version:
		return ChooseAgain
	default:
		return InvariantViolated
	}
}
