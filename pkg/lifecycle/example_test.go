package lifecycle_test

import (
	"fmt"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

func ExampleRegistry() {
	now := time.Unix(1000, 0)
	lots3 := lifecycle.UpstreamKey{Service: "lots", Upstream: "caruaru-3"}
	r := lifecycle.NewRegistry(lifecycle.DefaultConfig(), event.Discard{})
	r.Configure(now, "lots", 7, []lifecycle.UpstreamSpec{{Upstream: "caruaru-3"}})
	before, _ := r.Flush()
	r.RecordLeaving(now, lots3, 0) // its response announced that it is leaving
	after, notices := r.Flush()
	fmt.Println(before.AcceptsRequests(lots3), after.AcceptsRequests(lots3), len(notices))
	// Output: true false 1
}
