package socket

import (
	"testing"

	"github.com/lesismal/nbio/nbhttp"
)

// TestStopSoonAfterStart hangs if an event loop misses a stop that comes before it runs.
func TestStopSoonAfterStart(t *testing.T) {
	for range 5 {
		e := Engine{Engine: nbhttp.NewEngine(nbhttp.Config{})}
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
		e.Stop()
	}
}
