package entry

import (
	"testing"

	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/internal/operator"
)

// BenchmarkOperators measures encoding the response that lists all upstreams.
func BenchmarkOperators(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		e, _ := configuredEntry(b, s)
		view := operator.ConfiguredUpstreams{Source: e.control.published, Observe: e.control.observe}
		var size int
		for b.Loop() {
			text, err := proto.Marshal(&operatorv1.UpstreamsResponse{Host: e.host, Upstreams: view.Upstreams("")})
			if err != nil {
				b.Fatal(err)
			}
			size = len(text)
		}
		b.ReportMetric(float64(size), "B/answer")
	})
}
