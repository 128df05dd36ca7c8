package membership_test

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
)

// fullFleet returns a fleet in which every host knows every other, without the
// cost of joining.
func fullFleet(n int, seed uint64) *fleet {
	f := newFleet(n, seed)
	var all []membership.Entry
	for _, h := range f.hosts {
		all = append(all, h.core.Snapshot().Self.Entry)
	}
	for i := range f.hosts {
		push := &membership.Message{From: all[(i+1)%n], Updates: all, Body: membership.SyncPush{}}
		f.apply(i, func(c *membership.Core) membership.Effects { return c.Receive(f.now, push) })
	}
	return f
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkCost measures bytes sent, CPU and memory per host by the number of
// hosts. CPU includes the codec and the test's queue but not the socket. In busy
// fleets every host has new metadata every 6 seconds.
func BenchmarkCost(b *testing.B) {
	for _, busy := range []bool{false, true} {
		for _, n := range []int{8, 16, 64, 256, 1024, 4096} {
			b.Run(fmt.Sprintf("busy=%v/hosts=%d", busy, n), func(b *testing.B) {
				for range b.N {
					measureCost(b, n, busy)
				}
			})
		}
	}
}

func measureCost(b *testing.B, n int, busy bool) {
	const warm, seconds, metadataEvery = 24, 36, 6
	before := heapBytes()
	f := fullFleet(n, 1)
	perMember := float64(heapBytes()-before) / float64(n) / float64(n)
	f.run(warm)
	f.bytes, f.messages = 0, 0
	start := cpuTime()
	for s := range seconds {
		if busy && s%metadataEvery == 0 {
			for _, h := range f.hosts {
				_ = h.core.SetMetadata(fmt.Appendf(nil, "revision %d digest 0123456789abcdef", s))
			}
		}
		f.run(1)
	}
	hostSeconds := float64(n * seconds)
	b.ReportMetric(float64(f.bytes)/hostSeconds, "B/s")
	b.ReportMetric(float64(f.messages)/hostSeconds, "msg/s")
	b.ReportMetric(float64((cpuTime()-start).Microseconds())/hostSeconds, "cpu-µs/s")
	b.ReportMetric(perMember, "B/member")
	b.ReportMetric(0, "ns/op")
	if f.violations() > 0 {
		b.Fatal("invariant violated")
	}
}

// BenchmarkDetection measures, in seconds, how long after a kill the first and
// the last host consider the killed one dead.
func BenchmarkDetection(b *testing.B) {
	for _, n := range []int{13, 18, 128} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			b.Run(fmt.Sprintf("hosts=%d/loss=%v", n, loss), func(b *testing.B) {
				for range b.N {
					measureDetection(b, n, loss)
				}
			})
		}
	}
}

func measureDetection(b *testing.B, n int, loss float64) {
	const kills = 60
	var first, last []float64
	for k := range kills {
		f := fullFleet(n, uint64(k))
		f.loss = loss
		f.run(10)
		f.hosts[0].up = false
		killed := f.now
		var times []float64
		seen := make(map[int]bool)
		f.onEvent = func(at int, e event.Event) {
			if e.Code == event.MemberDead && e.Detail == address(0).String() && !seen[at] {
				seen[at] = true
				times = append(times, f.now.Sub(killed).Seconds())
			}
		}
		f.runUntil(200, func() bool { return len(times) == n-1 })
		if len(times) < n-1 {
			b.Fatalf("only %d of %d hosts detected the death", len(times), n-1)
		}
		first = append(first, slices.Min(times))
		last = append(last, slices.Max(times))
	}
	slices.Sort(first)
	slices.Sort(last)
	b.ReportMetric(first[kills/2], "first-p50-s")
	b.ReportMetric(first[kills-1], "first-max-s")
	b.ReportMetric(last[kills/2], "all-p50-s")
	b.ReportMetric(last[kills-1], "all-max-s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFalse counts, per host and hour, false positives about running hosts:
// how often all hosts together suspected one or considered one dead. With
// pauses, one random host is paused for that long every minute; false positives
// about that host are counted separately.
func BenchmarkFalse(b *testing.B) {
	rows := []struct {
		loss  float64
		pause int // seconds
	}{{0, 0}, {0.05, 0}, {0.2, 0}, {0, 1}, {0, 3}, {0, 10}, {0, 30}, {0.05, 10}}
	for _, r := range rows {
		b.Run(fmt.Sprintf("loss=%v/pause=%ds", r.loss, r.pause), func(b *testing.B) {
			for range b.N {
				measureFalse(b, r.loss, r.pause)
			}
		})
	}
}

func measureFalse(b *testing.B, loss float64, pause int) {
	const n, minutes = 18, 60
	f := fullFleet(n, 1)
	f.loss = loss
	f.run(30)
	victim := -1
	counts := make(map[event.Code]int)
	ofVictim := make(map[event.Code]int)
	f.onEvent = func(_ int, e event.Event) {
		if victim >= 0 && e.Detail == address(victim).String() {
			ofVictim[e.Code]++
			return
		}
		counts[e.Code]++
	}
	for range minutes {
		if pause > 0 {
			victim = f.rand.IntN(n)
			f.hosts[victim].paused = true
			f.run(pause)
			f.resume(victim)
		}
		f.run(60 - pause)
	}
	const views = n * minutes / 60
	b.ReportMetric(float64(counts[event.MemberSuspected])/views, "suspected/host-h")
	b.ReportMetric(float64(counts[event.MemberDead])/views, "dead/host-h")
	b.ReportMetric(float64(ofVictim[event.MemberDead])/(n-1), "paused-dead/60")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkJoinAndHeal measures, in seconds, how long a new fleet with a complete
// host list takes until all hosts agree, and how long a fleet that was
// partitioned into halves for two minutes takes to agree again.
func BenchmarkJoinAndHeal(b *testing.B) {
	for _, n := range []int{18, 128, 512} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for range b.N {
				f := newFleet(n, 1)
				join, _ := f.runUntil(600, f.agreed)
				split(f, n/2)
				f.run(120)
				heal(f)
				healed, _ := f.runUntil(600, f.agreed)
				b.ReportMetric(float64(join), "join-s")
				b.ReportMetric(float64(healed), "heal-s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
