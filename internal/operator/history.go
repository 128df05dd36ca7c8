package operator

import (
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
)

const (
	// maxVersions bounds the old versions that a host remembers over all
	// documents, so that a conflict can name what changed.
	maxVersions = 64
	// maxIssued bounds the plans that a host remembers.
	maxIssued = 256
	// pendingFor is how long a plan that isn't in force counts as pending.
	pendingFor = 10 * time.Minute
)

// seenVersion is a version of a document that was in force here.
type seenVersion struct {
	key     string
	base    plan.Base
	service *config.Service
}

// issuedPlan is a plan that this host answered with.
type issuedPlan struct {
	key    string
	base   plan.Base
	digest uint64
	by     string
	at     time.Time
}

// history remembers, in bounded memory, what this host has seen and answered.
// It only makes answers more telling; nothing is decided by it.
type history struct {
	mu       sync.Mutex
	latest   map[string]*config.Service
	versions []seenVersion
	issued   []issuedPlan
}

func newHistory() *history { return &history{latest: make(map[string]*config.Service)} }

// observe remembers the versions of state that are new to it.
func (h *history) observe(state *plan.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range state.Documents {
		key := plan.Key(d.Service.Name)
		if h.latest[key] == d.Service {
			continue
		}
		h.latest[key] = d.Service
		h.versions = append(h.versions, seenVersion{key, plan.Base{Revision: d.Revision, Digest: plan.Digest(d.Service)}, d.Service})
	}
	h.versions = newest(h.versions, maxVersions)
	for key := range h.latest {
		if state.Find(key[len(plan.KeyPrefix):]) == nil {
			delete(h.latest, key)
		}
	}
}

// record remembers a plan.
func (h *history) record(p issuedPlan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.issued = newest(append(h.issued, p), maxIssued)
}

// plans returns the remembered plans of a document, oldest first.
func (h *history) plans(key string) []issuedPlan {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []issuedPlan
	for _, p := range h.issued {
		if p.key == key {
			out = append(out, p)
		}
	}
	return out
}

// find returns a version that was in force here, or nil.
func (h *history) find(key string, b plan.Base) *config.Service {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.versions {
		if h.versions[i].key == key && h.versions[i].base == b {
			return h.versions[i].service
		}
	}
	return nil
}

func newest[T any](list []T, limit int) []T {
	if len(list) <= limit {
		return list
	}
	return append([]T(nil), list[len(list)-limit:]...)
}
