package lifecycle

import "time"

// MinWeight is the weight that a cold upstream starts with, as a fraction of a
// warm upstream's.
const MinWeight = 0.1

// UpstreamKey identifies one upstream of one service.
type UpstreamKey struct {
	// Service and Upstream are the names in the document.
	Service, Upstream string
}

// View is one upstream in a snapshot.
type View struct {
	// State is the name of its state in charts/upstream.yaml.
	State string
	// AcceptsRequests is true when it may be sent new requests. This is a
	// guarantee: an upstream that is leaving, or whose failure domain is
	// evacuated, is never sent a new request.
	AcceptsRequests bool
	// Leaving is true when it is known to be leaving or to have left.
	Leaving bool
	// Unreachable is true when connections failed. It is a hint: a balancer
	// without other candidates may still try.
	Unreachable bool
	// Activation is the current one; reports about a request sent under it
	// include it.
	Activation uint64
	// WarmSince and SlowStart define the slow start; see Weight.
	WarmSince time.Time
	// SlowStart is the time over which the weight grows to 1.
	SlowStart time.Duration
}

// Weight returns the relative weight for new requests at now, from MinWeight to 1.
func (v *View) Weight(now time.Time) float64 {
	age := now.Sub(v.WarmSince)
	if age >= v.SlowStart {
		return 1
	}
	return max(MinWeight, float64(age)/float64(v.SlowStart))
}

// Snapshot is an immutable view of all upstreams for balancers. It is safe for
// concurrent use.
type Snapshot struct {
	// Version increases with every snapshot of one process.
	Version uint64

	services map[string]*serviceViews
}

// serviceViews is one service in a snapshot; later snapshots share it until the
// service changes. It is immutable.
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

// ServiceVersion returns the version of the snapshot in which the service last
// changed; 0 if it is not configured.
func (s *Snapshot) ServiceVersion(service string) uint64 {
	if known := s.services[service]; known != nil {
		return known.version
	}
	return 0
}

// Services returns the names of the services that have upstreams, in no
// particular order.
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

// Leaving reports whether an upstream is known to be leaving. It is false for
// one that accepts no requests for another reason or is not configured.
func (s *Snapshot) Leaving(k UpstreamKey) bool {
	view, _ := s.View(k)
	return view.Leaving
}

// Verdict is the result of the check right before sending.
type Verdict uint8

// The verdicts of Snapshot.CheckSend.
const (
	// Send means that the request may be sent.
	Send Verdict = iota
	// ChooseAgain means that the upstream left after it was chosen.
	ChooseAgain
	// InvariantViolated means that the balancer chose an upstream that was
	// already known to be leaving in the snapshot it chose from. The request
	// must not be sent.
	InvariantViolated
)

// CheckSend is called right before a request is sent, on the newest snapshot.
// Chosen is the version of the snapshot that the upstream was chosen from.
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
