package lifecycle_test

import (
	"fmt"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

// A graceful shutdown: the process carries out the effects that each call
// returns.
func ExampleHost() {
	now := time.Unix(1000, 0)
	h := lifecycle.NewHost(lifecycle.HostConfig{Grace: 5 * time.Second, Deadline: 30 * time.Second})
	started := h.Ready() // a configuration has been applied
	fmt.Println(h.State(), started.SetReady)

	stop := h.Signal(now, 2) // two requests in flight
	fmt.Println(h.State(), stop.SetNotReady, h.Accepts())

	graceOver := h.Tick(now.Add(5*time.Second), 1)
	fmt.Println(h.State(), graceOver.StopAccepting, h.Accepts())

	done := h.Tick(now.Add(6*time.Second), 0)
	fmt.Println(h.State(), done.Exit)
	// Output:
	// serving true
	// draining true true
	// finishing true false
	// stopped true
}
