package lifecycle

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// rebuilt returns the views of all services, rebuilt without sharing.
func rebuilt(r *Registry) map[UpstreamKey]View {
	out := make(map[UpstreamKey]View)
	for service := range r.services {
		for upstream, v := range r.views(service).views {
			out[UpstreamKey{service, upstream}] = v
		}
	}
	return out
}

func flattened(s *Snapshot) map[UpstreamKey]View {
	out := make(map[UpstreamKey]View)
	for service, of := range s.services {
		for upstream, v := range of.views {
			out[UpstreamKey{service, upstream}] = v
		}
	}
	return out
}

// TestSnapshotSharesOnlyWhatIsUnchanged applies random updates to a registry and
// compares each snapshot with a complete rebuild.
func TestSnapshotSharesOnlyWhatIsUnchanged(t *testing.T) {
	const runs, steps = 60, 150
	random := rand.New(rand.NewPCG(2026, 2))
	for range runs {
		r := NewRegistry(DefaultConfig(), event.Discard{})
		now := time.Unix(1_000_000, 0)
		before := new(Snapshot)
		for step := range steps {
			now = now.Add(time.Duration(random.IntN(900)) * time.Millisecond)
			applyRandomUpdate(r, random, now, uint64(step+1))
			s, _ := r.Flush()
			if s == nil {
				continue
			}
			if !maps.Equal(flattened(s), rebuilt(r)) {
				t.Fatalf("step %d: %v, want %v", step, flattened(s), rebuilt(r))
			}
			checkVersions(t, before, s)
			before = s
		}
	}
}

// checkVersions fails if a service changed without a new version.
func checkVersions(t *testing.T, before, s *Snapshot) {
	t.Helper()
	for service, of := range s.services {
		known := before.services[service]
		if known != nil && known.version == of.version && !maps.Equal(known.views, of.views) {
			t.Fatalf("%s changed but kept version %d", service, of.version)
		}
		if s.ServiceVersion(service) > s.Version {
			t.Fatalf("%s has a newer version than its snapshot", service)
		}
	}
}

func applyRandomUpdate(r *Registry, random *rand.Rand, now time.Time, revision uint64) {
	service := fmt.Sprintf("s%d", random.IntN(3))
	key := UpstreamKey{service, fmt.Sprintf("u%d", random.IntN(4))}
	switch random.IntN(7) {
	case 0, 1:
		var list []UpstreamSpec
		for u := range random.IntN(5) {
			list = append(list, UpstreamSpec{Upstream: fmt.Sprintf("u%d", u), Draining: random.IntN(4) == 0,
				Activation: revision / 40, SlowStart: time.Duration(random.IntN(2)) * time.Second})
		}
		r.Configure(now, service, revision, list)
	case 2:
		r.RecordLeaving(now, key, revision/40)
	case 3:
		r.Merge(now, Notice{Key: KeyOf(key.Service, key.Upstream), MinActivation: uint64(random.IntN(3))})
	case 4:
		for range DefaultConfig().ConnectFailures {
			r.ConnectFailed(now, key)
		}
	case 5:
		r.ConnectSucceeded(now, key)
		r.InFlight(now, key, 0)
	case 6:
		r.Tick(now)
	}
}
