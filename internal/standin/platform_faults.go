package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// Faults are the injected faults of a Platform.
type Faults struct {
	// Down rejects every read with status 503.
	Down bool `json:"down,omitempty"`
	// Stale hides everything published after revision StaleAt.
	Stale bool `json:"stale,omitempty"`
	// StaleAt is the last visible revision while Stale is set; 0 hides all
	// documents.
	StaleAt uint64 `json:"stale_at,omitempty"`
	// Lag is the delay until a published document becomes visible.
	Lag config.Duration `json:"lag,omitempty"`
	// MaxReadsPerSecond is the number of reads per second above which reads are
	// rejected with status 429; 0 means no limit.
	MaxReadsPerSecond int `json:"max_reads_per_second,omitempty"`
}

// faultState holds the current faults and counts the reads of the current second.
type faultState struct {
	mu              sync.Mutex
	current         Faults
	currentSecond   time.Time
	readsThisSecond int
}

func (f *faultState) set(to Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = to
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// rejectStatus counts a read and returns the HTTP status to reject it with, or 0
// to accept it.
func (f *faultState) rejectStatus(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Down {
		return http.StatusServiceUnavailable
	}
	if s := now.Truncate(time.Second); s != f.currentSecond {
		f.currentSecond, f.readsThisSecond = s, 0
	}
	f.readsThisSecond++
	if f.current.MaxReadsPerSecond > 0 && f.readsThisSecond > f.current.MaxReadsPerSecond {
		return http.StatusTooManyRequests
	}
	return 0
}
