package lifecycle

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var hostConf = HostConfig{Grace: 5 * time.Second, Deadline: 30 * time.Second}

func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	h := NewHost(hostConf)
	is.True(h.Ready().SetReady)
	is.Equal(h.Tick(now, 4), HostEffects{})
	is.Equal(h.Signal(now, 4), HostEffects{SetNotReady: true, CloseIdle: true})
	is.True(h.Accepts())
	is.Equal(h.Tick(now.Add(4*time.Second), 0), HostEffects{}) // still within the grace period
	is.Equal(h.Tick(now.Add(5*time.Second), 2), HostEffects{StopAccepting: true})
	is.True(!h.Accepts())
	is.Equal(h.Tick(now.Add(6*time.Second), 1), HostEffects{})
	is.Equal(h.Tick(now.Add(7*time.Second), 0), HostEffects{Exit: true})
	is.Equal(h.State(), "stopped")
	is.Equal(h.Signal(now.Add(8*time.Second), 0), HostEffects{})
}

func TestStopEndsEarly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	h := NewHost(hostConf)
	h.Ready()
	h.Signal(now, 3)
	is.Equal(h.Signal(now.Add(time.Second), 3), HostEffects{StopAccepting: true, Aborted: 3, Exit: true})
	h = NewHost(hostConf)
	h.Ready()
	h.Signal(now, 3)
	h.Tick(now.Add(hostConf.Grace), 3)
	is.Equal(h.Tick(now.Add(hostConf.Deadline), 2), HostEffects{Aborted: 2, Exit: true})
	is.True(HostConfig{Grace: time.Second, Deadline: time.Second}.Validate() != nil)
}

// TestStopAbortsOnlyAfterDeadline checks for random request durations that a
// shutdown aborts exactly the requests that run past the deadline.
func TestStopAbortsOnlyAfterDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		ends := rapid.SliceOf(rapid.IntRange(0, 40)).Draw(t, "request ends, seconds after the signal")
		now := time.Unix(1000, 0)
		h := NewHost(hostConf)
		h.Ready()
		h.Signal(now, int64(len(ends)))
		for second := 0; second <= 31; second++ {
			running := int64(0)
			for _, end := range ends {
				if end > second {
					running++
				}
			}
			e := h.Tick(now.Add(time.Duration(second)*time.Second), running)
			if !e.Exit {
				continue
			}
			is.Equal(e.Aborted, running)
			is.True(running == 0 || second == 30)
			return
		}
		t.Fatal("host did not stop within 31 s")
	})
}
