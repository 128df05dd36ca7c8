package operator

import (
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
)

const (
	// maxVersions is the maximum number of old versions that a host keeps for all documents
	// together, so that a conflict can state what changed.
	maxVersions = 64
	// maxIssued is the maximum number of issued plans that a host keeps.
	maxIssued = 256
	// pendingPeriod is how long after its issue a plan that isn't in force counts as pending.
	pendingPeriod = 10 * time.Minute
)

// seenVersion is a version of a document that is or was in force on this host.
type seenVersion struct {
	key     string
	base    plan.Base
	service *config.Service
}

// issuedPlan is a plan that this host or a peer returned to an operator.
type issuedPlan struct {
	key    string
	base   plan.Base
	digest uint64
	// operator is the name of the operator who requested the plan; it may be empty.
	operator string
	at       time.Time
}

// history keeps, in bounded memory, the document versions that were in force on this host
// and the plans that it issued. It only adds information to responses; no decision depends
// on it.
type history struct {
	mu       sync.Mutex
	latest   map[string]*config.Service
	versions []seenVersion
	issued   []issuedPlan
}

func newHistory() *history { return &history{latest: make(map[string]*config.Service)} }

// observe adds the document versions in state that are not in the history yet.
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

// record adds an issued plan.
func (h *history) record(p issuedPlan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.issued = newest(append(h.issued, p), maxIssued)
}

// plans returns the issued plans of a document, oldest first.
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

// find returns a document version that is or was in force on this host, or nil if it is
// not in the history.
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

// newest returns the last limit elements of list. A shortened list is copied, so that the
// memory of the dropped elements can be freed.
func newest[T any](list []T, limit int) []T {
	if len(list) <= limit {
		return list
	}
	return append([]T(nil), list[len(list)-limit:]...)
}
