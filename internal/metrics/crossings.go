package metrics

import (
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dapplespindle/dapplespindle/internal/proxy"
)

// crossingCounters count the traffic that crosses failure domains for one reason.
type crossingCounters struct {
	requests, bytes gometrics.Counter
}

func (s *Sink) registerCrossings() {
	s.crossed = make(map[string]crossingCounters)
	for _, reason := range proxy.Crossings {
		s.crossed[string(reason)] = crossingCounters{
			requests: gometrics.NewRegisteredCounter(nameCrossed+string(reason), s.registry),
			bytes:    gometrics.NewRegisteredCounter(nameCrossedBytes+string(reason), s.registry),
		}
	}
	s.crossedQueries = gometrics.NewRegisteredCounter(nameCrossedQueries, s.registry)
}

// RequestCrossed implements proxy.CrossingCounter.
func (s *Sink) RequestCrossed(reason string, bytes int) {
	if c, ok := s.crossed[reason]; ok {
		c.requests.Inc(1)
		c.bytes.Inc(int64(bytes))
	}
}

// QueryCrossed implements proxy.CrossingCounter.
func (s *Sink) QueryCrossed() { s.crossedQueries.Inc(1) }
