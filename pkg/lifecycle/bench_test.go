package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// BenchmarkNotices measures the cost of one exchange with a peer on the control
// goroutine when n upstreams are leaving or draining: encoding its own notices
// and merging the peer's, which contain nothing new.
func BenchmarkNotices(b *testing.B) {
	for _, n := range []int{100, 1000, 15000} {
		b.Run(fmt.Sprintf("notices=%d", n), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			r := NewRegistry(DefaultConfig(), event.Discard{})
			var list []UpstreamSpec
			for i := range n {
				list = append(list, UpstreamSpec{Upstream: fmt.Sprint(i), Draining: true})
			}
			r.Configure(now, "s", 1_000_000, list)
			var size int
			for b.Loop() {
				text := EncodeNotices(r.Notices(now))
				size = len(text)
				known, err := DecodeNotices(text)
				if err != nil {
					b.Fatal(err)
				}
				for _, notice := range known {
					r.Merge(now, notice)
				}
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}

// BenchmarkRefused measures RecordLeaving for a registry of many services with
// 37 upstreams each, the target scale. Only the first call changes anything.
func BenchmarkRefused(b *testing.B) {
	const perService = 37
	for _, services := range []int{10, 100, 410} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			r := NewRegistry(DefaultConfig(), event.Discard{})
			for s := range services {
				var list []UpstreamSpec
				for u := range perService {
					list = append(list, UpstreamSpec{Upstream: fmt.Sprintf("%d-%d", s, u)})
				}
				r.Configure(now, fmt.Sprint(s), 1, list)
			}
			for b.Loop() {
				r.RecordLeaving(now, UpstreamKey{"0", "0-0"}, 0)
			}
		})
	}
}
