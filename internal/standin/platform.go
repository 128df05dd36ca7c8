// Package standin holds small stand-ins for what surrounds the system: the
// platform's configuration service and host list, and upstreams. They serve
// demos and tests only.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/platform"
)

const maxWatchWait = 60 * time.Second

// Platform is an in-memory configuration service and host list. Documents are
// published with PUT and DELETE below /v1/config/; the system never does so.
type Platform struct {
	mu       sync.Mutex
	revision uint64
	docs     map[string]platform.Change
	hosts    platform.HostList
	changed  chan struct{}
	reads    atomic.Int64
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{docs: make(map[string]platform.Change), changed: make(chan struct{})}
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", p.watch)
	mux.HandleFunc("PUT /v1/config/{key...}", p.put)
	mux.HandleFunc("DELETE /v1/config/{key...}", p.delete)
	mux.HandleFunc("GET /v1/hosts", p.getHosts)
	mux.HandleFunc("PUT /v1/hosts", p.putHosts)
	mux.HandleFunc("GET /v1/reads", p.getReads)
	return mux
}

// Reads returns the number of reads and watches served.
func (p *Platform) Reads() int64 { return p.reads.Load() }

// Publish stores value under key and returns its revision. A nil value deletes.
func (p *Platform) Publish(key string, value []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.docs[key] = platform.Change{Key: key, Revision: p.revision, Deleted: value == nil, Value: value}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(hosts []platform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = platform.HostList{Revision: p.hosts.Revision + 1, Hosts: hosts}
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: not a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait > maxWatchWait {
		http.Error(w, "wait: not a duration up to 60s", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed := p.since(after)
		if len(changes.Changes) > 0 {
			writeJSON(w, changes)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) since(after uint64) (platform.Changes, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := platform.Changes{Revision: p.revision}
	for _, c := range p.docs {
		if c.Revision > after {
			out.Changes = append(out.Changes, c)
		}
	}
	slices.SortFunc(out.Changes, func(a, b platform.Change) int { return int(a.Revision) - int(b.Revision) })
	return out, p.changed
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(body) {
		http.Error(w, "not JSON", http.StatusBadRequest)
		return
	}
	writeRevision(w, p.Publish(r.PathValue("key"), body))
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	writeRevision(w, p.Publish(r.PathValue("key"), nil))
}

func writeRevision(w http.ResponseWriter, revision uint64) {
	writeJSON(w, platform.Changes{Revision: revision})
}

func (p *Platform) getHosts(w http.ResponseWriter, _ *http.Request) {
	p.reads.Add(1)
	p.mu.Lock()
	hosts := p.hosts
	p.mu.Unlock()
	writeJSON(w, hosts)
}

func (p *Platform) putHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []platform.Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(hosts)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getReads(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, strconv.FormatInt(p.reads.Load(), 10)+"\n")
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	var b strings.Builder
	if err := json.NewEncoder(&b).Encode(v); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, b.String())
}
