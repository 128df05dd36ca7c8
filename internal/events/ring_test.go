package events

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

var start = time.Unix(1_700_000_000, 0)

func TestLookupFindsTheEventsOfOneRequest(t *testing.T) {
	is := is.New(t)
	const attempts = 20 // both requests may be in the same shard
	r := NewRing(Config{Capacity: numShards * attempts})
	for i := range attempts {
		id := strconv.Itoa(i % 2)
		r.Emit(event.Event{Code: event.UpstreamChosen, Request: id, At: start, Attempt: i})
	}
	got := r.Lookup("1")
	is.Equal(len(got), 10)
	is.Equal(got[0].Attempt, 1)
	is.Equal(got[9].Attempt, 19)
	is.Equal(len(r.Lookup("")), 0)
}

func TestRingKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	r := NewRing(Config{Capacity: numShards * 4, DebugPerSecond: 1 << 20})
	for i := range 100 {
		r.Emit(event.Event{Code: event.RequestAnswered, Request: "one", At: start, Attempt: i})
	}
	got := r.Lookup("one")
	is.Equal(len(got), 4)
	is.Equal(got[3].Attempt, 99)
}

func TestOverBudgetKeepsHigherLevelsAndCountsSampledOut(t *testing.T) {
	is := is.New(t)
	r := NewRing(Config{Capacity: 1 << 14, DebugPerSecond: numShards})
	const n = 1000
	for i := range n {
		id := strconv.Itoa(i)
		r.Emit(event.Event{Code: event.RequestAnswered, Request: id, At: start})
		r.Emit(event.Event{Code: event.RequestRefused, Request: id, At: start})
		r.Emit(event.Event{Code: event.RetrySent, Request: id, At: start})
		r.Emit(event.Event{Code: event.RequestUnknown, Request: id, At: start})
	}
	is.Equal(len(r.Recent(Filter{MinLevel: event.Info}, 4*n)), 3*n)
	st := r.Stats()
	is.Equal(st.Kept+st.SampledOut, uint64(4*n))
	is.True(st.Kept <= 3*n+hardLimitFactor*numShards)
	r.Emit(event.Event{Code: event.RequestAnswered, Request: "later", At: start.Add(time.Second)})
	is.Equal(len(r.Lookup("later")), 1) // the budget is per second
}

func TestSlowWatcherDropsAndCounts(t *testing.T) {
	is := is.New(t)
	r := NewRing(Config{})
	s := r.Subscribe(Filter{Service: "ledger"}, 2)
	for range 5 {
		r.Emit(event.Event{Code: event.RequestRefused, Service: "ledger"})
		r.Emit(event.Event{Code: event.RequestRefused, Service: "catalogue"})
	}
	is.Equal(len(s.C), 2)
	is.Equal(s.Dropped(), uint64(3))
	is.Equal(r.Stats().DroppedWatchers, uint64(3))
	s.Close()
	is.Equal(r.Stats().Watchers, 0)
}

func TestFilter(t *testing.T) {
	e := event.Event{Code: event.RequestRefused, Request: "r", Service: "s", Rule: "u", Upstream: "x"}
	tests := []struct {
		name string
		f    Filter
		want bool
	}{
		{"all", Filter{}, true},
		{"request", Filter{Request: "r"}, true},
		{"other request", Filter{Request: "q"}, false},
		{"rule", Filter{Rule: "q"}, false},
		{"upstream", Filter{Upstream: "x"}, true},
		{"code below", Filter{MinCode: 4000}, false},
		{"code above", Filter{MaxCode: 2999}, false},
		{"code range", Filter{MinCode: 3000, MaxCode: 3999}, true},
		{"level", Filter{MinLevel: event.Warn}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(tc.f.Match(&e), tc.want)
		})
	}
}

// TestConcurrentUse runs writers, readers and watchers concurrently, for the race detector.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	r := NewRing(Config{Capacity: 256})
	const writers, each = 8, 2000
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range each {
				r.Emit(event.Event{Code: event.RequestRefused, Request: strconv.Itoa(w), At: start, Attempt: i})
			}
		})
	}
	for range 2 {
		wg.Go(func() {
			for range 50 {
				s := r.Subscribe(Filter{}, 8)
				is.True(len(r.Recent(Filter{}, 1000)) <= 256)
				r.Lookup("3")
				s.Close()
			}
		})
	}
	wg.Wait()
	st := r.Stats()
	is.Equal(st.Kept+st.SampledOut+st.DroppedBusy, uint64(writers*each))
}

func benchmarkEmit(b *testing.B, watchers int) {
	r := NewRing(Config{DebugPerSecond: 1 << 30})
	for range watchers {
		s := r.Subscribe(Filter{}, 0)
		defer s.Close()
		go func() {
			for range s.C {
			}
		}()
	}
	e := event.Event{Code: event.UpstreamChosen, At: start, Service: "catalogue", Rule: "lookups"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		e := e
		for i := 0; pb.Next(); i++ {
			e.Request = ids[i%len(ids)]
			r.Emit(e)
		}
	})
	st := r.Stats()
	b.ReportMetric(float64(st.DroppedBusy)/float64(b.N), "busy/op")
}

var ids = func() (out [512]string) {
	for i := range out {
		out[i] = "request-" + strconv.Itoa(i)
	}
	return out
}()

func BenchmarkEmit(b *testing.B)              { benchmarkEmit(b, 0) }
func BenchmarkEmitOneWatcher(b *testing.B)    { benchmarkEmit(b, 1) }
func BenchmarkEmitThreeWatchers(b *testing.B) { benchmarkEmit(b, 3) }
func BenchmarkEmitSampledOut(b *testing.B) {
	r := NewRing(Config{DebugPerSecond: 1})
	e := event.Event{Code: event.UpstreamChosen, At: start, Request: "one"}
	b.ReportAllocs()
	for b.Loop() {
		r.Emit(e)
	}
}
