package lifecycle

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// The parameters of the simulated fleet in TestSecondsToNoNewRequests, in
// virtual time.
const (
	fleetHosts       = 13
	fleetStep        = 50 * time.Millisecond
	gossipInterval   = 4 // steps
	gossipFanout     = 2
	gossipRounds     = 5  // how often a host sends a new notice
	exchangeInterval = 20 // steps between sending all notices to one random peer
	lossPercent      = 20
	listPollInterval = 5 * time.Second // per host
	maxDocumentDelay = 2 * time.Second // maximum, per host
	fleetRate        = 20              // requests per second to the upstream from all hosts
	fleetTrials      = 200
)

type fleetHost struct {
	registry *Registry
	snapshot *Snapshot
	notices  []Notice
	rounds   int
	learnsAt time.Duration // when it reads the source itself
}

// source is the way in which the fleet learns that the upstream is leaving.
type source struct {
	name     string
	maxDelay time.Duration // maximum delay until a host reads it
	read     func(*Registry, time.Time)
	refuse   bool // the upstream refuses each request with HeaderLeaving
}

var sources = []source{
	{name: "document", maxDelay: maxDocumentDelay, read: func(r *Registry, now time.Time) {
		r.Configure(now, "lots", 2, []UpstreamSpec{{Upstream: "u", Draining: true}})
	}},
	{name: "host list", maxDelay: listPollInterval, read: func(r *Registry, now time.Time) { r.ListedLeaving(now, testMember) }},
	{name: "upstream's refusal", refuse: true},
	{name: "one peer's notice", read: nil},
}

// TestSecondsToNoNewRequests measures how long it takes from the earliest
// possible detection until the last of 13 entry hosts stops sending requests,
// with and without peers' notices.
func TestSecondsToNoNewRequests(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for _, s := range sources {
		for _, gossip := range []bool{true, false} {
			if s.read == nil && !s.refuse && !gossip {
				continue
			}
			var took []time.Duration
			sent := 0
			for range fleetTrials {
				d, n := simulateFleet(rng, s, gossip)
				took = append(took, d)
				sent += n
			}
			slices.Sort(took)
			t.Logf("%-20s peers' notices %-5v p50 %5.2f s, max %5.2f s, requests to the leaving upstream %.1f",
				s.name, gossip, took[len(took)/2].Seconds(), took[len(took)-1].Seconds(), float64(sent)/fleetTrials)
			is.True(!gossip || took[len(took)-1] < 10*time.Second)
		}
	}
}

// simulateFleet simulates one fleet and returns the time at which the last host
// stopped sending, and the number of requests sent until then.
func simulateFleet(rng *rand.Rand, s source, gossip bool) (time.Duration, int) {
	start := time.Unix(1000, 0)
	hosts := make([]fleetHost, fleetHosts)
	for i := range hosts {
		h := &hosts[i]
		h.registry = NewRegistry(DefaultConfig(), event.Discard{})
		h.registry.Configure(start, "lots", 1, []UpstreamSpec{{Upstream: "u"}})
		h.flush()
		h.learnsAt = time.Duration(rng.Int64N(int64(s.maxDelay) + 1))
	}
	if s.read == nil && !s.refuse {
		hosts[0].registry.RecordLeaving(start, testMember, 0)
	}
	sent := 0
	for step := 0; ; step++ {
		elapsed := time.Duration(step) * fleetStep
		if elapsed > time.Minute {
			return elapsed, sent
		}
		now := start.Add(elapsed)
		for i := range hosts {
			h := &hosts[i]
			if s.read != nil && elapsed >= h.learnsAt {
				s.read(h.registry, now)
			}
			if gossip && step%gossipInterval == 0 {
				h.sendToPeers(rng, hosts, now)
			}
			if gossip && step%exchangeInterval == i {
				h.sendToRandomPeer(rng, hosts, now, h.registry.Notices(now))
			}
			h.flush()
		}
		if rng.Float64() < fleetRate*fleetStep.Seconds() {
			h := &hosts[rng.IntN(fleetHosts)]
			if h.snapshot.AcceptsRequests(testMember) {
				sent++
				if s.refuse {
					h.registry.RecordLeaving(now, testMember, 0)
				}
			}
		}
		if !slices.ContainsFunc(hosts, func(h fleetHost) bool { return h.snapshot.AcceptsRequests(testMember) }) {
			return elapsed, sent
		}
	}
}

func (h *fleetHost) flush() {
	snapshot, notices := h.registry.Flush()
	if snapshot != nil {
		h.snapshot = snapshot
	}
	if len(notices) > 0 {
		h.notices = notices
		h.rounds = gossipRounds
	}
}

func (h *fleetHost) sendToPeers(rng *rand.Rand, hosts []fleetHost, now time.Time) {
	if h.rounds == 0 {
		return
	}
	h.rounds--
	for range gossipFanout {
		h.sendToRandomPeer(rng, hosts, now, h.notices)
	}
}

func (h *fleetHost) sendToRandomPeer(rng *rand.Rand, hosts []fleetHost, now time.Time, notices []Notice) {
	peer := &hosts[rng.IntN(len(hosts))]
	if rng.IntN(100) < lossPercent {
		return
	}
	for _, w := range notices {
		peer.registry.Merge(now, w)
	}
}

// BenchmarkCheckSend measures the check before an attempt is sent.
func BenchmarkCheckSend(b *testing.B) {
	r := NewRegistry(DefaultConfig(), event.Discard{})
	r.Configure(time.Unix(1000, 0), "lots", 1, []UpstreamSpec{{Upstream: "u"}})
	s, _ := r.Flush()
	b.ReportAllocs()
	for b.Loop() {
		if s.CheckSend(testMember, s.Version) != Send {
			b.Fatal("not sent")
		}
	}
}
