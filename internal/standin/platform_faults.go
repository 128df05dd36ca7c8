package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// Faults are the ways in which the stand-in platform misbehaves.
type Faults struct {
	// Down refuses every read with 503.
	Down bool `json:"down,omitempty"`
	// Stale shows nothing published after revision StaleAt.
	Stale bool `json:"stale,omitempty"`
	// StaleAt is the revision that a stale platform shows; 0 shows it empty.
	StaleAt uint64 `json:"stale_at,omitempty"`
	// Lag is how long a document stays hidden after it was published.
	Lag config.Duration `json:"lag,omitempty"`
	// MaxReadsPerSecond refuses reads beyond it with 429; 0 sets no bound.
	MaxReadsPerSecond int `json:"max_reads_per_second,omitempty"`
}

// faults holds the present faults and counts reads within a second.
type faults struct {
	mu     sync.Mutex
	now    Faults
	second time.Time
	reads  int
}

func (f *faults) set(to Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = to
}

func (f *faults) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// refuse returns the status with which a read is refused, or 0.
func (f *faults) refuse(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now.Down {
		return http.StatusServiceUnavailable
	}
	if s := now.Truncate(time.Second); s != f.second {
		f.second, f.reads = s, 0
	}
	f.reads++
	if f.now.MaxReadsPerSecond > 0 && f.reads > f.now.MaxReadsPerSecond {
		return http.StatusTooManyRequests
	}
	return 0
}
