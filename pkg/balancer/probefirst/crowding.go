package probefirst

import (
	"math"
	"sync"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// crowding learns by how much work at an upstream slows down when its last
// slots are taken. Some services do not slow down at all; others do less in
// total than with a slot left free, and then nothing should wait there.
//
// It compares the answers to requests that were sent to nearly full upstreams
// with those to others, in the logarithm of the latency over the rule's target,
// which makes rules comparable. It is safe for concurrent use.
type crowding struct {
	mu          sync.Mutex
	quiet, full average
}

// Constants of learning.
const (
	// priorSamples is the weight of the assumption before there is any answer.
	priorSamples = 6
	// maxSamples bounds the weight of the past, so that a release is noticed.
	maxSamples = 200
	// quietUpTo is the share of busy slots up to which an upstream is not crowded.
	quietUpTo = 0.67
	// usualUpTo is the reported slowdown up to which a sample is of usual speed.
	usualUpTo = 1.1
	// CrowdedFrom is the slowdown above which nothing may wait at an upstream.
	CrowdedFrom = 1.3
)

// average is a moving average whose samples weigh alike until maxSamples.
type average struct {
	mean    float64
	samples float64
}

func (a *average) add(x float64) {
	a.samples = min(a.samples+1, maxSamples)
	a.mean += (x - a.mean) / a.samples
}

// observe takes in the end of a request, if it says anything about crowding.
func (c *crowding) observe(f balancer.Feedback) {
	if f.Outcome != balancer.Answered || f.Target <= 0 || f.Latency <= 0 || f.Sent == nil || !f.Report.Valid {
		return
	}
	if f.Now.Add(-f.Latency).Sub(f.Sent.At) > FreshFor || f.Sent.Slowdown > usualUpTo || f.Report.Slowdown > usualUpTo {
		return
	}
	x := math.Log(float64(f.Latency) / float64(f.Target))
	busy := float64(f.Sent.InFlight)
	slots := float64(max(f.Sent.Slots, 1))
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case busy <= quietUpTo*slots:
		c.quiet.add(x)
	case busy <= slots && busy > fullFrom*slots:
		c.full.add(x)
	}
}

// slowdown returns the factor of the last slots, at least 1.
func (c *crowding) slowdown() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	samples := min(c.quiet.samples, c.full.samples)
	learned := c.full.mean - c.quiet.mean
	mean := (learned*samples + math.Log(fullSlowdown)*priorSamples) / (samples + priorSamples)
	return max(math.Exp(mean), 1)
}
